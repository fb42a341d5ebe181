/// One call of the HTTP client, and the client's pool of idle connections.
/// Internal to src/net.
#pragma once

#include "net/http_client.h"
#include "net/http_socket.h"
#include "net/input_buffer.h"
#include "net/message_reader.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/span_body.hpp>

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace daisytack::net {

/// A connection with its read buffer, which may hold bytes received after the
/// last response.
struct HttpClientConnection {
  HttpClientConnection(asio::io_context &io, uint64_t number)
      : Socket(asio::make_strand(io)), Number(number) {}

  /// Maximum idle time before reuse; a shorter timeout in the peer's Keep-Alive
  /// header takes precedence.
  static constexpr std::chrono::seconds MaxIdleTime{20};
  /// A connection with this many keys is not reused, to bound its memory.
  static constexpr size_t MaxResponseKeys = 1024;
  bool hasKey(const std::optional<uint64_t> &responseKey) const;
  /// False if the peer closed the connection or sent unsolicited data, or if
  /// the peer's idle timeout may be about to expire.
  bool isReusable(BootClock::time_point now);

  /// Frees the memory of a large buffer that is empty.
  void releaseInput() {
    if (Input.size() == 0 && Input.capacity() > ShortReadBytes)
      Input.release();
  }

  /// Description for the call that is to be sent next.
  HttpConnectionInfo info() const;

  StrandSocket Socket;
  const uint64_t Number;
  uint64_t Calls = 0; ///< Sent on this connection.
  InputBuffer Input{LongReadBytes};
  /// The connection is not reused from this time on.
  BootClock::time_point UsableUntil;
  /// Keys of the responses to the calls sent so far; see HttpCallOptions.
  std::vector<uint64_t> ResponseKeys;
};

/// Idle connections by endpoint. Thread-safe.
class HttpConnectionPool {
public:
  explicit HttpConnectionPool(size_t maxIdle) : MaxIdle(maxIdle) {}
  /// Number for a new connection.
  uint64_t nextNumber() { return ++LastNumber; }
  /// Removes and returns a connection that appears usable and has carried no
  /// call with the key, or returns null.
  std::shared_ptr<HttpClientConnection>
  take(const Endpoint &to, const std::optional<uint64_t> &responseKey);
  void put(const Endpoint &to,
           std::shared_ptr<HttpClientConnection> connection);
  /// Closes the idle connections to one endpoint.
  void drop(const Endpoint &to);
  /// Closes all idle connections and rejects later ones.
  void close();

private:
  std::shared_ptr<HttpClientConnection>
  takeLast(const Endpoint &to, const std::optional<uint64_t> &responseKey);

  size_t MaxIdle;
  std::atomic<uint64_t> LastNumber{0};
  std::mutex Lock;
  bool Closed = false;
  std::map<Endpoint, std::vector<std::shared_ptr<HttpClientConnection>>> Idle;
};

/// The bytes of response bodies that the calls of a client hold. Thread-safe.
class HeldBytes {
public:
  explicit HeldBytes(size_t max) : Max(max) {}
  /// Adds the bytes; returns whether all of them are within the limit.
  bool add(size_t n) { return (Bytes += n) <= Max; }
  void remove(size_t n) { Bytes -= n; }

private:
  const size_t Max;
  std::atomic<size_t> Bytes{0};
};

/// Sends one request and reports its response. All steps run on CallStrand.
class HttpClientCall : public std::enable_shared_from_this<HttpClientCall> {
public:
  HttpClientCall(asio::io_context &io, const HttpClientInit &init,
                 std::shared_ptr<HttpConnectionPool> pool,
                 std::shared_ptr<HeldBytes> held, Endpoint to,
                 HttpRequest request, HttpHooks hooks);
  void start(HttpTimeout timeout, HttpCallOptions options);
  void cancel();
  /// See HttpCall::pause(). May be called from any thread.
  HttpCall::Resume pause();

private:
  using Request = http::request<http::span_body<const char>>;
  using Reader = MessageReader<http::response_parser<http::buffer_body>>;
  /// The read buffer for the body starts small, since the chunk of one
  /// generated token is small, and doubles each time that a read fills it.
  static constexpr size_t InitialReadBytes = 1U << 10;
  static constexpr size_t MaxReadBytes = 64U << 10;
  /// For a longer request body, reading the response starts together with the
  /// write, since a server may respond before it has read the whole request.
  static constexpr size_t MaxBytesBeforeRead = 16U << 10;
  /// A server that has ended its response by closing its half of the connection
  /// has this long to read the rest of the request.
  static constexpr std::chrono::seconds SendTimeoutAfterEnd{1};

  void begin();
  void connect();
  void onConnected(ErrorCode ec);
  void send();
  void onSent(ErrorCode ec, size_t n);
  /// Whether the whole request was written to the socket.
  bool isSent() const { return SendResult && !*SendResult; }
  /// Begins to read a response.
  void readHead();
  /// Reads the next response after one that is not for this request. Posted, so
  /// that many in one read can't grow the stack.
  void readNextHead();
  void parseHead();
  void onHead(ErrorCode ec);
  /// A step that follows a read.
  using InputStep = void (HttpClientCall::*)(ErrorCode);
  /// Reads some input and calls the step. The error is that of the message if
  /// the connection's input has ended; none if that completes it.
  void readInput(InputStep then);
  /// The connection's input has ended. A response that this completes counts
  /// only once the request is sent without an error: the system reports a reset
  /// once, to the write or to the read, and the other one sees an orderly end.
  void onInputEnd(InputStep then);
  void onHeadInput(ErrorCode ec);
  void readBody();
  void onBodyInput(ErrorCode ec);
  /// Passes on `n` bytes of the body. Returns whether to go on; false if the
  /// call has ended, is paused, or reads another response.
  bool onBody(ErrorCode ec, size_t n);
  void resume();
  /// Whether the response is complete.
  bool isComplete() const { return Response->parser().is_done(); }
  /// Drops the request's body if it will not be sent (again).
  void dropSentBody();
  /// Ends the call after a complete response, or reads the next response if
  /// this one belongs to another request.
  void onResponseComplete();
  /// How long the connection may stay idle, according to the Keep-Alive header
  /// of the response, whose head was parsed and whose body was not.
  Duration readIdleTimeout() const;
  /// Reconnects and sends the request again if the reused connection was stale.
  /// False if the connection was not reused or has received data.
  bool retryOnNewConnection();
  void complete();
  void fail(ErrorCode ec, const char *what);
  void onTimeout();
  void finish(const Error &error);
  /// Counts received bytes that are not this request's response. Ends the call
  /// and returns true when there are too many.
  bool skipsTooMuch(size_t n);
  void failProtocol(const char *what);
  void armTimer(Duration after);
  /// Sets a later deadline once enough of the body has arrived.
  void extendDeadline(size_t received);

  asio::io_context &Io;
  const HttpClientInit Init;
  std::shared_ptr<HttpConnectionPool> Pool;
  std::shared_ptr<HeldBytes> Held; ///< By all calls.
  Endpoint To;
  /// Bytes that the body of Message refers to.
  std::shared_ptr<const std::string> Body;
  bool HasLongHeader = false; ///< The request can't be sent.
  Request Message;
  HttpHooks Hooks;
  /// Runs begin(), cancel(), the timer and all I/O handlers.
  Strand CallStrand;
  StrandTimer Timer;
  std::optional<BootClock::time_point> Deadline;
  Duration ProgressTimeout{0};    ///< See HttpTimeout.
  size_t BytesSinceExtension = 0; ///< Received since the deadline was set.
  std::shared_ptr<HttpClientConnection> Connection;
  std::optional<Reader> Response;
  bool MayKeepAlive = false;              ///< According to the response's head.
  Duration IdleTimeout{0};                ///< See readIdleTimeout().
  size_t InputReadBytes = ShortReadBytes; ///< Doubles up to LongReadBytes.
  std::vector<char> ReadBuffer;
  bool Reused = false;
  bool MayHaveSent = false; ///< Part of the request may have been sent.
  bool AnyReceived = false;
  /// Of writing the request; empty while it is being written.
  std::optional<ErrorCode> SendResult;
  /// Called after the write, for which an end of the input waits; or null.
  InputStep AfterSend = nullptr;
  bool IsReading = false;
  std::atomic<bool> IsPaused{false};
  bool WaitsForResume = false; ///< The next read was left out in a pause.
  /// The current response is for another request.
  bool IgnoresResponse = false;
  HttpCallOptions Options;
  size_t BodyBytes = 0;    ///< Of the response, received so far.
  size_t SkippedBytes = 0; ///< See HttpClientInit::MaxSkippedBytes.
  bool Finished = false;
};

} // namespace daisytack::net
