/// One connection of the HTTP server. Internal to src/net.
#pragma once

#include "net/http_server.h"
#include "net/http_socket.h"
#include "net/input_buffer.h"
#include "net/message_reader.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisytack::net {

class HttpConnection;

/// State shared by all connections of one server.
struct HttpServerShared {
  HttpServerShared(HttpServerInit init, HttpHandler handler)
      : Init(std::move(init)), Handler(std::move(handler)),
        Limits(std::make_shared<const HttpLimits>(
            HttpLimits{Init.MaxHeaderBytes, Init.MaxBodyBytes, Init.ReadTimeout,
                       Init.ReadTimeout, Init.IdleTimeout})) {}

  std::shared_ptr<const HttpLimits> limits() const { return Limits.load(); }
  /// Refuses requests that are received completely only after the time. The
  /// earliest time set takes effect.
  void refuseAfter(BootClock::time_point time);
  void onBytes(ConnectionBytes kind, int64_t change) const {
    if (change != 0 && Init.OnConnectionBytes)
      Init.OnConnectionBytes(kind, change);
  }
  /// Response to a request that was received completely only after
  /// HandleDeadline.
  HttpResponse lateRequestResponse(const HttpRequest &request) const;
  /// How long a connection may wait for its next request.
  Duration idleTimeout() const;

  const HttpServerInit Init;
  const HttpHandler Handler;
  std::atomic<std::shared_ptr<const HttpLimits>> Limits;
  /// Every connection is closed after the next response that it begins.
  std::atomic<bool> ClosesAfterResponse{false};
  std::atomic<size_t> OpenConnections{0};
  /// Requests passed to the handler whose response is not fully written.
  std::atomic<size_t> UnsentResponses{0};
  std::atomic<bool> Stopping{false};
  /// Requests received completely only after this time are not passed to the
  /// handler.
  std::atomic<BootClock::time_point> HandleDeadline{
      BootClock::time_point::max()};
  std::atomic<bool> Closed{false}; ///< The handler must no longer be called.

  std::mutex Lock; ///< Guards Connections only.
  std::unordered_map<HttpConnection *, std::weak_ptr<HttpConnection>>
      Connections;
  std::vector<std::shared_ptr<HttpConnection>> connections();
  /// Closes the connection that has waited longest for a whole request; first
  /// of those that have never sent one. False if none waits.
  bool closeLongestWaiting();
};

/// Reads requests one after another, passes each to the handler and writes its
/// response. Input is processed on the strand of the socket. Responses may be
/// queued from any thread, under a lock that is never held during I/O.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  HttpConnection(StrandSocket socket, std::shared_ptr<HttpServerShared> shared);
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  void start();
  /// If no request is in progress, shortens the idle timeout so that the
  /// connection closes soon.
  void closeWhenIdle();
  void closeNow();
  /// Closes the connection unless a request is being handled by then.
  void closeIfWaiting();
  /// Number of requests received so far, and since when the connection has
  /// waited for the next one to be whole; nullopt while a request is handled or
  /// after closeIfWaiting(). Thread-safe.
  struct Wait {
    bool HasSentRequest = false;
    BootClock::time_point Since;
    auto operator<=>(const Wait &) const = default;
  };
  std::optional<Wait> wait() const;

  // Operations of the exchange with the serial number; ignored after it ended.
  void respond(uint64_t serial, HttpResponse response);
  void beginStream(uint64_t serial, unsigned status,
                   std::vector<HttpHeader> headers);
  void write(uint64_t serial, std::string data);
  void endStream(uint64_t serial);
  void abort(uint64_t serial);
  /// Responds with an error, or aborts the stream, if the handler dropped its
  /// exchange without ending the response.
  void abandon(uint64_t serial);
  void setClosedHook(uint64_t serial, std::function<void()> hook);
  void setDrainedHook(uint64_t serial, size_t mark, std::function<void()> hook);
  size_t pendingBytes() const { return PendingBytes.load(); }

private:
  enum class State : uint8_t { Idle, Reading, Responding, Draining, Closed };
  using Reader = MessageReader<http::request_parser<http::string_body>>;
  /// Maximum amount of input, and maximum time, for discarding unread input
  /// before the connection is closed.
  static constexpr size_t MaxDiscardBytes = 16U << 20;
  static constexpr Duration DiscardTimeout{2'000'000};
  /// Input that is read before the response to the earlier request has ended.
  static constexpr size_t MaxReadAheadBytes = 16U << 10;

  // Input.
  void waitReadable();
  void onReadable(ErrorCode ec);
  /// Reads input that arrived during the response, since the end of the
  /// connection can't be noticed before it.
  void readAhead();
  void startRequest();
  /// Parses the header section once it was received completely; reads more
  /// input until then.
  void parseHeader();
  void onHeader(ErrorCode ec);
  /// Reads at most `n` bytes, while a request is being read. The hook gets
  /// `partial_message` at the end of the connection's input.
  void readInput(size_t n, void (HttpConnection::*then)(ErrorCode));
  void onHeaderInput(ErrorCode ec);
  /// Reserves room for the body; refuses the request and returns false if there
  /// is none.
  bool reserveBody();
  void refuseBody();
  void readBody();
  void onBodyInput(ErrorCode ec);
  void rejectInput(ErrorCode ec);
  /// Responds to a request that was not received completely, and closes the
  /// connection.
  void respondToInput(HttpResponse response);
  /// Reports the size of the input buffer if it has changed.
  void countInput();
  void handleRequest();
  void nextRequest();
  void discardInput(size_t maxBytes);

  // Output. Functions with the suffix Locked require that Lock is held.
  bool isOpenLocked(uint64_t serial) const;
  bool closesAfterResponse() const {
    return Shared->Stopping || Shared->ClosesAfterResponse;
  }
  void queueLocked(std::string data);
  void subtractPending(size_t bytes);
  void scheduleFlush();
  void flush();
  /// Sets whether closing the socket resets the connection. The kernel closes
  /// it too, if the process ends.
  void setResetOnClose(bool resets);
  void sendSome();
  void onSent(ErrorCode ec, size_t n);
  void onResponseSent();
  std::string encodeHead(unsigned status,
                         const std::vector<HttpHeader> &headers, bool streamed,
                         size_t length);

  // Closing and timeouts.
  void onPeerHalfClosed();
  void close();
  void setDeadline(Duration fromNow);
  void armTimer();
  void onDeadline();

  StrandSocket Socket;
  StrandTimer Timer;
  std::shared_ptr<HttpServerShared> Shared;
  InputBuffer Input{MaxReadAheadBytes};
  size_t CountedInput = 0; ///< Memory that Input takes, as it was reported.
  size_t ScannedBytes = 0; ///< Of Input; the head doesn't end in them.
  std::unique_ptr<Reader> Message;
  /// Head of the request whose body is being read, with the reservation for it
  /// unless the server reserves no room.
  std::optional<HttpRequest> Incoming;
  bool MayKeepAlive = false; ///< According to the request's head.
  BootClock::time_point IdleSince;
  uint32_t HandledRequests = 0; ///< Requests received so far.
  BootClock::time_point ReadingSince;
  BootClock::time_point Deadline = BootClock::time_point::max();
  BootClock::time_point TimerExpiry = BootClock::time_point::max();
  State CurrentState = State::Idle;
  bool WaitingReadable = false; ///< An asynchronous wait for input is pending.
  bool Pipelined = false;       ///< Input arrived before the response ended.
  bool TimedOut = false;
  bool Writing = false;
  bool ResetsOnClose = false;
  std::vector<std::string> Sending;
  size_t SendIndex = 0;
  size_t SendOffset = 0;

  /// See wait(); BootClock::time_point::max(): it does not wait.
  std::atomic<BootClock::time_point> WaitingSince{BootClock::time_point::max()};
  std::atomic<bool> HasSentRequest{false};
  std::atomic<size_t> PendingBytes{0}; ///< Bytes queued and not yet sent.
  std::mutex Lock;                     ///< Guards the members below.
  std::vector<std::string> Queued;
  std::function<void()> ClosedHook;
  std::function<void()> DrainedHook;
  size_t DrainedMark = 0; ///< See HttpExchange::onDrained().
  uint64_t Serial = 0;
  bool Ended = true;    ///< The response was queued completely or aborted.
  bool Aborted = false; ///< Close after the queued data was sent.
  bool HeadSent = false;
  bool Chunked = false;
  /// The end of the connection is the end of the response, so that a response
  /// that is broken off must end with a reset.
  bool IsCloseDelimited = false;
  bool KeepAlive = false;
  bool IsHead = false;
  bool IsHttp10 = false; ///< No chunked transfer encoding.
  bool IsClosed = false;
};

} // namespace daisytack::net
