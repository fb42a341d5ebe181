/// One connection of the HTTP server. Internal to src/net.
#pragma once

#include "net/http_server.h"
#include "net/http_socket.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisytack::net {

namespace http = boost::beast::http;

class HttpConnection;

/// What the connections of one server share.
struct HttpServerShared {
  HttpServerShared(HttpServerInit init, HttpHandler handler)
      : Init(std::move(init)), Handler(std::move(handler)),
        Limits(std::make_shared<const HttpLimits>(
            HttpLimits{Init.MaxHeaderBytes, Init.MaxBodyBytes, Init.ReadTimeout,
                       Init.ReadTimeout, Init.IdleTimeout})) {}

  std::shared_ptr<const HttpLimits> limits() const { return Limits.load(); }
  /// The earliest of the times that were set holds.
  void refuseAfter(BootClock::time_point time);
  HttpResponse lateRequestResponse(const HttpRequest &request) const;
  /// How long a connection may wait for a request.
  Duration idleTimeout() const;

  const HttpServerInit Init;
  const HttpHandler Handler;
  std::atomic<std::shared_ptr<const HttpLimits>> Limits;
  /// Every answer is the last of its connection.
  std::atomic<bool> ClosesAfterResponse{false};
  std::atomic<size_t> OpenConnections{0};
  std::atomic<size_t> UnsentResponses{0}; ///< Handed over and not wholly sent.
  std::atomic<bool> Stopping{false};
  /// Requests that are whole later reach no handler.
  std::atomic<BootClock::time_point> HandleDeadline{
      BootClock::time_point::max()};
  std::atomic<bool> Closed{false}; ///< The handler may not be called any more.

  std::mutex Lock; ///< Guards Connections only.
  std::unordered_map<HttpConnection *, std::weak_ptr<HttpConnection>>
      Connections;
  std::vector<std::shared_ptr<HttpConnection>> connections();
};

/// Reads requests one after another, hands each to the handler and writes its
/// answer. Input runs on the strand of the socket; answers are queued from any
/// thread under a lock that is never held over I/O.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  HttpConnection(StrandSocket socket, std::shared_ptr<HttpServerShared> shared);
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  void start();
  /// Closes the connection soon if no request is under way on it.
  void closeWhenIdle();
  void closeNow();

  // For the exchange with that serial number; ignored when it is over.
  void respond(uint64_t serial, HttpResponse response);
  void beginStream(uint64_t serial, unsigned status,
                   std::vector<HttpHeader> headers);
  void write(uint64_t serial, std::string data);
  void endStream(uint64_t serial);
  void abort(uint64_t serial);
  /// Answers for a handler that dropped its exchange.
  void abandon(uint64_t serial);
  void setClosedHook(uint64_t serial, std::function<void()> hook);
  size_t pendingBytes() const { return PendingBytes.load(); }

private:
  enum class State : uint8_t { Idle, Reading, Responding, Draining, Closed };
  using Parser = http::request_parser<http::string_body>;
  /// How much input, and for how long, is read and thrown away before closing.
  static constexpr size_t MaxDiscardBytes = 16U << 20;
  static constexpr Duration DiscardTimeout{2'000'000};

  // Input.
  void waitReadable();
  void onReadable(ErrorCode ec);
  void startRequest();
  /// Parses what was received of the header section and reads on until it is
  /// whole.
  void parseHeader();
  void onHeader(ErrorCode ec);
  void readBody();
  void onBody(ErrorCode ec);
  void rejectInput(ErrorCode ec);
  void handleRequest();
  void nextRequest();
  void discardInput(size_t maxBytes);

  // Output. Lock is held where the name says so.
  bool isOpenLocked(uint64_t serial) const;
  bool closesAfterResponse() const {
    return Shared->Stopping || Shared->ClosesAfterResponse;
  }
  void queueLocked(std::string data);
  void scheduleFlush();
  void flush();
  void sendSome();
  void onSent(ErrorCode ec, size_t n);
  void onResponseSent();
  std::string encodeHead(unsigned status,
                         const std::vector<HttpHeader> &headers, bool streamed,
                         size_t length);

  // End.
  void onPeerHalfClosed();
  void close();
  void setDeadline(Duration fromNow);
  void armTimer();
  void onDeadline();

  StrandSocket Socket;
  StrandTimer Timer;
  std::shared_ptr<HttpServerShared> Shared;
  boost::beast::flat_buffer Buffer;
  std::unique_ptr<Parser> Input;
  BootClock::time_point IdleSince;
  uint32_t HandledRequests = 0; ///< Requests so far.
  BootClock::time_point ReadingSince;
  BootClock::time_point Deadline = BootClock::time_point::max();
  BootClock::time_point TimerExpiry = BootClock::time_point::max();
  State CurrentState = State::Idle;
  bool WaitingReadable = false; ///< A wait for readability is outstanding.
  bool Pipelined = false; ///< The next request came before the answer ended.
  bool TimedOut = false;
  bool Writing = false;
  std::vector<std::string> Sending;
  size_t SendIndex = 0;
  size_t SendOffset = 0;

  std::atomic<size_t> PendingBytes{0}; ///< Bytes queued and not yet sent.
  std::mutex Lock;                     ///< Guards all below.
  std::vector<std::string> Queued;
  std::function<void()> ClosedHook;
  uint64_t Serial = 0;
  bool Ended = true;    ///< No further byte of this answer will be queued.
  bool Aborted = false; ///< Close once what was queued has been sent.
  bool HeadSent = false;
  bool Chunked = false;
  bool KeepAlive = false;
  bool IsHead = false;
  bool IsHttp10 = false; ///< HTTP/1.0: no chunks.
  bool IsClosed = false;
};

} // namespace daisytack::net
