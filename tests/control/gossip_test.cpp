#include "control/fleet.h"

#include <gtest/gtest.h>

#include <chrono>

namespace daisytack::control {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr uint64_t Seed = 20261202;
constexpr size_t Domains = 4;
constexpr size_t Regions = 2;

/// All processes know each other and the first revision.
struct StartedFleet : Fleet {
  explicit StartedFleet(size_t count) : Fleet(count, Domains, Regions, Seed) {
    distributeMemberList();
    for (size_t i = 0; i < count; ++i)
      change(i, "m", 10, "v1");
    run(seconds(2));
  }
};

struct SpreadCase {
  size_t Processes;
  unsigned LostOfHundred;
};

class GossipSpread : public ::testing::TestWithParam<SpreadCase> {};

TEST_P(GossipSpread, ChangeReachesEveryProcess) {
  auto [count, lost] = GetParam();
  StartedFleet fleet(count);
  uint64_t draws = 0;
  fleet.ShouldDrop = [&, lost = lost](const auto &, const auto &) {
    return mix64(++draws) % 100 < lost;
  };
  fleet.change(0, "m", 20, "v2");
  TimePoint begin = fleet.Now;
  fleet.run(seconds(10),
            [&] { return fleet.countAtRevision(20) == fleet.Nodes.size(); });
  EXPECT_EQ(fleet.countAtRevision(20), count);
  EXPECT_LT(fleet.Now - begin, seconds(3));
}

INSTANTIATE_TEST_SUITE_P(Sizes, GossipSpread,
                         ::testing::Values(SpreadCase{2, 0}, SpreadCase{3, 20},
                                           SpreadCase{25, 0},
                                           SpreadCase{25, 20},
                                           SpreadCase{100, 5},
                                           SpreadCase{300, 5}));

TEST(Gossip, SendsOnlyDigestsWithoutChanges) {
  StartedFleet fleet(50);
  fleet.run(seconds(5));
  uint64_t sent = fleet.Sent;
  fleet.run(seconds(10));
  // Each process sends one digest per second and gets no answer.
  EXPECT_NEAR(static_cast<double>(fleet.Sent - sent), 500, 60);
}

TEST(Gossip, ProcessThatWasDownDoesNotRevertState) {
  StartedFleet fleet(20);
  fleet.Nodes[3].Down = true;
  for (uint64_t i = 0; i < 30; ++i) {
    fleet.change(0, "m", 20 + i, "w" + std::to_string(i));
    fleet.run(seconds(1));
  }
  fleet.run(minutes(60));
  fleet.Nodes[3].Down = false;
  fleet.run(seconds(5));
  EXPECT_EQ(fleet.countAtRevision(49), 20U);
  for (size_t i = 0; i < 20; ++i)
    EXPECT_EQ(fleet.versionAt(i, "m"), R"({"version": "w29"})");
}

TEST(Gossip, PartitionedRegionsConvergeAfterAnHour) {
  StartedFleet fleet(40);
  fleet.ShouldDrop = [](const auto &from, const auto &to) {
    return from.Self.Region != to.Self.Region;
  };
  // Both regions have readers. The one in r1 has a slower path to the service
  // and has only read revision 20.
  fleet.change(0, "m", 20, "v2");
  fleet.change(0, "other", 30, "v9");
  fleet.change(1, "m", 20, "v2");
  fleet.run(minutes(60));
  EXPECT_EQ(fleet.countAtRevision(30), 20U);
  EXPECT_EQ(fleet.countAtRevision(20), 40U);
  fleet.ShouldDrop = [](const auto &, const auto &) { return false; };
  fleet.run(seconds(5));
  EXPECT_EQ(fleet.countAtRevision(30), 40U);
  EXPECT_EQ(fleet.versionAt(1, "other"), R"({"version": "v9"})");
}

TEST(Gossip, SpreadsWithHalfOfThePeersUnreachable) {
  StartedFleet fleet(60);
  for (size_t i = 30; i < 60; ++i)
    fleet.Nodes[i].Down = true;
  fleet.change(0, "m", 20, "v2");
  fleet.run(seconds(5));
  EXPECT_EQ(fleet.countAtRevision(20), 30U);
}

TEST(Gossip, LostFailureDomainIsRemovedOnceTheListShowsIt) {
  StartedFleet fleet(80);
  for (Fleet::Node &node : fleet.Nodes)
    node.Down = node.Self.FailureDomain == "d1";
  // The list can lag by a minute; changes must still spread in that time.
  fleet.change(0, "m", 20, "v2");
  fleet.run(seconds(5));
  EXPECT_EQ(fleet.countAtRevision(20), 60U);
  ReplicaDelta list{80, 100, {}};
  for (const Fleet::Node &node : fleet.Nodes)
    if (node.Down)
      list.Entries.push_back({node.Self.Name, {}, 100, true});
  fleet.Nodes[0].State->mergeMembers(list);
  fleet.run(seconds(5));
  for (const Fleet::Node &node : fleet.Nodes)
    EXPECT_EQ(node.State->memberTable().size(), node.Down ? 80U : 60U);
}

TEST(Gossip, NewProcessStartsFromOneSeed) {
  StartedFleet fleet(20);
  for (uint64_t i = 0; i < 200; ++i)
    fleet.change(0, "model" + std::to_string(i), 20 + i, "v1");
  fleet.run(seconds(5));
  size_t added = fleet.add(Domains, Regions, {fleet.Nodes[5].Self.Peer});
  fleet.run(seconds(5));
  EXPECT_EQ(fleet.Nodes[added].State->config().size(), 201U);
  EXPECT_EQ(fleet.Nodes[added].State->members().size(), 20U);
  EXPECT_GE(fleet.Fetches, 1U);
}

TEST(Gossip, RollingRestartKeepsState) {
  StartedFleet fleet(30);
  for (size_t i = 0; i < 30; ++i) {
    fleet.restart(i, {fleet.Nodes[(i + 1) % 30].Self.Peer,
                      fleet.Nodes[(i + 2) % 30].Self.Peer});
    fleet.run(seconds(4));
  }
  EXPECT_EQ(fleet.countAtRevision(10), 30U);
}

TEST(Gossip, OtherLineageAndOtherServiceAreIgnored) {
  StartedFleet fleet(5);
  fleet.Lineage = 1;
  fleet.restart(0, {fleet.Nodes[1].Self.Peer});
  fleet.change(0, "m", 99, "restored");
  fleet.run(seconds(5));
  EXPECT_EQ(fleet.countAtRevision(99), 1U);
  EXPECT_GT(fleet.Nodes[0].Gossiper->stats().StateMismatches +
                fleet.Nodes[1].Gossiper->stats().StateMismatches,
            0U);
  Error reason;
  EXPECT_TRUE(fleet.Nodes[1].State->acceptPeer(7, reason));
  EXPECT_FALSE(fleet.Nodes[1].State->acceptPeer(8, reason));
  EXPECT_NE(reason.Detail.find("control.lineage"), std::string::npos);
}

TEST(Gossip, LeavingReachesEveryProcessBeforeTheList) {
  StartedFleet fleet(100);
  Signal leaving{"n7", {1000, {1, 1}, MemberState::Leaving, 0}};
  fleet.Nodes[7].Gossiper->publishSignal(leaving, fleet.Now);
  auto leavingCount = [&] {
    size_t out = 0;
    for (const Fleet::Node &node : fleet.Nodes)
      out += node.State->memberTable().at("n7").State == MemberState::Leaving;
    return out;
  };
  fleet.run(seconds(3));
  EXPECT_EQ(leavingCount(), 100U);
  // A new process of the same name must not be taken for the one that left.
  Signal live{"n7", {2000, {2, 2}, MemberState::Live, 0}};
  fleet.Nodes[7].Gossiper->publishSignal(live, fleet.Now);
  fleet.run(seconds(3));
  EXPECT_EQ(leavingCount(), 0U);
  fleet.Nodes[9].Gossiper->publishSignal(leaving, fleet.Now);
  fleet.run(seconds(3));
  EXPECT_EQ(leavingCount(), 0U) << "late signal of the old process";
}

TEST(Gossip, ManyLeavingSignalsReachAllWithinSeconds) {
  StartedFleet fleet(200);
  for (size_t i = 0; i < 60; ++i)
    fleet.Nodes[i].Gossiper->publishSignal(
        {fleet.Nodes[i].Self.Name, {1, {i + 1, 1}, MemberState::Leaving, 0}},
        fleet.Now);
  fleet.run(seconds(5));
  uint64_t hash = fleet.Nodes[0].State->signals().hash();
  for (const Fleet::Node &node : fleet.Nodes)
    EXPECT_EQ(node.State->signals().hash(), hash);
  uint64_t fetches = fleet.Fetches;
  uint64_t sent = fleet.Sent;
  fleet.run(seconds(10));
  EXPECT_EQ(fleet.Fetches, fetches) << "no fetches once all are equal";
  EXPECT_LT(fleet.Sent - sent, 200U * 12);
}

TEST(Gossip, SignalsExpireEverywhere) {
  StartedFleet fleet(30);
  fleet.Nodes[7].Gossiper->publishSignal(
      {"n7", {1, {1, 1}, MemberState::Leaving, 0}}, fleet.Now);
  for (int i = 0; i < 400; ++i) {
    fleet.run(seconds(1));
    for (Fleet::Node &node : fleet.Nodes)
      node.State->expire(fleet.Now);
  }
  for (const Fleet::Node &node : fleet.Nodes)
    EXPECT_EQ(node.State->signals().signals(fleet.Now).size(), 0U);
}

TEST(Gossip, BudgetBoundsBytesAndNothingIsLost) {
  StartedFleet fleet(30);
  fleet.SentBytes = 0;
  constexpr uint64_t Changes = 2000;
  for (uint64_t i = 0; i < Changes; ++i) {
    fleet.change(0, "m" + std::to_string(i % 50), 100 + i, "v");
    fleet.run(std::chrono::milliseconds(5));
  }
  fleet.run(seconds(5));
  EXPECT_EQ(fleet.countAtRevision(100 + Changes - 1), 30U);
  double perSecond = static_cast<double>(fleet.SentBytes) / 30 / 15;
  EXPECT_LT(perSecond, 64 * 1024 * 1.4);
}

TEST(Gossip, InvalidMessagesChangeNothing) {
  StartedFleet fleet(2);
  StateUpdate update;
  update.Config = ReplicaDelta{0, UINT64_MAX, {{"", "x", UINT64_MAX, false}}};
  update.Header.ClusterId = 12345;
  Error reason;
  ASSERT_TRUE(fleet.Nodes[0].State->acceptPeer(7, reason));
  fleet.Nodes[0].Gossiper->onMessage(fleet.Nodes[1].Self.Peer, update,
                                     fleet.Now);
  EXPECT_EQ(fleet.Nodes[0].State->config().watermark(), 10U);
  std::string bytes = wire::encode(PeerMessage(update));
  for (size_t n = 0; n < bytes.size(); ++n)
    EXPECT_FALSE(wire::decode<PeerMessage>(bytes.substr(0, n), reason));
}

TEST(Readers, ConstantNumberPerDomainAndFallbackWhenAllAreGone) {
  StartedFleet fleet(100);
  std::map<std::string, int> readers;
  for (const Fleet::Node &node : fleet.Nodes) {
    std::optional<size_t> rank =
        readerRank(node.State->memberTable(), node.Self);
    ASSERT_TRUE(rank);
    ReaderElection choice;
    choice.setRank(rank);
    readers[node.Self.FailureDomain] += choice.shouldRead(fleet.Now, fleet.Now);
  }
  EXPECT_EQ(readers.size(), Domains);
  for (const auto &[domain, count] : readers)
    EXPECT_EQ(count, static_cast<int>(ReadersPerDomain)) << domain;
  ReaderElection third;
  third.setRank(ReadersPerDomain);
  EXPECT_FALSE(third.shouldRead(fleet.Now, fleet.Now + seconds(5)));
  EXPECT_TRUE(third.shouldRead(fleet.Now, fleet.Now + seconds(20)));
  EXPECT_TRUE(
      third.shouldRead(fleet.Now + seconds(20), fleet.Now + seconds(21)))
      << "stays a reader for a while to avoid flapping";
  EXPECT_FALSE(
      third.shouldRead(fleet.Now + seconds(60), fleet.Now + seconds(61)));
  ReaderElection unknown;
  EXPECT_TRUE(unknown.shouldRead(NeverTime, fleet.Now));
}

} // namespace
} // namespace daisytack::control
