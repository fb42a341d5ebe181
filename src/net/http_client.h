/// Asynchronous HTTP/1.1 client on Boost.Beast, with connection reuse, timeouts
/// and cancellation.
#pragma once

#include "net/http_server.h"

#include <compare>
#include <optional>

namespace daisytack::net {

/// The connection that carries a call.
struct HttpConnectionInfo {
  uint64_t Number = 0;       ///< Unique among the connections of its client.
  uint16_t LocalPort = 0;    ///< 0 if the connection has failed already.
  uint64_t EarlierCalls = 0; ///< Calls that were sent on it before this one.
  auto operator<=>(const HttpConnectionInfo &) const = default;
};

/// Callbacks of a call, called in order on an I/O thread. None is called after
/// Done.
struct HttpHooks {
  /// The request is about to be sent on this connection. Called once more if
  /// the connection turns out to be stale and another one is used.
  std::function<void(const HttpConnectionInfo &connection)> Sending;
  /// Asked right before the request is sent, on each connection. If it must not
  /// be sent any more, the call ends with ServiceUnavailable. If empty, every
  /// request is sent.
  std::function<bool()> MaySend;
  /// Returns whether a response belongs to this request. A response that does
  /// not is read and discarded, and the next one on the connection is checked.
  /// If empty, every response is accepted. `isFirst` tells that the connection
  /// has carried no other request and no other response.
  std::function<bool(const std::vector<HttpHeader> &headers, bool isFirst)>
      MatchesRequest;
  std::function<void(unsigned status, const std::vector<HttpHeader> &headers)>
      Head;
  std::function<void(std::string_view data)> Data;
  /// Called once at the end of the call. Kinds of error:
  /// - None: the complete response was received.
  /// - ServerLost: the connection failed after bytes of the request may have
  ///   been sent.
  /// - DeadlinePassed: the timeout expired after bytes of the request may have
  ///   been sent.
  /// - ServiceUnavailable: the call failed or timed out before anything was
  ///   sent.
  /// - ProtocolError: the response is malformed or too large.
  /// - Cancelled: the call was cancelled.
  std::function<void(const Error &error)> Done;
};

/// Handle of a running call. Copyable; may outlive the call.
class HttpCall {
public:
  HttpCall() = default;
  /// A function that continues a paused call.
  using Resume = std::function<void()>;
  explicit HttpCall(std::function<void()> cancel,
                    std::function<Resume()> pause = {})
      : Stop(std::move(cancel)), Pause(std::move(pause)) {}
  /// Cancels the call; Done is called with Cancelled unless the call has ended.
  void cancel() const {
    if (Stop)
      Stop();
  }
  /// Stops reading the response until the result is called: at most one more
  /// Data follows. The call may end meanwhile, for example by its timeout. It
  /// lives as long as the result, which may be empty.
  Resume pause() const { return Pause ? Pause() : Resume(); }

private:
  std::function<void()> Stop;
  std::function<Resume()> Pause;
};

/// How long a call may take.
struct HttpTimeout {
  template <class Rep, class Period>
  // NOLINTNEXTLINE(google-explicit-constructor)
  HttpTimeout(std::chrono::duration<Rep, Period> total, Duration progress = {})
      : Total(total), Progress(progress) {}
  /// Until the whole response; zero: only the connect timeout applies.
  Duration Total;
  /// If this is set, a call whose response is being received goes on after
  /// Total: each HttpProgressBytes of it allow this time for the next ones.
  /// A response that comes more slowly is given up.
  Duration Progress{0};
  bool operator==(const HttpTimeout &) const = default;
};

/// Limits of one call, and which connections it may use.
struct HttpCallOptions {
  /// A longer body ends the call with ProtocolError.
  size_t MaxBodyBytes = SIZE_MAX;
  /// What the response names to show which request it belongs to, as a hash;
  /// for example, of the request's id. Calls with equal keys never share a
  /// connection: on it, a second copy of the response to one of them would be
  /// taken for the response to another.
  std::optional<uint64_t> ResponseKey;
  /// The call uses a connection of its own, which is closed after it. For calls
  /// with an effect whose responses name no request: on a shared connection, a
  /// second copy of the response to an earlier call would be taken for theirs.
  bool UsesOwnConnection = false;
  /// The body is held until it is complete, and counts against
  /// HttpClientInit::MaxHeldBytes. Set by fetch().
  bool HoldsBody = false;
  bool operator==(const HttpCallOptions &) const = default;
};

/// See HttpTimeout::Progress.
constexpr size_t HttpProgressBytes = 16U << 10;

/// Longest body of a backend server's answer, in bytes. A longer one, such as
/// one without end, is broken off.
constexpr size_t MaxServerAnswerBytes = 16U << 20;

struct HttpClientInit {
  size_t MaxIdlePerEndpoint = 16;
  Duration ConnectTimeout{1'000'000};
  /// An idle connection is no longer reused this long before the timeout in the
  /// peer's Keep-Alive header. Covers network latency and timer delays on both
  /// sides.
  Duration KeepAliveMargin{300'000};
  size_t MaxResponseHeaderBytes = 64U << 10;
  /// Applies to fetch(); call() takes the limit as an argument.
  size_t MaxResponseBodyBytes = 64U << 20;
  /// Limit on the bodies of all responses together that fetch() holds, until
  /// the calls' hooks have returned. A response that would exceed it ends with
  /// ProtocolError.
  size_t MaxHeldBytes = SIZE_MAX;
  /// Bytes of interim responses, and of responses to other requests, that a
  /// call skips before it ends with ProtocolError.
  size_t MaxSkippedBytes = 1U << 20;
  /// Whether a GET or HEAD request that was sent over a stale connection is
  /// retried once automatically. Disable it if the caller must know that the
  /// request may have run: the response to the retry does not show whether the
  /// first attempt ran.
  bool RetriesSafeMethods = true;
  /// Size of the sockets' receive buffers, which hold what servers send before
  /// it is read; 0: the system decides.
  size_t ReceiveBufferBytes = 0;
};

/// Thread-safe.
class HttpClient {
public:
  HttpClient(boost::asio::io_context &io, HttpClientInit init);
  ~HttpClient();
  /// I/O context that runs the calls; callers may run their timers on it.
  boost::asio::io_context &context() const;
  /// Sends the request; adds a Host header if it has none.
  /// If a reused connection turns out to be stale, the request is sent once
  /// more on a new connection, provided that nothing was sent before or that
  /// the method is GET or HEAD and RetriesSafeMethods is set.
  HttpCall call(const Endpoint &to, HttpRequest request, HttpTimeout timeout,
                HttpHooks hooks, HttpCallOptions options = {});
  /// Like call(), but passes the complete response to done. Its body is also
  /// limited by HttpClientInit::MaxResponseBodyBytes.
  HttpCall fetch(const Endpoint &to, HttpRequest request, HttpTimeout timeout,
                 std::function<void(const Error &, HttpResponse)> done,
                 HttpCallOptions options = {});

  /// Closes the idle connections to the endpoint.
  void dropIdle(const Endpoint &to);

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace daisytack::net
