#include "direct/store_links.h"

#include <gtest/gtest.h>

namespace daisytack::direct {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{Duration(1'000'000'000)};

TEST(StoreLinks, BlamesOnlyWhatOthersDoNotShare) {
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
  EXPECT_LT(links.excessMs(slow, Start + 10s), 5); // It is tried again.
}

/// All requests are late since the engines are: a store that nobody has fetched
/// from lately is no sign that the other links are slow.
TEST(StoreLinks, ComparesOnlyWithWhatWasSeenLately) {
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

/// One entry of 26 sees a fetch from a store every few seconds, a slow link
/// lasts for five; together they see it at once.
TEST(StoreLinks, KnowsOfASlowLinkFromWhatOtherEntriesSaw) {
  Endpoint slow{"10.0.0.1", 1};
  Endpoint sound{"10.0.0.2", 1};
  StoreLinks here{{}};
  here.observe(sound, 20, Start);
  here.takeGossip();
  for (int entry = 0; entry < 25; ++entry) {
    StoreLinks there{{}};
    there.observe(slow, 1500, Start);
    here.onPeerDelays(there.takeGossip(), Start);
    EXPECT_TRUE(there.takeGossip().empty()); // Each is told once.
  }
  EXPECT_GT(here.excessMs(slow, Start), 1000);
  EXPECT_EQ(here.excessMs(sound, Start), 0);
  EXPECT_TRUE(here.takeGossip().empty()); // And not passed on.
}

TEST(StoreLinks, TellsTheLatestOfManyObservations) {
  StoreLinkSettings settings;
  StoreLinks links{settings};
  for (size_t i = 0; i < settings.MostNews + 5; ++i)
    links.observe(std::nullopt, static_cast<double>(i), Start);
  std::vector<LinkDelay> news = links.takeGossip();
  ASSERT_EQ(news.size(), settings.MostNews);
  EXPECT_EQ(news.front(), (LinkDelay{0, 5}));
}

/// A delay from outside counts for no more than an own one.
TEST(StoreLinks, BoundsWhatAnotherEntryTells) {
  StoreLinks links{{}};
  Endpoint store{"10.0.0.1", 1};
  links.observe(std::nullopt, 0, Start);
  links.observe(store, 0, Start);
  StoreLinks other{{}};
  other.observe(store, 1, Start);
  LinkDelay told = other.takeGossip().front();
  told.LateMs = UINT32_MAX;
  for (int i = 0; i < 100; ++i)
    links.onPeerDelays({told}, Start);
  EXPECT_LE(links.excessMs(store, Start), StoreLinkSettings{}.MostMs);
}

} // namespace
} // namespace daisytack::direct
