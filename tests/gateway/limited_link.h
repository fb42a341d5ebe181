/// A network link of limited rate on loopback: TCP proxies whose bytes towards
/// the one that connects share one rate, as those towards an instance share its
/// link. The other direction is not limited.
#pragma once

#include "gateway/test_ports.h"
#include "net/http_socket.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <optional>

namespace daisytack::test {

class LimitedLink {
  using Tcp = boost::asio::ip::tcp;
  using Clock = std::chrono::steady_clock;
  using Connection = std::shared_ptr<Tcp::socket>;
  /// The receive buffer of each connection behind a proxy. Small, so that a
  /// sender notices when its receiver has left.
  static constexpr int SocketBufferBytes = 16 << 10;

public:
  LimitedLink(boost::asio::io_context &io, double bytesPerSecond)
      : Io(io), Rate(bytesPerSecond), Strand(boost::asio::make_strand(io)) {}

  /// Returns the address of a new proxy in front of the target.
  Endpoint to(const Endpoint &target) {
    Endpoint out = freeEndpoint();
    auto acceptor = std::make_shared<Tcp::acceptor>(Strand);
    acceptor->open(Tcp::v4());
    acceptor->set_option(Tcp::acceptor::reuse_address(true));
    acceptor->bind(address(out));
    acceptor->listen();
    boost::asio::co_spawn(Strand, accept(acceptor, address(target)),
                          boost::asio::detached);
    return out;
  }
  /// Bytes that have crossed the link so far.
  uint64_t carried() const { return Carried; }

private:
  static Tcp::endpoint address(const Endpoint &of) {
    return {boost::asio::ip::make_address(of.Address), of.Port};
  }

  boost::asio::awaitable<void> accept(std::shared_ptr<Tcp::acceptor> acceptor,
                                      Tcp::endpoint target) {
    for (;;) {
      auto near = std::make_shared<Tcp::socket>(Strand);
      net::ErrorCode ec;
      co_await acceptor->async_accept(
          *near, boost::asio::redirect_error(boost::asio::use_awaitable, ec));
      if (ec)
        co_return;
      boost::asio::co_spawn(Strand, serve(near, target), boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> serve(Connection near, Tcp::endpoint target) {
    auto far = std::make_shared<Tcp::socket>(Strand, Tcp::v4());
    far->set_option(Tcp::socket::receive_buffer_size(SocketBufferBytes));
    net::ErrorCode ec;
    co_await far->async_connect(
        target, boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    if (ec)
      co_return;
    boost::asio::co_spawn(Strand, pump(near, far, false),
                          boost::asio::detached);
    co_await pump(far, near, true);
  }

  /// Copies bytes until either side ends its connection.
  boost::asio::awaitable<void> pump(Connection from, Connection to,
                                    bool isLimited) {
    std::array<char, 4096> buf{};
    net::ErrorCode ec;
    while (!ec) {
      size_t n = co_await from->async_read_some(
          boost::asio::buffer(buf),
          boost::asio::redirect_error(boost::asio::use_awaitable, ec));
      if (isLimited && !ec)
        co_await transmit(n);
      if (!ec)
        co_await boost::asio::async_write(
            *to, boost::asio::buffer(buf.data(), n),
            boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }
    net::ErrorCode ignored;
    from->close(ignored);
    to->close(ignored);
  }

  /// Waits until the link has carried the bytes, after those before them.
  boost::asio::awaitable<void> transmit(size_t n) {
    auto duration = std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(static_cast<double>(n) / Rate));
    FreeAt = std::max(FreeAt, Clock::now()) + duration;
    Carried += n;
    boost::asio::steady_timer timer(Strand, FreeAt);
    net::ErrorCode ec;
    co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ec));
  }

  boost::asio::io_context &Io;
  const double Rate;
  boost::asio::strand<boost::asio::io_context::executor_type> Strand;
  Clock::time_point FreeAt;
  std::atomic<uint64_t> Carried{0};
};

} // namespace daisytack::test
