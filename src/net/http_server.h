/// HTTP/1.1 server on Boost.Beast: bounded input, streamed answers, several
/// threads.
#pragma once

#include "daisytack/error.h"
#include "daisytack/types.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack::net {

struct HttpHeader {
  std::string Name;
  std::string Value;
  auto operator<=>(const HttpHeader &) const = default;
};

struct HttpRequest {
  std::string Method;
  std::string Path;  ///< Without the query.
  std::string Query; ///< Without the question mark.
  std::vector<HttpHeader> Headers;
  std::string Body;
  /// Path and query exactly as received. In a request to be sent it replaces
  /// Path and Query unless it is empty.
  std::string Target = {};
  /// Which request of its connection it is, from 1 on; 0 in one to be sent.
  uint32_t ConnectionRequestNumber = 0;
  Duration ReadTime{0}; ///< From its first byte until it was whole.

  /// Value of the first header of that name, whatever its case; empty when
  /// there is none.
  std::string_view header(std::string_view name) const;
};

struct HttpResponse {
  unsigned Status = 200;
  std::vector<HttpHeader> Headers;
  std::string Body;
};

/// The answer to one request. Every function may be called from any thread, and
/// after the caller has gone.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;
  /// The whole answer. Nothing may follow.
  virtual void respond(HttpResponse response) = 0;
  /// Starts a streamed answer (chunked transfer encoding).
  virtual void beginStream(unsigned status,
                           std::vector<HttpHeader> headers) = 0;
  virtual void write(std::string data) = 0;
  virtual void endStream() = 0;
  /// Closes the connection after what was written, without ending the stream,
  /// so that the caller sees that the answer is not whole.
  virtual void abort() = 0;
  /// Bytes written but not yet taken by the socket.
  virtual size_t pendingBytes() const = 0;
  /// Called at most once, when the caller goes away before the answer ended.
  /// A caller that ends only its sending side counts as gone: TCP can't tell
  /// the two apart. Set it before returning from the handler.
  virtual void onClosed(std::function<void()> hook) = 0;
};

using HttpHandler =
    std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)>;

/// Bounds on what a caller may send and how long it may take; they may change
/// while the server runs.
struct HttpLimits {
  size_t MaxHeaderBytes = MaxHttpHeaderBytes;
  size_t MaxBodyBytes = MaxHttpBodyBytes;
  Duration HeaderTimeout{10'000'000}; ///< From a request's first byte on.
  Duration BodyTimeout{10'000'000};   ///< From the end of its headers on.
  Duration IdleTimeout{60'000'000};   ///< Between requests, and for a write
                                      ///< without progress.
  auto operator<=>(const HttpLimits &) const = default;
};

struct HttpServerInit {
  Endpoint Listen;
  size_t MaxHeaderBytes = MaxHttpHeaderBytes;
  size_t MaxBodyBytes = MaxHttpBodyBytes;
  size_t MaxPendingBytes = 1U << 20; ///< A slower reader is cut off.
  size_t MaxConnections = 20'000;    ///< Further ones are closed at once.
  Duration ReadTimeout{10'000'000};  ///< For the headers, and for the body.
  Duration IdleTimeout{
      60'000'000}; ///< Between requests, and for a write without progress.
  /// After stopAccepting, requests that were on their way are still handled for
  /// so long.
  Duration LateRequestGrace{250'000};
  /// Makes the refusal of a request that came later still; by default a problem
  /// that names the remedy.
  std::function<HttpResponse(const HttpRequest &)> LateRequestResponse = {};
};

class HttpServer {
public:
  HttpServer(boost::asio::io_context &io, HttpServerInit init,
             HttpHandler handler);
  ~HttpServer();
  /// Binds and listens; false with the reason when the address can't be had.
  bool start(Error &reason);
  /// Port in use, for Listen.Port 0 in tests.
  uint16_t port() const;
  /// In force for every request and idle wait that begins afterwards, and for
  /// idle waits that would otherwise end sooner.
  void setLimits(const HttpLimits &limits);
  /// Every answer from now on is the last of its connection; new connections
  /// are still accepted.
  void closeConnectionsAfterResponses();
  /// Whatever its connection is doing, a request that is whole only after that
  /// time is refused and reaches no handler.
  void refuseAfter(Duration fromNow);
  /// Accepts no further connection and closes idle ones after a moment, in
  /// which a request that was on its way still reaches the handler; running
  /// exchanges go on, each the last of its connection. After that moment
  /// requests are refused.
  void stopAccepting();
  size_t openConnections() const;
  /// Requests handed to the handler whose answer has not wholly been given to
  /// the socket: a drained process waits until there are none.
  size_t unsentResponses() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace daisytack::net
