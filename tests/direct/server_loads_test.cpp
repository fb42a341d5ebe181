#include "direct/rendezvous.h"
#include "direct/server_loads.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

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
  loads.onActivity("a", Start + 2s);
  EXPECT_FALSE(loads.view("a", Start + 3s).IsAvoided);
  loads.onEnded("a", 100, false, Start + 3s);
  EXPECT_EQ(loads.view("a", Start + 60s), ServerLoadView{});
  loads.forgetIdle(Start + 60s);
  EXPECT_TRUE(loads.ownLoads().empty());
}

/// With many entries each is heard seldom, and counts until it is heard again.
TEST(ServerLoads, RemembersAnEntryAsLongAsItsPeriodAsks) {
  ServerLoads loads{{}};
  std::vector<LoadShare> shares{{stableHash("a"), 2, 700, 900}};
  loads.onPeerReport("often", shares, 100ms, Start);
  loads.onPeerReport("seldom", shares, 1s, Start);
  loads.onPeerReport("absurd", shares, Duration::max(), Start);
  loads.onPeerReport("negative", shares, -1s, Start);
  EXPECT_EQ(loads.view("a", Start).HeldTokens, 2700);
  EXPECT_EQ(loads.view("a", Start + 1s).WaitingTokens, 1400);
  EXPECT_EQ(loads.view("a", Start + 11s).Running, 0);
}

/// What entries said last, each until it lapses, added up at each look.
class AddedAnew {
public:
  void onPeerReport(const std::string &entry, std::vector<LoadShare> shares,
                    TimePoint until) {
    Said[entry] = {until, std::move(shares)};
  }
  ServerLoadView view(uint64_t name, TimePoint now) const {
    ServerLoadView out;
    for (const auto &[entry, said] : Said)
      for (const LoadShare &it : said.second)
        if (it.Name == name && now < said.first)
          out = {out.Running + it.Running, out.WaitingTokens + it.WaitingTokens,
                 out.HeldTokens + it.HeldTokens, false};
    return out;
  }

private:
  std::map<std::string, std::pair<TimePoint, std::vector<LoadShare>>> Said;
};

/// The load: a thousand entries tell of thousands of servers, and each choice
/// looks at all of these. The sums that are kept must be what adding up anew
/// gives, whatever came in which order, was repeated or has lapsed.
RC_GTEST_PROP(ServerLoads, SumsAreWhatAddingUpAnewGives, ()) {
  constexpr int Servers = 4;
  ServerLoads loads{{}};
  AddedAnew anew;
  TimePoint now = Start;
  auto n = *rc::gen::inRange(1, 60);
  for (int i = 0; i < n; ++i) {
    now += 100ms * *rc::gen::inRange(0, 20);
    std::string entry(1, *rc::gen::inRange('a', 'e'));
    Duration period = 100ms * *rc::gen::inRange(0, 30);
    std::vector<LoadShare> shares;
    for (uint32_t server = 0; server < Servers; ++server)
      if (*rc::gen::arbitrary<bool>())
        shares.push_back({stableHash(std::to_string(server)),
                          *rc::gen::inRange(0U, 9U), *rc::gen::inRange(0U, 99U),
                          *rc::gen::inRange(0U, 99U)});
    loads.onPeerReport(entry, shares, period, now);
    Duration counts = std::min<Duration>(5 * period, 10s);
    anew.onPeerReport(entry, std::move(shares), now + counts);
    for (int server = 0; server < Servers; ++server) {
      std::string name = std::to_string(server);
      RC_ASSERT(loads.view({name, 0}, now) == anew.view(stableHash(name), now));
    }
  }
}

TEST(ServerLoads, AvoidsAServerLongerEachTimeItTurnsARequestAway) {
  ServerLoads loads{{}};
  loads.onRejected("a", Start);
  loads.onRejected("a", Start + 1ms); // Of the same moment.
  EXPECT_FALSE(loads.view("a", Start + 260ms).IsAvoided);
  loads.onRejected("a", Start + 260ms);
  EXPECT_TRUE(loads.view("a", Start + 700ms).IsAvoided);
  EXPECT_FALSE(loads.view("a", Start + 800ms).IsAvoided);
  loads.onFirstByte("a", 0, Start + 800ms);
  loads.onRejected("a", Start + 800ms);
  EXPECT_FALSE(loads.view("a", Start + 1060ms).IsAvoided);
}

/// Its own word, of one of its starts; the next one may want requests.
TEST(ServerLoads, KeepsAServerClosedForAsLongAsItSaid) {
  ServerLoads loads{{}};
  ServerRef first{"a", 1};
  loads.onRetryAfter(first, 90s, Start);
  loads.forgetIdle(Start + 80s); // Nothing was sent to it meanwhile.
  EXPECT_EQ(loads.view(first, Start + 80s).RetryAt, Start + 90s);
  EXPECT_EQ(loads.view({"a", 2}, Start).RetryAt, TimePoint());
  loads.onRetryAfter(first, 1s, Start + 2s); // The newest word counts.
  EXPECT_EQ(loads.view(first, Start + 2s).RetryAt, Start + 3s);
}

TEST(ServerLoads, RemembersThatAServerLeavesAndTellsItForAWhile) {
  ServerLoads loads{{}};
  ServerRef first{"a", 1};
  EXPECT_TRUE(loads.onLeaving(first.key(), Start));
  EXPECT_FALSE(loads.onLeaving(first.key(), Start + 1s));
  EXPECT_EQ(loads.recentlyLeaving(Start + 2s), std::vector{first.key()});
  EXPECT_TRUE(loads.recentlyLeaving(Start + 3s).empty());
  loads.forgetIdle(Start + 30min);
  EXPECT_TRUE(loads.view(first, Start + 30min).IsLeaving);
  EXPECT_FALSE(loads.view({"a", 2}, Start).IsLeaving);
}

/// The record of an instance that was replaced lapses after three heartbeats;
/// until then every request sent there would be turned away.
TEST(ServerLoads, AvoidsAReplacedServerUntilItsRecordHasLapsed) {
  ServerLoads loads{{}};
  loads.onRejected("a", Start);
  loads.onReplaced("a", Start);
  EXPECT_TRUE(loads.view("a", Start + 3600ms).IsAvoided);
  EXPECT_FALSE(loads.view("a", Start + 5s).IsAvoided);
}

TEST(ServerLoads, AvoidsAServerThatTurnsRequestsAwayForAMoment) {
  ServerLoads loads{{}};
  loads.onRejected("a", Start);
  EXPECT_TRUE(loads.view("a", Start + 100ms).IsAvoided);
  EXPECT_FALSE(loads.view("a", Start + 300ms).IsAvoided);
  loads.avoidUntil("a", Start + 10s);
  loads.onWeightsLoaded("a");
  EXPECT_FALSE(loads.view("a", Start + 1s).IsAvoided);
}

} // namespace
} // namespace daisytack::direct
