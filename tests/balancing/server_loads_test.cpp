#include "balancing/server_loads.h"
#include "direct/rendezvous.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include <vector>

namespace daisytack::balancing {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{Duration(1'000'000'000)};

/// Guards against urgent requests that wait, by the entry's own count, for
/// prompts which engines prefill after theirs.
TEST(ServerLoads, CountsWaitingTokensOfUrgentRequests) {
  ServerLoads loads{{}};
  loads.onSent("a", 3000, Start);
  loads.onSent("a", {1000, true}, Start);
  EXPECT_EQ(loads.view("a", Start).UrgentTokens, 1000);
  ServerLoads other{{}};
  other.onPeerReport("entry", loads.ownLoads(Start), 100ms, Start);
  EXPECT_NEAR(other.view("a", Start).UrgentTokens, 1000, 4000 / 255.0);
  loads.onFirstByte("a", {1000, true}, Start);
  EXPECT_EQ(loads.view("a", Start).UrgentTokens, 0);
  EXPECT_EQ(loads.view("a", Start).WaitingTokens, 3000);
  loads.onSent("a", {500, true}, Start);
  loads.onEnded("a", {500, true}, false, Start);
  EXPECT_EQ(loads.view("a", Start).UrgentTokens, 0);
  other.onPeerReport("entry", loads.ownLoads(Start), 100ms, Start);
  EXPECT_EQ(other.view("a", Start).UrgentTokens, 0);
}

TEST(ServerLoads, AvoidsASilentServerOnlyWhileARequestIsInFlight) {
  ServerLoads loads{{}};
  loads.onSent("a", 100, Start);
  EXPECT_FALSE(loads.view("a", Start + 1s).IsAvoided);
  EXPECT_TRUE(loads.view("a", Start + 2s).IsAvoided);
  loads.onActivity("a", Start + 2s);
  EXPECT_FALSE(loads.view("a", Start + 3s).IsAvoided);
  loads.onEnded("a", 100, false, Start + 3s);
  EXPECT_EQ(loads.view("a", Start + 60s), ServerLoadView{});
  loads.forgetIdle(Start + 60s);
  EXPECT_TRUE(loads.ownLoads(Start).empty());
}

/// With many entries each one reports rarely, and must count until its next
/// report.
TEST(ServerLoads, ExpiresReportsByTheirPeriod) {
  ServerLoads loads{{}};
  std::vector<LoadShare> shares{{direct::stableHash("a"), 2, 700, 900}};
  loads.onPeerReport("often", shares, 100ms, Start);
  loads.onPeerReport("seldom", shares, 1s, Start);
  loads.onPeerReport("absurd", shares, Duration::max(), Start);
  loads.onPeerReport("negative", shares, -1s, Start);
  EXPECT_EQ(loads.view("a", Start).HeldTokens, 2700);
  EXPECT_EQ(loads.view("a", Start + 1s).WaitingTokens, 1400);
  EXPECT_EQ(loads.view("a", Start + 11s).Running, 0);
}

/// Model: keeps the latest report of each entry until it expires, and adds the
/// reports up at each read.
class RecomputedSums {
public:
  void onPeerReport(const std::string &entry, std::vector<LoadShare> shares,
                    TimePoint until) {
    Reports[entry] = {until, std::move(shares)};
  }
  ServerLoadView view(uint64_t name, TimePoint now) const {
    ServerLoadView out;
    for (const auto &[entry, report] : Reports)
      for (const LoadShare &it : report.second)
        if (it.ServerKey == name && now < report.first)
          out = {out.Running + it.Running,
                 out.WaitingTokens + it.WaitingTokens,
                 out.UrgentTokens + it.WaitingTokens * it.UrgentPart / 255,
                 out.HeldTokens + it.HeldTokens,
                 false,
                 false,
                 {},
                 {}};
    return out;
  }

private:
  std::map<std::string, std::pair<TimePoint, std::vector<LoadShare>>> Reports;
};

/// Each placement reads the loads of all servers, which may be thousands with a
/// thousand entries reporting, so sums are maintained. They must equal sums
/// that are computed from scratch, in whatever order reports arrive, are
/// repeated and expire.
RC_GTEST_PROP(ServerLoads, SumsEqualRecomputedOnes, ()) {
  constexpr int Servers = 4;
  ServerLoads loads{{}};
  RecomputedSums recomputed;
  TimePoint now = Start;
  auto n = *rc::gen::inRange(1, 60);
  for (int i = 0; i < n; ++i) {
    now += 100ms * *rc::gen::inRange(0, 20);
    std::string entry(1, *rc::gen::inRange('a', 'e'));
    Duration period = 100ms * *rc::gen::inRange(0, 30);
    std::vector<LoadShare> shares;
    for (uint32_t server = 0; server < Servers; ++server)
      if (*rc::gen::arbitrary<bool>())
        shares.push_back({direct::stableHash(std::to_string(server)),
                          *rc::gen::inRange(0U, 9U), *rc::gen::inRange(0U, 99U),
                          *rc::gen::inRange(0U, 99U),
                          *rc::gen::arbitrary<uint8_t>()});
    loads.onPeerReport(entry, shares, period, now);
    Duration lifetime = std::min<Duration>(5 * period, 10s);
    recomputed.onPeerReport(entry, std::move(shares), now + lifetime);
    for (int server = 0; server < Servers; ++server) {
      std::string name = std::to_string(server);
      RC_ASSERT(loads.view({name, 0}, now) ==
                recomputed.view(direct::stableHash(name), now));
    }
  }
}

TEST(ServerLoads, AvoidsAServerLongerAfterEachRejection) {
  ServerLoads loads{{}};
  loads.onRejected("a", Start);
  loads.onRejected("a", Start + 1ms); // Counts as one with the first.
  EXPECT_FALSE(loads.view("a", Start + 260ms).IsAvoided);
  loads.onRejected("a", Start + 260ms);
  EXPECT_TRUE(loads.view("a", Start + 700ms).IsAvoided);
  EXPECT_FALSE(loads.view("a", Start + 800ms).IsAvoided);
  loads.onFirstByte("a", 0, Start + 800ms);
  loads.onRejected("a", Start + 800ms);
  EXPECT_FALSE(loads.view("a", Start + 1060ms).IsAvoided);
}

/// Retry-After applies to one start of the server; the next start may accept
/// requests.
TEST(ServerLoads, HonoursTheRetryAfterOfAServer) {
  ServerLoads loads{{}};
  direct::ServerRef first{"a", 1};
  loads.onRetryAfter(first, 90s, Start);
  loads.forgetIdle(Start + 80s); // Kept though nothing was sent.
  EXPECT_EQ(loads.view(first, Start + 80s).RetryAt, Start + 90s);
  EXPECT_EQ(loads.view({"a", 2}, Start).RetryAt, TimePoint());
  loads.onRetryAfter(first, 1s, Start + 2s); // The latest value counts.
  EXPECT_EQ(loads.view(first, Start + 2s).RetryAt, Start + 3s);
}

TEST(ServerLoads, RemembersLeavingServersAndPassesThemOnBriefly) {
  ServerLoads loads{{}};
  direct::ServerRef first{"a", 1};
  EXPECT_TRUE(loads.onLeaving(first.key(), Start));
  EXPECT_FALSE(loads.onLeaving(first.key(), Start + 1s));
  EXPECT_EQ(loads.recentlyLeaving(Start + 2s), std::vector{first.key()});
  EXPECT_TRUE(loads.recentlyLeaving(Start + 3s).empty());
  loads.forgetIdle(Start + 30min);
  EXPECT_TRUE(loads.view(first, Start + 30min).IsLeaving);
  EXPECT_FALSE(loads.view({"a", 2}, Start).IsLeaving);
}

/// The record of a replaced instance expires after three heartbeats. Until then
/// every request sent to its address would be rejected.
TEST(ServerLoads, AvoidsAReplacedServerUntilItsRecordExpires) {
  ServerLoads loads{{}};
  loads.onRejected("a", Start);
  loads.onReplaced("a", Start);
  EXPECT_TRUE(loads.view("a", Start + 3600ms).IsAvoided);
  EXPECT_FALSE(loads.view("a", Start + 5s).IsAvoided);
}

TEST(ServerLoads, AvoidsARejectingServerBriefly) {
  ServerLoads loads{{}};
  loads.onRejected("a", Start);
  EXPECT_TRUE(loads.view("a", Start + 100ms).IsAvoided);
  EXPECT_FALSE(loads.view("a", Start + 300ms).IsAvoided);
  loads.avoidUntil("a", Start + 10s);
  loads.onLoadEnded("a");
  EXPECT_FALSE(loads.view("a", Start + 1s).IsAvoided);
}

} // namespace
} // namespace daisytack::balancing
