#include "net/http_client.h"

#include "net/http_client_call.h"

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

std::shared_ptr<HttpClientConnection>
HttpConnectionPool::take(const Endpoint &to) {
  auto now = BootClock::now();
  while (auto connection = takeLast(to))
    if (connection->isReusable(now))
      return connection;
  return nullptr;
}

std::shared_ptr<HttpClientConnection>
HttpConnectionPool::takeLast(const Endpoint &to) {
  std::lock_guard guard(Lock);
  auto it = Idle.find(to);
  if (it == Idle.end() || it->second.empty())
    return nullptr;
  auto out = std::move(it->second.back());
  it->second.pop_back();
  return out;
}

void HttpConnectionPool::put(const Endpoint &to,
                             std::shared_ptr<HttpClientConnection> connection) {
  // Destroyed after the lock is released.
  std::shared_ptr<HttpClientConnection> oldest;
  std::lock_guard guard(Lock);
  if (Closed)
    return;
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
        Pool(std::make_shared<HttpConnectionPool>(init.MaxIdlePerEndpoint)) {}

  asio::io_context &Io;
  HttpClientInit Init;
  std::shared_ptr<HttpConnectionPool> Pool;
};

HttpClient::HttpClient(asio::io_context &io, HttpClientInit init)
    : Self(std::make_shared<Impl>(io, init)) {}

HttpClient::~HttpClient() { Self->Pool->close(); }

boost::asio::io_context &HttpClient::context() const { return Self->Io; }

void HttpClient::dropIdle(const Endpoint &to) { Self->Pool->drop(to); }

HttpCall HttpClient::call(const Endpoint &to, HttpRequest request,
                          HttpTimeout timeout, HttpHooks hooks,
                          size_t maxBodyBytes) {
  auto running =
      std::make_shared<HttpClientCall>(Self->Io, Self->Init, Self->Pool, to,
                                       std::move(request), std::move(hooks));
  running->start(timeout, maxBodyBytes);
  return HttpCall([weak = std::weak_ptr(running)] {
    if (auto self = weak.lock())
      self->cancel();
  });
}

HttpCall
HttpClient::fetch(const Endpoint &to, HttpRequest request, HttpTimeout timeout,
                  std::function<void(const Error &, HttpResponse)> done) {
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
  return call(to, std::move(request), timeout, std::move(hooks),
              Self->Init.MaxResponseBodyBytes);
}

} // namespace daisytack::net
