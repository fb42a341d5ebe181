#include "swap_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisytack::test {

using namespace swap;

namespace {

constexpr Duration Second{1'000'000};

} // namespace

TEST(Converger, TwelveServersSwapTwoAtATime) {
  SwapFleet fleet(FleetInit{});
  fleet.run(2 * Second);
  EXPECT_EQ(fleet.calls(), 0U);
  fleet.setDesired("v2");
  TimePoint start = fleet.now();
  ASSERT_TRUE(fleet.runUntilConverged(60 * Second));
  EXPECT_EQ(fleet.maxLoading(), 2U);
  EXPECT_GE(fleet.minInService(), 10U);
  EXPECT_EQ(fleet.orders(), 12U);
  RecordProperty("milliseconds",
                 static_cast<int>((fleet.now() - start).count() / 1000));
  RecordProperty("calls", static_cast<int>(fleet.calls()));
}

TEST(Converger, MinServersLimitsConcurrentSwaps) {
  FleetInit init;
  init.Servers = 3;
  init.MinServers = 2;
  SwapFleet fleet(init);
  fleet.setDesired("v2");
  ASSERT_TRUE(fleet.runUntilConverged(60 * Second));
  EXPECT_EQ(fleet.maxLoading(), 1U);
  EXPECT_EQ(fleet.minInService(), 2U);
}

TEST(Converger, DoesNotSwapAtMinServers) {
  FleetInit init;
  init.Servers = 2;
  init.MinServers = 2;
  SwapFleet fleet(init);
  fleet.setDesired("v2");
  EXPECT_FALSE(fleet.runUntilConverged(30 * Second));
  EXPECT_EQ(fleet.core(0).state(), SwapState::BelowFloor);
  EXPECT_FALSE(fleet.core(0).refusesNewRequests());
  EXPECT_EQ(fleet.orders(), 0U);
}

TEST(Converger, RollbackMidwayRestoresTheOldVersionOnAllServers) {
  SwapFleet fleet(FleetInit{});
  fleet.setDesired("v2");
  fleet.run(6 * Second);
  fleet.setDesired("v1");
  ASSERT_TRUE(fleet.runUntilConverged(60 * Second));
  fleet.run(20 * Second);
  for (size_t i = 0; i < fleet.agents(); ++i)
    EXPECT_EQ(fleet.loaded(i), "v1");
  EXPECT_LE(fleet.maxLoading(), 2U);
}

TEST(Converger, AlternatingChangesConvergeOnTheLastVersion) {
  SwapFleet fleet(FleetInit{});
  for (int i = 0; i < 10; ++i) {
    fleet.setDesired(i % 2 == 0 ? "v2" : "v3");
    fleet.run(Second);
  }
  fleet.setDesired("v3");
  ASSERT_TRUE(fleet.runUntilConverged(60 * Second));
  EXPECT_LE(fleet.maxLoading(), 2U);
}

TEST(Converger, DrainsAcceptedRunsBeforeLoading) {
  FleetInit init;
  init.Servers = 3;
  SwapFleet fleet(init);
  fleet.setActiveRuns(0, 4);
  fleet.setDesired("v2");
  EXPECT_FALSE(fleet.runUntilConverged(20 * Second));
  EXPECT_EQ(fleet.loaded(0), "v1");
  EXPECT_EQ(fleet.loaded(1), "v2");
  EXPECT_EQ(fleet.loaded(2), "v2");
  EXPECT_EQ(fleet.core(0).state(), SwapState::Draining);
  EXPECT_TRUE(fleet.core(0).refusesNewRequests());
  fleet.setActiveRuns(0, 0);
  EXPECT_TRUE(fleet.runUntilConverged(10 * Second));
}

TEST(Converger, AKvServiceOutagePausesTheSwapButNotTheServers) {
  SwapFleet fleet(FleetInit{});
  bool down = true;
  fleet.Fate = [&] { return down ? CallFate::NeverSent : CallFate::Answered; };
  fleet.setDesired("v2");
  fleet.run(60 * Second);
  EXPECT_EQ(fleet.orders(), 0U);
  EXPECT_EQ(fleet.minInService(), 12U);
  // The rate limit of attempts applies to all servers of the model together.
  EXPECT_LE(fleet.calls(), 60U * 10U);
  down = false;
  EXPECT_TRUE(fleet.runUntilConverged(60 * Second));
}

TEST(Converger, AKvServiceOutageEndsADrain) {
  FleetInit init;
  init.Servers = 3;
  SwapFleet fleet(init);
  bool down = false;
  fleet.Fate = [&] { return down ? CallFate::NeverSent : CallFate::Answered; };
  for (size_t i = 0; i < 3; ++i)
    fleet.setActiveRuns(i, 1);
  fleet.setDesired("v2");
  fleet.run(5 * Second);
  EXPECT_EQ(fleet.minInService(), 1U);
  down = true;
  fleet.run(15 * Second);
  for (size_t i = 0; i < 3; ++i)
    EXPECT_FALSE(fleet.core(i).refusesNewRequests());
}

TEST(Converger, AHolderPausedPastItsLeaseSendsNoOrder) {
  FleetInit init;
  init.Servers = 3;
  SwapFleet fleet(init);
  fleet.setActiveRuns(0, 1);
  fleet.setDesired("v2");
  fleet.run(8 * Second);
  ASSERT_EQ(fleet.core(0).state(), SwapState::Draining);
  fleet.pause(0, true);
  fleet.setActiveRuns(0, 0);
  fleet.run(30 * Second);
  uint64_t before = fleet.orders();
  fleet.pause(0, false);
  fleet.run(Duration(50'000));
  EXPECT_EQ(fleet.orders(), before);
  EXPECT_TRUE(fleet.runUntilConverged(10 * Second));
}

TEST(Converger, DetectsAndRevertsAnOrderOfAnotherProcess) {
  for (bool checks : {true, false}) {
    FleetInit init;
    init.Servers = 3;
    init.ChecksFencing = checks;
    SwapFleet fleet(init);
    fleet.setDesired("v2");
    ASSERT_TRUE(fleet.runUntilConverged(30 * Second));
    fleet.run(2 * Second);
    ASSERT_TRUE(fleet.core(0).confirmedVersion());
    fleet.sendForeignOrder(0, "v1", 1);
    fleet.run(Second * 2);
    EXPECT_EQ(fleet.staleOrdersExecuted(), checks ? 0U : 1U);
    EXPECT_EQ(fleet.core(0).confirmedVersion().has_value(), checks);
    EXPECT_TRUE(fleet.runUntilConverged(30 * Second));
    fleet.run(2 * Second);
    EXPECT_TRUE(fleet.core(0).confirmedVersion());
  }
}

TEST(Converger, ReleasesTheSlotAfterRepeatedlyRefusedOrders) {
  ConvergerInit init;
  init.Slot.Model = "market";
  init.Slot.Instance = "server-0";
  init.Slot.Process = {1, 1};
  Converger core(
      init, [] { return 1; }, nullptr);
  FakeKv kv;
  SwapView view;
  view.Desired = {"v2", ""};
  view.Loaded = {"v1", ""};
  view.ServersInService = 3;
  view.ServersOfModel = 3;
  view.ServerReachable = true;
  TimePoint now(Duration(50'000'000));
  SwapActions actions = core.update(view, now);
  std::vector<uint64_t> fences;
  while (!actions.empty() && fences.size() < 10) {
    SwapActions next;
    for (const SwapAction &it : actions) {
      SwapActions more;
      if (auto *order = std::get_if<LoadOrder>(&it)) {
        fences.push_back(order->Fence);
        more = core.onOrder({ErrorKind::ServerFailed, "disk"}, 0, now);
      } else {
        const auto &call = std::get<SlotCall>(it);
        SlotResult result;
        result.Number = call.Number;
        if (auto *range = std::get_if<edge::KvRange>(&call.Operation))
          result.Response = kv.range(*range, now);
        else if (auto *write =
                     std::get_if<edge::KvTransaction>(&call.Operation))
          result.Response = kv.commit(*write, now);
        else if (auto *grant = std::get_if<GrantLease>(&call.Operation))
          result.Response = kv.grant(grant->TimeToLive, now);
        else
          result.Response =
              kv.revoke(std::get<RevokeLease>(call.Operation).Lease, now);
        more = core.onSlotResult(result, now);
      }
      std::move(more.begin(), more.end(), std::back_inserter(next));
    }
    actions = std::move(next);
  }
  EXPECT_EQ(fences.size(), init.MaxOrderAttempts);
  EXPECT_TRUE(kv.entries().empty());
  EXPECT_EQ(core.state(), SwapState::WaitingForSlot);
}

TEST(Converger, SetsNoOverdueTimerWhenServersBecomeUnreachable) {
  SwapFleet fleet(FleetInit{});
  fleet.setDesired("v2");
  fleet.run(3 * Second);
  for (size_t i = 0; i < fleet.agents(); ++i)
    fleet.setReachable(i, false);
  fleet.run(40 * Second);
  EXPECT_EQ(fleet.overdueTimers(), 0U);
  for (size_t i = 0; i < fleet.agents(); ++i)
    fleet.setReachable(i, true);
  EXPECT_TRUE(fleet.runUntilConverged(60 * Second));
  EXPECT_EQ(fleet.overdueTimers(), 0U);
}

TEST(Converger, SetsNoOverdueTimerAfterARefusedOrder) {
  FleetInit init;
  init.Servers = 2;
  SwapFleet fleet(init);
  fleet.setDesired("v2");
  fleet.run(Second);
  // A newer holder's fencing token, so that all orders of the fleet are
  // refused.
  fleet.sendForeignOrder(0, "v1", 1'000'000);
  fleet.sendForeignOrder(1, "v1", 1'000'000);
  fleet.run(60 * Second);
  EXPECT_EQ(fleet.overdueTimers(), 0U);
}

RC_GTEST_PROP(Converger, ConvergesWithLostCalls, ()) {
  auto seed = *rc::gen::arbitrary<uint32_t>();
  auto fates = *rc::gen::container<std::vector<uint8_t>>(
      60, rc::gen::inRange<uint8_t>(0, 6));
  FleetInit init;
  init.Servers = *rc::gen::inRange<size_t>(2, 6);
  init.Seed = seed;
  SwapFleet fleet(init);
  size_t next = 0;
  fleet.Fate = [&] {
    uint8_t fate = next < fates.size() ? fates[next++] : 0;
    if (fate == 1)
      return CallFate::AnswerLost;
    return fate == 2 ? CallFate::NeverSent : CallFate::Answered;
  };
  fleet.setDesired("v2");
  RC_ASSERT(fleet.runUntilConverged(180 * Second));
  RC_ASSERT(fleet.maxLoading() <= LoadSlots);
  RC_ASSERT(fleet.minInService() >= 1U);
  RC_ASSERT(fleet.overdueTimers() == 0U);
}

} // namespace daisytack::test
