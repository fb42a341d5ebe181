#include "net/http_client.h"

#include "net/http_client_call.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace daisytack::net {

bool HttpClientConnection::isReusable(BootClock::time_point now) {
  return now < UsableUntil && probePeer(Socket) == PeerState::NoData;
}

HttpConnectionInfo HttpClientConnection::info() const {
  ErrorCode ec;
  uint16_t port = Socket.local_endpoint(ec).port();
  return {Number, ec ? uint16_t{0} : port, Calls};
}

bool HttpClientConnection::hasKey(
    const std::optional<uint64_t> &responseKey) const {
  return responseKey && std::find(ResponseKeys.begin(), ResponseKeys.end(),
                                  *responseKey) != ResponseKeys.end();
}

std::shared_ptr<HttpClientConnection>
HttpConnectionPool::take(const Endpoint &to,
                         const std::optional<uint64_t> &responseKey) {
  auto now = BootClock::now();
  while (auto connection = takeLast(to, responseKey))
    if (connection->isReusable(now))
      return connection;
  return nullptr;
}

std::shared_ptr<HttpClientConnection>
HttpConnectionPool::takeLast(const Endpoint &to,
                             const std::optional<uint64_t> &responseKey) {
  std::lock_guard guard(Lock);
  auto known = Idle.find(to);
  if (known == Idle.end())
    return nullptr;
  auto &idle = known->second;
  auto last = std::find_if(idle.rbegin(), idle.rend(), [&](const auto &it) {
    return !it->hasKey(responseKey);
  });
  if (last == idle.rend())
    return nullptr;
  auto out = std::move(*last);
  idle.erase(std::next(last).base());
  return out;
}

void HttpConnectionPool::put(const Endpoint &to,
                             std::shared_ptr<HttpClientConnection> connection) {
  // Destroyed after the lock is released.
  std::shared_ptr<HttpClientConnection> oldest;
  std::lock_guard guard(Lock);
  if (Closed)
    return;
  connection->releaseInput();
  auto &idle = Idle[to];
  idle.push_back(std::move(connection));
  if (idle.size() <= MaxIdle)
    return;
  oldest = std::move(idle.front());
  idle.erase(idle.begin());
}

void HttpConnectionPool::drop(const Endpoint &to) {
  // Destroyed after the lock is released.
  std::vector<std::shared_ptr<HttpClientConnection>> dropped;
  std::lock_guard guard(Lock);
  if (auto it = Idle.find(to); it != Idle.end())
    dropped.swap(it->second);
}

void HttpConnectionPool::close() {
  std::map<Endpoint, std::vector<std::shared_ptr<HttpClientConnection>>> all;
  std::lock_guard guard(Lock);
  Closed = true;
  all.swap(Idle);
}

struct HttpClient::Impl {
  Impl(asio::io_context &io, HttpClientInit init)
      : Io(io), Init(init),
        Pool(std::make_shared<HttpConnectionPool>(init.MaxIdlePerEndpoint)),
        Held(std::make_shared<HeldBytes>(init.MaxHeldBytes)) {}

  asio::io_context &Io;
  HttpClientInit Init;
  std::shared_ptr<HttpConnectionPool> Pool;
  std::shared_ptr<HeldBytes> Held;
};

HttpClient::HttpClient(asio::io_context &io, HttpClientInit init)
    : Self(std::make_shared<Impl>(io, init)) {}

HttpClient::~HttpClient() { Self->Pool->close(); }

boost::asio::io_context &HttpClient::context() const { return Self->Io; }

void HttpClient::dropIdle(const Endpoint &to) { Self->Pool->drop(to); }

HttpCall HttpClient::call(const Endpoint &to, HttpRequest request,
                          HttpTimeout timeout, HttpHooks hooks,
                          HttpCallOptions options) {
  auto running = std::make_shared<HttpClientCall>(
      Self->Io, Self->Init, Self->Pool, Self->Held, to, std::move(request),
      std::move(hooks));
  running->start(timeout, options);
  std::weak_ptr<HttpClientCall> weak = running;
  return HttpCall(
      [weak] {
        if (auto self = weak.lock())
          self->cancel();
      },
      [weak] {
        auto self = weak.lock();
        return self ? self->pause() : HttpCall::Resume();
      });
}

HttpCall
HttpClient::fetch(const Endpoint &to, HttpRequest request, HttpTimeout timeout,
                  std::function<void(const Error &, HttpResponse)> done,
                  HttpCallOptions options) {
  auto response = std::make_shared<HttpResponse>();
  HttpHooks hooks;
  hooks.Head = [response](unsigned status,
                          const std::vector<HttpHeader> &headers) {
    response->Status = status;
    response->Headers = headers;
  };
  hooks.Data = [response](std::string_view data) {
    response->Body.append(data);
  };
  hooks.Done = [response, done = std::move(done)](const Error &error) {
    done(error, error ? HttpResponse{} : std::move(*response));
  };
  options.HoldsBody = true;
  options.MaxBodyBytes =
      std::min(options.MaxBodyBytes, Self->Init.MaxResponseBodyBytes);
  return call(to, std::move(request), timeout, std::move(hooks), options);
}

} // namespace daisytack::net
