#include "direct/rendezvous.h"
#include "direct/server_loads.h"

#include <gtest/gtest.h>

#include <vector>

namespace daisytack::direct {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{Duration(1'000'000'000)};

TEST(ServerLoads, NoticesASilentServerOnlyWhileAnAnswerIsDue) {
  ServerLoads loads{{}};
  loads.onSent("a", 100, Start);
  EXPECT_FALSE(loads.view("a", Start + 1s).IsAvoided);
  EXPECT_TRUE(loads.view("a", Start + 2s).IsAvoided);
  loads.onHeard("a", Start + 2s);
  EXPECT_FALSE(loads.view("a", Start + 3s).IsAvoided);
  loads.onEnded("a", 100, false, Start + 3s);
  EXPECT_EQ(loads.view("a", Start + 60s), ServerLoadView{});
  loads.forgetIdle(Start + 60s);
  EXPECT_TRUE(loads.own().empty());
}

/// With many entries each is heard seldom, and counts until it is heard again.
TEST(ServerLoads, RemembersAnEntryAsLongAsItsPeriodAsks) {
  ServerLoads loads{{}};
  std::vector<LoadShare> shares{{stableHash("a"), 2, 700, 900}};
  loads.onPeer("often", shares, 100ms, Start);
  loads.onPeer("seldom", shares, 1s, Start);
  loads.onPeer("absurd", shares, Duration::max(), Start);
  loads.onPeer("negative", shares, -1s, Start);
  EXPECT_EQ(loads.view("a", Start).HeldTokens, 2700);
  EXPECT_EQ(loads.view("a", Start + 1s).Tokens, 1400);
  EXPECT_EQ(loads.view("a", Start + 11s).Running, 0);
}

TEST(ServerLoads, AvoidsAServerLongerEachTimeItTurnsARequestAway) {
  ServerLoads loads{{}};
  loads.onTurnedAway("a", Start);
  loads.onTurnedAway("a", Start + 1ms); // Of the same moment.
  EXPECT_FALSE(loads.view("a", Start + 260ms).IsAvoided);
  loads.onTurnedAway("a", Start + 260ms);
  EXPECT_TRUE(loads.view("a", Start + 700ms).IsAvoided);
  EXPECT_FALSE(loads.view("a", Start + 800ms).IsAvoided);
  loads.onFirstByte("a", 0, Start + 800ms);
  loads.onTurnedAway("a", Start + 800ms);
  EXPECT_FALSE(loads.view("a", Start + 1060ms).IsAvoided);
}

/// The record of an instance that was replaced lapses after three heartbeats;
/// until then every request sent there would be turned away.
TEST(ServerLoads, AvoidsAReplacedServerUntilItsRecordHasLapsed) {
  ServerLoads loads{{}};
  loads.onTurnedAway("a", Start);
  loads.onReplaced("a", Start);
  EXPECT_TRUE(loads.view("a", Start + 3600ms).IsAvoided);
  EXPECT_FALSE(loads.view("a", Start + 5s).IsAvoided);
}

TEST(ServerLoads, AvoidsAServerThatTurnsRequestsAwayForAMoment) {
  ServerLoads loads{{}};
  loads.onTurnedAway("a", Start);
  EXPECT_TRUE(loads.view("a", Start + 100ms).IsAvoided);
  EXPECT_FALSE(loads.view("a", Start + 300ms).IsAvoided);
  loads.avoidUntil("a", Start + 10s);
  loads.onLoaded("a");
  EXPECT_FALSE(loads.view("a", Start + 1s).IsAvoided);
}

} // namespace
} // namespace daisytack::direct
