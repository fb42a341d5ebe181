#include "net/http_server.h"

#include "net/http_connection.h"

namespace daisytack::net {

namespace {
/// Delay after a failed accept, for example when file descriptors run out.
constexpr Duration AcceptRetryDelay{50'000};
} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(asio::io_context &io, HttpServerInit init, HttpHandler handler)
      : Io(io), Acceptor(asio::make_strand(io)),
        RetryTimer(Acceptor.get_executor()),
        Shared(std::make_shared<HttpServerShared>(std::move(init),
                                                  std::move(handler))) {}

  bool listen(Error &reason);
  void accept();
  void onAccepted(ErrorCode ec, StrandSocket socket);
  void acceptPending();
  void admit(StrandSocket socket);

  asio::io_context &Io;
  asio::basic_socket_acceptor<tcp, Strand> Acceptor;
  StrandTimer RetryTimer;
  std::shared_ptr<HttpServerShared> Shared;
  uint16_t Port = 0;
};

bool HttpServer::Impl::listen(Error &reason) {
  tcp::endpoint address;
  ErrorCode ec;
  if (!toTcp(Shared->Init.Listen, address))
    ec = asio::error::invalid_argument;
  if (!ec)
    Acceptor.open(address.protocol(), ec);
  if (!ec)
    Acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  // Accepted sockets inherit the size. Set before listen(), which fixes the
  // scale of the window.
  if (!ec && Shared->Init.ReceiveBufferBytes > 0)
    Acceptor.set_option(asio::socket_base::receive_buffer_size(
                            static_cast<int>(Shared->Init.ReceiveBufferBytes)),
                        ec);
  if (!ec)
    Acceptor.bind(address, ec);
  if (!ec)
    Acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) {
    reason = {ErrorKind::BadValue, "can't listen on " +
                                       toString(Shared->Init.Listen) + ": " +
                                       ec.message()};
    return false;
  }
  Port = Acceptor.local_endpoint(ec).port();
  accept();
  return true;
}

void HttpServer::Impl::accept() {
  Acceptor.async_accept(
      asio::make_strand(Io),
      [self = shared_from_this()](ErrorCode ec, StrandSocket socket) {
        self->onAccepted(ec, std::move(socket));
      });
}

void HttpServer::Impl::onAccepted(ErrorCode ec, StrandSocket socket) {
  // A connection accepted just before the listener was closed is served,
  // because its caller already sees it as established.
  if (!ec)
    admit(std::move(socket));
  if (!Acceptor.is_open())
    return;
  if (!ec)
    return accept();
  RetryTimer.expires_after(AcceptRetryDelay);
  RetryTimer.async_wait([self = shared_from_this()](ErrorCode failed) {
    if (!failed && self->Acceptor.is_open())
      self->accept();
  });
}

void HttpServer::Impl::admit(StrandSocket socket) {
  bool isFull = Shared->OpenConnections >= Shared->Init.MaxConnections;
  // If this returns, the destructor of the socket closes the connection.
  if (Shared->Closed || (isFull && !Shared->closeLongestWaiting()))
    return;
  std::make_shared<HttpConnection>(std::move(socket), Shared)->start();
}

/// Accepts the connections in the listen backlog, which would be reset when the
/// listener is closed.
void HttpServer::Impl::acceptPending() {
  ErrorCode ec;
  Acceptor.non_blocking(true, ec);
  while (!ec) {
    StrandSocket socket(asio::make_strand(Io));
    Acceptor.accept(socket, ec);
    if (!ec)
      admit(std::move(socket));
  }
}

HttpServer::HttpServer(asio::io_context &io, HttpServerInit init,
                       HttpHandler handler)
    : Self(std::make_shared<Impl>(io, std::move(init), std::move(handler))) {}

HttpServer::~HttpServer() {
  Self->Shared->Closed = true;
  stopAccepting();
  for (const auto &connection : Self->Shared->connections())
    connection->closeNow();
}

bool HttpServer::start(Error &reason) { return Self->listen(reason); }

uint16_t HttpServer::port() const { return Self->Port; }

void HttpServer::setLimits(const HttpLimits &limits) {
  Self->Shared->Limits.store(std::make_shared<const HttpLimits>(limits));
}

void HttpServer::closeConnectionsAfterResponses() {
  Self->Shared->ClosesAfterResponse = true;
}

void HttpServer::refuseAfter(Duration fromNow) {
  Self->Shared->refuseAfter(BootClock::now() + fromNow);
}

void HttpServer::stopAccepting() {
  if (Self->Shared->Stopping.exchange(true))
    return;
  refuseAfter(Self->Shared->Init.LateRequestGrace);
  asio::dispatch(Self->Acceptor.get_executor(), [self = Self] {
    if (!self->Acceptor.is_open())
      return;
    self->acceptPending();
    ErrorCode ignored;
    self->Acceptor.close(ignored);
    self->RetryTimer.cancel();
    for (const auto &connection : self->Shared->connections())
      connection->closeWhenIdle();
  });
}

size_t HttpServer::openConnections() const {
  return Self->Shared->OpenConnections;
}

size_t HttpServer::unsentResponses() const {
  return Self->Shared->UnsentResponses;
}

} // namespace daisytack::net
