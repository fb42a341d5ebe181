/// Multi-threaded HTTP/1.1 server on Boost.Beast, with limits on its input and
/// streamed responses.
#pragma once

#include "daisytack/error.h"
#include "daisytack/types.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack::net {

struct HttpHeader {
  std::string Name;
  std::string Value;
  auto operator<=>(const HttpHeader &) const = default;
};

/// Whether a response with these headers has neither a length nor chunks. It
/// ends with its connection (RFC 9112, 6.3), and a peer that ends in the middle
/// of it may close the connection in the same way.
bool isCloseDelimited(const std::vector<HttpHeader> &headers);

/// Room for the body of one request. Its destructor returns the room.
class BodyReservation {
public:
  BodyReservation() = default;
  virtual ~BodyReservation() = default;
  BodyReservation(const BodyReservation &) = delete;
  BodyReservation &operator=(const BodyReservation &) = delete;
  /// Makes sure that the room is at least this number of bytes, for a body of
  /// unknown length; false if there is no more room.
  virtual bool reserve(size_t bytes) = 0;
  /// The body has grown to this number of bytes.
  virtual void onReceived(size_t bytes) = 0;
};

struct HttpRequest {
  std::string Method;
  std::string Path;  ///< Without the query.
  std::string Query; ///< Without the question mark.
  std::vector<HttpHeader> Headers;
  std::string Body;
  /// Path and query exactly as received. In an outgoing request it replaces
  /// Path and Query unless it is empty.
  std::string Target = {};
  /// Number of the request on its connection, starting at 1; 0 in an outgoing
  /// request.
  uint32_t ConnectionRequestNumber = 0;
  Duration ReadTime{0}; ///< From the first byte to the end of the request.
  /// Body of an outgoing request, which calls can share. Replaces Body unless
  /// it is null.
  std::shared_ptr<const std::string> SharedBody = {};
  /// Room for the body of a received request; null if the server reserves none.
  std::shared_ptr<BodyReservation> Reservation = {};

  /// Value of the first header with the name, compared case-insensitively;
  /// empty if there is none.
  std::string_view header(std::string_view name) const;
};

/// Moves the body and its reservation out of a received request. The room is
/// returned together with the body. Never null.
std::shared_ptr<const std::string> takeBody(HttpRequest &request);

struct HttpResponse {
  unsigned Status = 200;
  std::vector<HttpHeader> Headers;
  std::string Body;
};

/// Sends the response to one request. Every function may be called from any
/// thread, also after the caller has disconnected.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;
  /// Sends a complete response. Later calls have no effect.
  virtual void respond(HttpResponse response) = 0;
  /// Starts a streamed response (chunked transfer encoding; in HTTP/1.0 the
  /// response ends when the connection is closed).
  virtual void beginStream(unsigned status,
                           std::vector<HttpHeader> headers) = 0;
  virtual void write(std::string data) = 0;
  virtual void endStream() = 0;
  /// Sends the data written so far and closes the connection without ending the
  /// stream, so that the caller can detect that the response is incomplete. In
  /// HTTP/1.0 the connection is reset, which may lose data already sent.
  virtual void abort() = 0;
  /// Bytes of the response queued and not yet written to the socket.
  virtual size_t pendingBytes() const = 0;
  /// Sets a hook that is called once, on an I/O thread, when pendingBytes() is
  /// `mark` or less; at once if it is already. Replaces an earlier hook. The
  /// hook is dropped when the response has ended or the connection is closed.
  virtual void onDrained(size_t mark, std::function<void()> hook) = 0;
  /// Sets a hook that is called at most once, if the caller disconnects before
  /// the response has ended. A caller that closes only its sending side is
  /// treated as disconnected, because TCP can't distinguish the two. Must be
  /// set before the handler returns.
  virtual void onClosed(std::function<void()> hook) = 0;
};

using HttpHandler =
    std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)>;

/// Limits on the size of requests and on the time that a caller may take. They
/// may be changed while the server runs.
struct HttpLimits {
  size_t MaxHeaderBytes = MaxHttpHeaderBytes;
  size_t MaxBodyBytes = MaxHttpBodyBytes;
  Duration HeaderTimeout{10'000'000}; ///< From the first byte of a request.
  Duration BodyTimeout{10'000'000};   ///< From the end of the headers.
  Duration IdleTimeout{60'000'000};   ///< Between requests, and for a write
                                      ///< that makes no progress.
  auto operator<=>(const HttpLimits &) const = default;
};

/// What connections hold apart from bodies: input that was read and not yet
/// parsed, with its buffer, and output that was not yet written to the socket.
enum class ConnectionBytes : uint8_t { Input, Output };

struct HttpServerInit {
  Endpoint Listen;
  size_t MaxHeaderBytes = MaxHttpHeaderBytes;
  size_t MaxBodyBytes = MaxHttpBodyBytes;
  /// Unsent bytes of a streamed response above which the next write closes the
  /// connection, because its caller reads too slowly.
  size_t MaxPendingBytes = 1U << 20;
  /// For each further one, the connection that has waited longest for a whole
  /// request is closed, first of those that have never sent one, so that
  /// silent connections keep nobody out. If all are being served, the further
  /// one is closed.
  size_t MaxConnections = 20'000;
  Duration ReadTimeout{10'000'000}; ///< For the headers, and for the body.
  Duration IdleTimeout{60'000'000}; ///< Between requests, and for a write that
                                    ///< makes no progress.
  /// Requests that are received completely within this time after
  /// stopAccepting() are still handled.
  Duration LateRequestGrace{250'000};
  /// Creates the response to a request that is received completely only after
  /// that time, or after that of refuseAfter(). If empty, the response is a
  /// problem document of kind draining with its remedy.
  std::function<HttpResponse(const HttpRequest &)> LateRequestResponse = {};
  /// Reserves room for a body of this length, or of one that is not known yet
  /// (nullopt), after the head was received and before the body is read. The
  /// request has its head only. If the hook returns null, the body is not read,
  /// and the request is refused. If empty, bodies need no reservation.
  std::function<std::shared_ptr<BodyReservation>(
      const HttpRequest &head, std::optional<uint64_t> length)>
      ReserveBody = {};
  /// Creates the response to a request whose body got no room. Required if
  /// ReserveBody is set.
  std::function<HttpResponse(const HttpRequest &head)> RefusedBodyResponse = {};
  /// Called from any thread when the number of bytes that connections hold
  /// changes. May be called after the server was destroyed.
  std::function<void(ConnectionBytes kind, int64_t change)> OnConnectionBytes =
      {};
  /// Size of the sockets' receive buffers, which hold what callers send before
  /// it is read; 0: the system decides.
  size_t ReceiveBufferBytes = 0;
};

class HttpServer {
public:
  HttpServer(boost::asio::io_context &io, HttpServerInit init,
             HttpHandler handler);
  ~HttpServer();
  /// Binds and listens; false with the reason if that fails.
  bool start(Error &reason);
  /// Bound port; differs from Listen.Port if that is 0, as in tests.
  uint16_t port() const;
  /// Applies to requests and idle periods that begin afterwards. A longer idle
  /// timeout also applies to connections that are already idle.
  void setLimits(const HttpLimits &limits);
  /// Closes every connection after the next response that it begins. New
  /// connections are still accepted.
  void closeConnectionsAfterResponses();
  /// Requests that are received completely only after that time are refused and
  /// not passed to the handler, whatever the state of their connection.
  void refuseAfter(Duration fromNow);
  /// Stops accepting connections. Requests that are received completely within
  /// LateRequestGrace are still handled; after that, idle connections are
  /// closed and further requests are refused. Running exchanges continue, and
  /// their connections are closed afterwards.
  void stopAccepting();
  size_t openConnections() const;
  /// Number of requests passed to the handler whose response has not been
  /// written to the socket completely. A draining process waits until it is 0.
  size_t unsentResponses() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace daisytack::net
