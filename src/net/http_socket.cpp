#include "net/http_socket.h"

#include <cerrno>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace daisytack::net {

namespace {

constexpr int KeepaliveIdleSeconds = 15;
constexpr int KeepaliveIntervalSeconds = 5;
constexpr int KeepaliveProbes = 3;

void setTcpOption(StrandSocket &socket, int option, int value) {
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value,
               sizeof(value));
}

} // namespace

void tuneSocket(StrandSocket &socket) {
  ErrorCode ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  setTcpOption(socket, TCP_KEEPIDLE, KeepaliveIdleSeconds);
  setTcpOption(socket, TCP_KEEPINTVL, KeepaliveIntervalSeconds);
  setTcpOption(socket, TCP_KEEPCNT, KeepaliveProbes);
}

PeerState probePeer(StrandSocket &socket) {
  char byte = 0;
  auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0)
    return PeerState::HasData;
  bool wouldBlock = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return wouldBlock ? PeerState::NoData : PeerState::Closed;
}

bool toTcp(const Endpoint &endpoint, tcp::endpoint &out) {
  ErrorCode ec;
  auto address = asio::ip::make_address(endpoint.Address, ec);
  if (ec)
    return false;
  out = tcp::endpoint(address, endpoint.Port);
  return true;
}

} // namespace daisytack::net
