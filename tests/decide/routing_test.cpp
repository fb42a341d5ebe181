#include "decide/routing.h"

#include "decide/fixtures.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace daisytack {

namespace {

RouteKey keyOf(uint64_t n) { return {mix64(n + 1), mix64(n + 1'000'000)}; }

const Server &serverOf(const RoutingTable &table, ServerHandle server) {
  return table.snapshot().Servers[server.Index];
}

} // namespace

RC_GTEST_PROP(Routing, CandidatesAreDistinctLocalAndSpreadOverDomains, ()) {
  auto servers = *rc::gen::inRange<size_t>(1, 200);
  auto regions = *rc::gen::inRange<size_t>(1, 4);
  auto domains = *rc::gen::inRange<size_t>(1, 5);
  RoutingTable table(makeSnapshot(servers, regions, domains));
  RouteKey key = keyOf(*rc::gen::arbitrary<uint64_t>());
  CandidateList list = table.candidates("m", false, key, "r0");
  RC_ASSERT(list.Count == std::min(servers, MaxCandidates));
  for (uint32_t i = 0; i < list.Count; ++i)
    RC_ASSERT(std::count(list.begin(), list.end(), list.Servers[i]) == 1);
  size_t local = (servers + regions - 1) / regions;
  for (uint32_t i = 0; i < std::min<size_t>(list.Count, local); ++i)
    RC_ASSERT(serverOf(table, list.Servers[i]).Region == "r0");
  if (std::min(local, domains) >= 2)
    RC_ASSERT(serverOf(table, list.Servers[0]).FailureDomain !=
              serverOf(table, list.Servers[1]).FailureDomain);
}

TEST(Routing, EntriesAgreeAndEqualPrefixesShareAHome) {
  RoutingTable one(makeSnapshot(50));
  RoutingTable other(makeSnapshot(50));
  std::vector<PieceKey> pieces(3);
  pieces[0].Bytes[0] = 1;
  RouteKey first = makeRouteKey(7, "m", pieces, 1);
  pieces[2].Bytes[0] = 9;
  RouteKey second = makeRouteKey(7, "m", pieces, 2);
  EXPECT_EQ(first.Home, second.Home);
  EXPECT_NE(first.Home, makeRouteKey(8, "m", pieces, 1).Home);
  EXPECT_EQ(one.candidates("m", false, first, "r0"),
            other.candidates("m", false, first, "r0"));
  EXPECT_EQ(one.candidates("m", false, first, "r0").Servers[0],
            one.candidates("m", false, second, "r0").Servers[0]);
  EXPECT_EQ(one.candidates("x", false, first, "r0").Count, 0U);
}

TEST(Routing, ShortPromptsAreSpread) {
  RouteKey first = makeRouteKey(7, "m", {}, 1);
  RouteKey second = makeRouteKey(7, "m", {}, 2);
  EXPECT_NE(first.Home, second.Home);
}

TEST(Routing, RemovingOneServerMovesItsPromptsOnly) {
  constexpr uint64_t Keys = 20'000;
  for (uint32_t servers : {10U, 100U, 1'000U}) {
    auto snapshot = makeSnapshot(servers);
    RoutingTable before(snapshot);
    ServerHandle removed{servers / 2};
    RoutingTable after(without(*snapshot, removed.Index));
    uint64_t moved = 0;
    for (uint64_t i = 0; i < Keys; ++i) {
      auto from = before.candidates("m", false, keyOf(i), "r0").Servers[0];
      auto to = after.candidates("m", false, keyOf(i), "r0").Servers[0];
      moved += from != to ? 1 : 0;
      if (from != removed) {
        EXPECT_EQ(from, to);
      }
    }
    double share = static_cast<double>(moved) / Keys;
    EXPECT_LT(share, 2.0 / servers);
    EXPECT_GT(share, 0.4 / servers);
  }
}

TEST(Routing, LeavesALoadedHomeOnlyIfItsWaitOutweighsItsReuse) {
  auto snapshot = makeSnapshot(12);
  RoutingTable table(snapshot);
  LoadView loads({});
  RouteKey key = keyOf(3);
  CandidateList list = table.candidates("m", false, key, "r0");
  auto rank = [&](uint32_t tokens) {
    return rankCandidates(list, *snapshot, loads, {}, tokens, key, "r0", Epoch)
        .Ranked[0]
        .Server;
  };
  EXPECT_EQ(rank(20'000), list.Servers[0]);
  wire::LoadReport busy;
  busy.WaitMicros = 1'000'000;
  busy.PrefillTokensPerSecond = 10'000;
  loads.observe(serverOf(table, list.Servers[0]).NameHash, busy, Epoch);
  // The prefill of 40,000 tokens takes 4 s. The home is expected to save 0.8 of
  // it and the second candidate 0.4, so that the home saves 1.6 s more, which
  // outweighs its wait of 1 s.
  EXPECT_EQ(rank(40'000), list.Servers[0]);
  EXPECT_NE(rank(5'000), list.Servers[0]);
}

TEST(Routing, WaitLimitEndsWhereTheNextCandidateIsSooner) {
  auto snapshot = makeSnapshot(12);
  RoutingTable table(snapshot);
  RouteKey key = keyOf(3);
  CandidateList list = table.candidates("m", false, key, "r0");
  RouteDecision out = rankCandidates(list, *snapshot, LoadView({}), {}, 20'000,
                                     key, "r0", Epoch);
  // The prefill of 20,000 tokens takes 2 s. The home is expected to save 0.8 of
  // it and the next candidate 0.4, a difference of 0.8 s.
  EXPECT_NEAR(static_cast<double>(out.Ranked[0].WaitLimit.count()), 800'000, 2);
  EXPECT_EQ(out.Ranked[3].WaitLimit, millis(100));
}

TEST(Routing, LeavingServersComeLast) {
  auto snapshot = makeSnapshot(12);
  RoutingTable table(snapshot);
  LoadView loads({});
  RouteKey key = keyOf(3);
  CandidateList list = table.candidates("m", false, key, "r0");
  wire::LoadReport leaving;
  leaving.Leaving = true;
  loads.observe(serverOf(table, list.Servers[0]).NameHash, leaving, Epoch);
  RouteDecision out =
      rankCandidates(list, *snapshot, loads, {}, 1'000, key, "r0", Epoch);
  EXPECT_EQ(out.Ranked[out.Count - 1].Server, list.Servers[0]);
}

TEST(LoadView, DecaysAddsWorkAndRampsUp) {
  LoadView loads({});
  wire::LoadReport report;
  report.WaitMicros = 4'000'000;
  loads.observe(42, report, Epoch);
  EXPECT_EQ(loads.estimate(42, Epoch).Wait, millis(4'000));
  EXPECT_EQ(loads.estimate(42, at(4'000)).Wait, millis(2'000));
  loads.addWork(42, millis(500), at(4'000));
  EXPECT_EQ(loads.estimate(42, at(4'000)).Wait, millis(2'500));
  loads.startSlowStart(42, at(2'000));
  EXPECT_DOUBLE_EQ(loads.estimate(42, at(2'000)).TrafficShare, 0.1);
  EXPECT_DOUBLE_EQ(loads.estimate(42, at(7'000)).TrafficShare, 0.5);
  EXPECT_DOUBLE_EQ(loads.estimate(42, at(60'000)).TrafficShare, 1.0);
  EXPECT_FALSE(loads.estimate(43, Epoch).HasData);
}

TEST(LoadView, ReplacesTheOldestOfAFullSet) {
  LoadViewSettings settings;
  settings.Capacity = 8;
  LoadView loads(settings);
  for (uint64_t i = 1; i <= 9; ++i)
    loads.observe(i, {}, at(static_cast<int64_t>(i)));
  EXPECT_FALSE(loads.estimate(1, at(10)).HasData);
  for (uint64_t i = 2; i <= 9; ++i)
    EXPECT_TRUE(loads.estimate(i, at(10)).HasData) << i;
}

} // namespace daisytack
