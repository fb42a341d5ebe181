#include "net/frame_link.h"

#include "net/frame_session.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>

#include <chrono>
#include <deque>

namespace daisytack::net {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// An accepted connection is closed if the peer does not authenticate within
/// this time.
constexpr Duration HandshakeTimeout{5'000'000};
/// Accepted connections whose peers have not authenticated yet. Beyond it the
/// oldest one is closed, so that peers with a key still get in.
constexpr size_t MaxUnproven = 256;
/// Delay after a failed accept, for example when file descriptors run out.
constexpr Duration AcceptRetryDelay{50'000};

} // namespace

std::shared_ptr<FrameLink> connectFrames(asio::io_context &io,
                                         const Endpoint &to, PeerKeys keys,
                                         Duration connectTimeout,
                                         FrameHooks hooks) {
  auto session = std::make_shared<FrameSession>(
      io, FrameSession::Socket(io), FrameRole::Connector, std::move(keys),
      std::move(hooks));
  session->connect(to, connectTimeout);
  return session;
}

struct FrameServer::Impl : std::enable_shared_from_this<FrameServer::Impl> {
  Impl(asio::io_context &io, Endpoint listen, PeerKeys keys, FrameHooks hooks)
      : Io(io), Strand(io.get_executor()), Acceptor(Strand), RetryTimer(Strand),
        Listen(std::move(listen)), Keys(std::move(keys)),
        Hooks(std::move(hooks)) {}

  bool start(Error &reason) {
    error_code ec;
    auto address = asio::ip::make_address(Listen.Address, ec);
    asio::ip::tcp::endpoint local(address, Listen.Port);
    if (!ec)
      Acceptor.open(local.protocol(), ec);
    if (!ec)
      Acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
      Acceptor.bind(local, ec);
    if (!ec)
      Acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec) {
      reason = {ErrorKind::BadValue,
                "can't listen on " + toString(Listen) + ": " + ec.message()};
      return false;
    }
    Port = Acceptor.local_endpoint(ec).port();
    asio::post(Strand, [self = shared_from_this()] { self->accept(); });
    return true;
  }

  void accept() {
    Acceptor.async_accept(
        Io, asio::bind_executor(
                Strand, [self = shared_from_this()](
                            error_code ec, FrameSession::Socket socket) {
                  if (!self->Acceptor.is_open())
                    return;
                  if (ec)
                    return self->scheduleRetry();
                  self->open(std::move(socket));
                  self->accept();
                }));
  }

  void scheduleRetry() {
    RetryTimer.expires_after(AcceptRetryDelay);
    RetryTimer.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec && self->Acceptor.is_open())
        self->accept();
    });
  }

  void open(FrameSession::Socket socket) {
    PeerKeys keys;
    {
      std::lock_guard guard(Lock);
      keys = Keys;
    }
    auto session = std::make_shared<FrameSession>(
        Io, std::move(socket), FrameRole::Acceptor, std::move(keys), Hooks);
    std::erase_if(Sessions, [](const auto &weak) { return weak.expired(); });
    Sessions.push_back(session);
    std::erase_if(Unproven, [](const auto &weak) {
      auto known = weak.lock();
      return !known || known->isProven();
    });
    if (Unproven.size() >= MaxUnproven) {
      if (auto oldest = Unproven.front().lock())
        oldest->close();
      Unproven.pop_front();
    }
    Unproven.push_back(session);
    session->startAccepted(HandshakeTimeout);
  }

  void stopAccepting() {
    asio::post(Strand, [self = shared_from_this()] { self->closeAcceptor(); });
  }

  void stop() {
    asio::post(Strand, [self = shared_from_this()] {
      self->closeAcceptor();
      for (const auto &weak : self->Sessions)
        if (auto session = weak.lock())
          session->close();
    });
  }

  void closeAcceptor() {
    error_code ignored;
    Acceptor.close(ignored);
    RetryTimer.cancel();
  }

  asio::io_context &Io;
  asio::strand<asio::io_context::executor_type> Strand;
  asio::ip::tcp::acceptor Acceptor;
  net::Timer RetryTimer;
  const Endpoint Listen;
  uint16_t Port = 0;
  std::mutex Lock;
  PeerKeys Keys;
  FrameHooks Hooks;
  std::vector<std::weak_ptr<FrameSession>> Sessions;
  std::deque<std::weak_ptr<FrameSession>> Unproven; ///< Oldest first.
};

FrameServer::FrameServer(asio::io_context &io, Endpoint listen, PeerKeys keys,
                         FrameHooks hooks)
    : Self(std::make_shared<Impl>(io, std::move(listen), std::move(keys),
                                  std::move(hooks))) {}

FrameServer::~FrameServer() { Self->stop(); }

bool FrameServer::start(Error &reason) { return Self->start(reason); }

uint16_t FrameServer::port() const { return Self->Port; }

void FrameServer::stopAccepting() { Self->stopAccepting(); }

void FrameServer::setKeys(PeerKeys keys) {
  std::lock_guard guard(Self->Lock);
  Self->Keys = std::move(keys);
}

} // namespace daisytack::net
