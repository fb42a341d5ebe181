/// Guards against calls of a peer link's hooks after stop(): their owner may
/// have been destroyed by then.
#include "runtime/peer_link.h"

#include <boost/asio/ip/udp.hpp>

#include <gtest/gtest.h>

namespace daisytack::runtime {
namespace {

using boost::asio::ip::udp;

/// Number of datagrams that a link reports as rejected after it was stopped.
/// It is stopped when this many handlers have run since the datagram was sent.
int rejectionsAfterStop(int handlersBefore) {
  boost::asio::io_context io;
  bool isStopped = false;
  int out = 0;
  PeerLinkHooks hooks;
  hooks.Rejected = [&](ErrorKind) { out += isStopped ? 1 : 0; };
  auto link = std::make_shared<PeerLink>(
      io, boost::asio::make_strand(io),
      PeerLinkInit{{"127.0.0.1", 0}, {{"a", "secret"}}, {1, 1}}, hooks);
  Error reason;
  EXPECT_TRUE(link->start(reason)) << reason.Detail;
  io.poll();
  udp::socket sender(io, udp::v4());
  sender.send_to(
      boost::asio::buffer(std::string("not sealed")),
      udp::endpoint(boost::asio::ip::address_v4::loopback(), link->port()));
  for (int i = 0; i < handlersBefore; ++i)
    io.run_one_for(std::chrono::seconds(1));
  link->stop();
  isStopped = true;
  io.poll();
  return out;
}

TEST(PeerLink, ReportsNoRejectedDatagramAfterItWasStopped) {
  for (int handlers = 1; handlers <= 3; ++handlers)
    EXPECT_EQ(rejectionsAfterStop(handlers), 0) << handlers;
}

} // namespace
} // namespace daisytack::runtime
