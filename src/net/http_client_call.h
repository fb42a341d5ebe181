/// One call of the HTTP client and its pool of kept-alive connections. Internal
/// to src/net.
#pragma once

#include "net/http_client.h"
#include "net/http_socket.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace daisytack::net {

namespace http = boost::beast::http;

/// A connection and what was read from it beyond the last response.
struct HttpClientConnection {
  explicit HttpClientConnection(asio::io_context &io)
      : Socket(asio::make_strand(io)) {}

  /// Idle time when the peer names none.
  static constexpr std::chrono::seconds MaxIdleTime{20};
  /// False when the peer has closed it, sent something unasked, or it has been
  /// idle for so long that the peer may be about to.
  bool isReusable(BootClock::time_point now);

  StrandSocket Socket;
  boost::beast::flat_buffer Buffer;
  /// Not to be used again from then on.
  BootClock::time_point UsableUntil;
};

/// Idle connections by endpoint. Thread-safe.
class HttpConnectionPool {
public:
  explicit HttpConnectionPool(size_t maxIdle) : MaxIdle(maxIdle) {}
  /// A connection that seems usable, or null.
  std::shared_ptr<HttpClientConnection> take(const Endpoint &to);
  void put(const Endpoint &to,
           std::shared_ptr<HttpClientConnection> connection);
  /// Those to one endpoint.
  void drop(const Endpoint &to);
  void close();

private:
  std::shared_ptr<HttpClientConnection> takeLast(const Endpoint &to);

  size_t MaxIdle;
  std::mutex Lock;
  bool Closed = false;
  std::map<Endpoint, std::vector<std::shared_ptr<HttpClientConnection>>> Idle;
};

/// Sends one request and reports its response. All steps run on the strand of
/// the connection in use.
class HttpClientCall : public std::enable_shared_from_this<HttpClientCall> {
public:
  HttpClientCall(asio::io_context &io, const HttpClientInit &init,
                 std::shared_ptr<HttpConnectionPool> pool, Endpoint to,
                 HttpRequest request, HttpHooks hooks);
  void start(Duration timeout);
  void cancel();

private:
  using Request = http::request<http::string_body>;
  using Parser = http::response_parser<http::buffer_body>;
  /// A body's reads start small, since a token's chunk is, and grow while they
  /// are filled.
  static constexpr size_t InitialReadBytes = 1U << 10;
  static constexpr size_t MaxReadBytes = 64U << 10;
  /// A longer request is sent while its response is awaited, as a server may
  /// answer before it has read everything.
  static constexpr size_t MaxBytesBeforeRead = 16U << 10;

  void begin();
  void connect();
  void onConnected(ErrorCode ec);
  void send();
  void onSent(ErrorCode ec, size_t n);
  void readHead();
  void onHead(ErrorCode ec);
  void readBody();
  void onBody(ErrorCode ec);
  /// The response is whole: ends the call, or reads on after one that belongs
  /// to another request.
  void onResponseComplete();
  /// How long the connection may stay idle, by the response's Keep-Alive.
  Duration idleTimeout() const;
  /// Takes a new connection after a stale one; false when that isn't allowed.
  bool retryOnNewConnection();
  void complete();
  void fail(ErrorCode ec, const char *what);
  void onTimeout();
  void finish(const Error &error);
  void armTimer(Duration after);

  asio::io_context &Io;
  const HttpClientInit Init;
  std::shared_ptr<HttpConnectionPool> Pool;
  Endpoint To;
  Request Message;
  HttpHooks Hooks;
  Strand
      CallStrand; ///< Runs begin, cancel and the timer, and all I/O handlers.
  StrandTimer Timer;
  std::optional<BootClock::time_point> Deadline;
  std::shared_ptr<HttpClientConnection> Connection;
  std::optional<Parser> Response;
  std::vector<char> ReadBuffer;
  bool Reused = false;
  bool MayHaveSent = false; ///< Some byte of the request may have been sent.
  bool AnyReceived = false;
  bool IsSent = false; ///< The whole request was given to the socket.
  bool IsReading = false;
  bool IgnoresResponse = false; ///< The response read now is another request's.
  bool Finished = false;
};

} // namespace daisytack::net
