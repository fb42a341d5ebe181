/// HTTP/1.1 client on Boost.Beast: asynchronous, with kept-alive connections,
/// deadlines and cancellation.
#pragma once

#include "net/http_server.h"

namespace daisytack::net {

/// Called on an I/O thread, in order, and never after done.
struct HttpHooks {
  /// Whether a response belongs to this request. One that does not is read and
  /// dropped, and the next one on the connection counts. Empty: every one does.
  std::function<bool(const std::vector<HttpHeader> &headers)> MatchesRequest;
  std::function<void(unsigned status, const std::vector<HttpHeader> &headers)>
      Head;
  std::function<void(std::string_view data)> Data;
  /// Kind None when the whole response was received. ServerLost: the connection
  /// broke after bytes of the request may have been sent. DeadlinePassed: the
  /// timeout came then. ServiceUnavailable: nothing was sent, for whichever
  /// reason. ProtocolError: the response is malformed or too large.
  std::function<void(const Error &error)> Done;
};

/// Cancels a call; Done is then called with Cancelled unless it was already.
/// Copyable, may outlive the call.
class HttpCall {
public:
  HttpCall() = default;
  explicit HttpCall(std::function<void()> cancel) : Stop(std::move(cancel)) {}
  void cancel() const {
    if (Stop)
      Stop();
  }

private:
  std::function<void()> Stop;
};

struct HttpClientInit {
  size_t MaxIdlePerEndpoint = 16;
  Duration ConnectTimeout{1'000'000};
  /// A kept connection is given up so long before its peer would close it, as
  /// the peer's Keep-Alive says; covers a trip and a late timer on both sides.
  Duration KeepAliveMargin{300'000};
  size_t MaxResponseHeaderBytes = 64U << 10;
  size_t MaxResponseBodyBytes = 64U << 20; ///< Of fetch; call() is unbounded.
  /// Whether a GET or HEAD that was sent over a stale connection is sent once
  /// more by itself. Not where its sender must know that it may have run: the
  /// second answer says nothing of the first.
  bool RetriesSafeMethods = true;
};

/// Thread-safe.
class HttpClient {
public:
  HttpClient(boost::asio::io_context &io, HttpClientInit init);
  ~HttpClient();
  /// That its calls run on; for timers around them.
  boost::asio::io_context &context() const;
  /// Sends the request, with a Host header of its own if it names none. A
  /// timeout of zero means none but the connect timeout.
  /// A kept-alive connection that turns out stale is replaced once, if nothing
  /// was sent over it or the method is GET or HEAD and those are repeated.
  HttpCall call(const Endpoint &to, HttpRequest request, Duration timeout,
                HttpHooks hooks);
  /// The same with the whole response at once.
  HttpCall fetch(const Endpoint &to, HttpRequest request, Duration timeout,
                 std::function<void(const Error &, HttpResponse)> done);

  /// Closes the connections that are kept to the peer and carry no call.
  void dropIdle(const Endpoint &to);

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace daisytack::net
