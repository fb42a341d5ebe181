#include "direct/store_links.h"

#include <gtest/gtest.h>

namespace daisytack::direct {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{Duration(1'000'000'000)};

TEST(StoreLinks, CountsOnlyTheExcessOverOtherStores) {
  StoreLinks links{{}};
  Endpoint slow{"10.0.0.1", 1};
  Endpoint sound{"10.0.0.2", 1};
  for (int i = 0; i < 50; ++i) {
    links.observe(slow, 500, Start);
    links.observe(sound, 480, Start);
  }
  EXPECT_LT(links.excessMs(slow, Start), 50);
  for (int i = 0; i < 50; ++i)
    links.observe(sound, 20, Start);
  EXPECT_GT(links.excessMs(slow, Start), 400);
  EXPECT_EQ(links.excessMs(sound, Start), 0);
  EXPECT_LT(links.excessMs(slow, Start + 10s), 5); // Decayed: tried again.
}

/// All requests are late because the engines are slow. A store without recent
/// fetches must not make the links of the others look slow.
TEST(StoreLinks, ComparesOnlyWithRecentObservations) {
  StoreLinks links{{}};
  Endpoint used{"10.0.0.1", 1};
  Endpoint unused{"10.0.0.2", 1};
  links.observe(unused, 400, Start);
  for (int i = 0; i < 50; ++i) {
    links.observe(used, 500, Start + 5s);
    links.observe(std::nullopt, 500, Start + 5s);
  }
  EXPECT_LT(links.excessMs(used, Start + 5s), 1);
}

/// Each of 26 entries sees a fetch from a store only every few seconds, and a
/// link is slow for five seconds. Together they notice it at once.
TEST(StoreLinks, LearnsOfASlowLinkFromOtherEntries) {
  Endpoint slow{"10.0.0.1", 1};
  Endpoint sound{"10.0.0.2", 1};
  StoreLinks here{{}};
  here.observe(sound, 20, Start);
  here.takeGossip();
  for (int entry = 0; entry < 25; ++entry) {
    StoreLinks there{{}};
    there.observe(slow, 1500, Start);
    here.onPeerDelays(there.takeGossip(), Start);
    EXPECT_TRUE(there.takeGossip().empty()); // Passed on once only.
  }
  EXPECT_GT(here.excessMs(slow, Start), 1000);
  EXPECT_EQ(here.excessMs(sound, Start), 0);
  EXPECT_TRUE(here.takeGossip().empty()); // Reports are not passed on.
}

TEST(StoreLinks, PassesOnTheLatestObservations) {
  StoreLinkSettings settings;
  StoreLinks links{settings};
  for (size_t i = 0; i < settings.MaxGossipDelays + 5; ++i)
    links.observe(std::nullopt, static_cast<double>(i), Start);
  std::vector<LinkDelay> delays = links.takeGossip();
  ASSERT_EQ(delays.size(), settings.MaxGossipDelays);
  EXPECT_EQ(delays.front(), (LinkDelay{0, 5}));
}

/// A delay from another entry counts for no more than one of this entry's own.
TEST(StoreLinks, BoundsDelaysFromOtherEntries) {
  StoreLinks links{{}};
  Endpoint store{"10.0.0.1", 1};
  links.observe(std::nullopt, 0, Start);
  links.observe(store, 0, Start);
  StoreLinks other{{}};
  other.observe(store, 1, Start);
  LinkDelay delay = other.takeGossip().front();
  delay.LateMs = UINT32_MAX;
  for (int i = 0; i < 100; ++i)
    links.onPeerDelays({delay}, Start);
  EXPECT_LE(links.excessMs(store, Start), StoreLinkSettings{}.MaxDelayMs);
}

} // namespace
} // namespace daisytack::direct
