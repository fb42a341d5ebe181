/// Ports for tests stay free until the test listens on them.
#include "gateway/test_ports.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>

namespace daisytack::test {
namespace {

/// The first port of the range from which the kernel picks ports by itself.
unsigned firstEphemeralPort() {
  std::ifstream range("/proc/sys/net/ipv4/ip_local_port_range");
  unsigned out = 0;
  range >> out;
  return out;
}

TEST(PortBlock, LiesBelowTheEphemeralPortRange) {
  EXPECT_LE(PortBlock::First + PortBlock::Size * PortBlock::Blocks,
            firstEphemeralPort());
  EXPECT_LT(freeEndpoint().Port, firstEphemeralPort());
}

TEST(PortBlock, BelongsToOneHolder) {
  auto one = PortBlock::take();
  auto two = PortBlock::take();
  ASSERT_TRUE(one && two);
  EXPECT_NE(one->base(), two->base());
}

TEST(PortBlock, IsSkippedWhileAProcessListensOnIt) {
  namespace ip = boost::asio::ip;
  auto one = PortBlock::take();
  ASSERT_TRUE(one);
  uint16_t base = one->base();
  boost::asio::io_context io;
  ip::tcp::acceptor listener(
      io, {ip::make_address("127.0.0.1"), static_cast<uint16_t>(base + 7)});
  one.reset();
  auto other = PortBlock::take();
  ASSERT_TRUE(other);
  EXPECT_NE(other->base(), base);
}

TEST(PortBlock, ReturnsNothingOnceAllPortsAreUsed) {
  auto block = PortBlock::take();
  ASSERT_TRUE(block);
  std::set<uint16_t> seen;
  while (auto port = block->next())
    EXPECT_TRUE(seen.insert(*port).second);
  EXPECT_EQ(seen.size(), PortBlock::Size);
}

TEST(FreeEndpoint, IsNeverTheSameTwice) {
  std::set<uint16_t> seen;
  for (int i = 0; i < 2 * PortBlock::Size; ++i)
    EXPECT_TRUE(seen.insert(freeEndpoint().Port).second);
}

} // namespace
} // namespace daisytack::test
