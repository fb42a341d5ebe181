/// Loads of many servers are cut to fit one datagram instead of being left out.
#include "gateway/load_datagram.h"

#include "daisytack/limits.h"
#include "wire/codec.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace daisytack::gateway {
namespace {

using direct::EntryLoads;
using direct::PeerMessage;

EntryLoads loadsOf(uint32_t servers, uint32_t delays) {
  EntryLoads out{"entry", 100'000, {}, {}};
  for (uint32_t i = 0; i < servers; ++i)
    out.Servers.push_back({i + 1, 3, 1000 + i, 5000});
  for (uint32_t i = 0; i < delays; ++i)
    out.Links.push_back({i, i});
  return out;
}

EntryLoads encodeAndDecode(const EntryLoads &loads) {
  std::string bytes = encodeLoads(loads, MaxDatagramBytes);
  EXPECT_LE(bytes.size(), MaxDatagramBytes);
  Error reason;
  auto message = wire::decode<PeerMessage>(bytes, reason);
  EXPECT_TRUE(message) << reason.Detail;
  return std::get<EntryLoads>(*message);
}

TEST(LoadDatagram, HoldsAllServersOfASmallFleet) {
  EntryLoads loads = loadsOf(30, 32);
  EXPECT_EQ(encodeAndDecode(loads), loads);
}

/// Guards against an entry with requests at 70 servers or more that reports
/// none of them.
TEST(LoadDatagram, KeepsTheBusiestServersOfALargeFleet) {
  for (uint32_t servers : {50U, 70U, 76U, 500U, 10'000U}) {
    EntryLoads received = encodeAndDecode(loadsOf(servers, 32));
    EXPECT_GE(received.Servers.size(), 40U) << servers;
    EXPECT_EQ(received.Links.size(), 32U);
    auto least =
        std::min_element(received.Servers.begin(), received.Servers.end(),
                         [](const auto &a, const auto &b) {
                           return a.WaitingTokens < b.WaitingTokens;
                         });
    EXPECT_EQ(least->WaitingTokens, 1000 + servers - received.Servers.size());
  }
}

} // namespace
} // namespace daisytack::gateway
