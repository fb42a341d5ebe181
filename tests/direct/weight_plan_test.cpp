#include "direct/weight_plan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace daisytack::direct {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{Duration(1'000'000'000)};

class WeightPlanTest : public testing::Test {
protected:
  WeightPlanTest() {
    for (int i = 0; i < 6; ++i) {
      BackendServer server;
      server.Id = "e" + std::to_string(i);
      server.Service = "engines";
      server.FailureDomain = "d" + std::to_string(i / 2);
      server.Weights = {{"model", 1}};
      Catalog.AllServers.push_back(server);
    }
    Catalog.DesiredVersions["model"] = {{2, Start}};
  }

  static std::set<std::string> asked(const std::vector<WeightAction> &actions) {
    std::set<std::string> out;
    for (const WeightAction &it : actions)
      if (const auto *ask = std::get_if<RequestReport>(&it))
        out.insert(ask->ServerId);
    return out;
  }
  static EngineReport report(uint64_t version, uint64_t orders,
                             bool busy = false) {
    return {{{"model", version}}, busy, orders};
  }

  direct::Catalog Catalog;
  WeightPlan Plan{{.PrepareTime = Duration::zero()}};
};

TEST_F(WeightPlanTest, LoadsTwoAtATimeInDifferentFailureDomains) {
  EXPECT_EQ(asked(Plan.next(Catalog, Start)),
            (std::set<std::string>{"e0", "e2"}));
  EXPECT_TRUE(Plan.next(Catalog, Start).empty());
}

TEST_F(WeightPlanTest, LetsQueuedRequestsOfAnEngineStartFirst) {
  WeightPlan plan{{.PrepareTime = 300ms}};
  EXPECT_TRUE(plan.next(Catalog, Start).empty());
  EXPECT_EQ(plan.loadingServers().size(), 2);
  EXPECT_TRUE(plan.next(Catalog, Start + 200ms).empty());
  EXPECT_EQ(asked(plan.next(Catalog, Start + 300ms)).size(), 2);
}

/// When two versions become desired in quick succession, an engine that was
/// selected for the first would load it only to reject requests once more.
TEST_F(WeightPlanTest, OrdersTheNewestOfTwoVersions) {
  WeightPlan plan{{.PrepareTime = 300ms}};
  plan.next(Catalog, Start);
  Catalog.DesiredVersions["model"].push_back({3, Start + 100ms});
  plan.next(Catalog, Start + 300ms);
  auto actions = plan.onReport("e0", report(1, 0), Start + 310ms);
  ASSERT_EQ(actions.size(), 1);
  EXPECT_EQ(std::get<SendWeightOrder>(actions[0]).Desired.Version, 3);
}

/// Right after a load the engine has no runs, so the next load costs least.
TEST_F(WeightPlanTest, LoadsTheNewestRightAfterASupersededOne) {
  Plan.next(Catalog, Start);
  Plan.onReport("e0", report(1, 0), Start);
  Plan.onAnswer({"e0"}, OrderAnswer::Accepted, Start);
  Catalog.DesiredVersions["model"].push_back({3, Start + 500ms});
  EXPECT_TRUE(asked(Plan.next(Catalog, Start + 1s)).contains("e0"));
  auto actions = Plan.onReport("e0", report(2, 1), Start + 1200ms);
  ASSERT_EQ(actions.size(), 1);
  EXPECT_EQ(std::get<SendWeightOrder>(actions[0]).Desired.Version, 3);
}

TEST_F(WeightPlanTest, LoadsTheLongestOutdatedEnginesFirst) {
  Catalog.DesiredVersions["model"].push_back({3, Start + 4s});
  for (int i : {0, 2})
    Catalog.AllServers[static_cast<size_t>(i)].Weights = {{"model", 2}};
  auto first = asked(Plan.next(Catalog, Start + 5s));
  EXPECT_FALSE(first.contains("e0"));
  EXPECT_FALSE(first.contains("e2"));
}

/// Guards against a new holder that loads servers with newer weights first, as
/// it has read only the newest version: the others were left on weights that
/// had been outdated for four versions.
TEST_F(WeightPlanTest, LoadsTheOldestWeightsFirstIfOnlyOneVersionIsKnown) {
  Catalog.DesiredVersions["model"] = {{5, Start, true}};
  for (size_t i : {0, 2})
    Catalog.AllServers[i].Weights = {{"model", 4}};
  auto first = asked(Plan.next(Catalog, Start));
  EXPECT_EQ(first, (std::set<std::string>{"e1", "e3"}));
}

TEST_F(WeightPlanTest, HasNothingToDoWhenAllAreUpToDate) {
  Catalog.DesiredVersions.clear();
  EXPECT_TRUE(Plan.next(Catalog, Start).empty());
}

TEST_F(WeightPlanTest, OrdersWithTheNumberOfOrdersThatTheEngineAccepted) {
  Plan.next(Catalog, Start);
  auto actions = Plan.onReport("e0", report(1, 7), Start);
  ASSERT_EQ(actions.size(), 1);
  const auto &order = std::get<SendWeightOrder>(actions[0]);
  EXPECT_EQ(order.OrdersTaken, 7);
  EXPECT_EQ(order.Desired, (ModelVersion{"model", 2}));
}

TEST_F(WeightPlanTest, SendsNoSecondOrderWhileOneIsCarriedOut) {
  Plan.next(Catalog, Start);
  EXPECT_TRUE(Plan.onReport("e0", report(1, 7, true), Start).empty());
  Plan.next(Catalog, Start + 2s);
  EXPECT_EQ(Plan.onReport("e0", report(1, 8), Start + 2s).size(), 1);
}

TEST_F(WeightPlanTest, GoesOnToTheNextWhenAnEngineReportsItsNewWeights) {
  Plan.next(Catalog, Start);
  Plan.onReport("e0", report(1, 0), Start);
  Plan.onAnswer("e0", OrderAnswer::Accepted, Start);
  EXPECT_TRUE(asked(Plan.next(Catalog, Start + 500ms)).empty());
  EXPECT_TRUE(asked(Plan.next(Catalog, Start + 1s)).contains("e0"));
  auto actions = Plan.onReport("e0", report(2, 1), Start + 1s);
  ASSERT_EQ(actions.size(), 1);
  EXPECT_EQ(std::get<NoteLoaded>(actions[0]), (NoteLoaded{"e0", {"model", 2}}));
  Catalog.AllServers[0].Weights = {{"model", 2}};
  // e1 is the first remaining server in a failure domain without a load.
  EXPECT_EQ(asked(Plan.next(Catalog, Start + 1s)).count("e1"), 1);
}

TEST_F(WeightPlanTest, ChecksAgainAfterAnOrderWithoutAnAnswer) {
  Catalog.AllServers.resize(1);
  Plan.next(Catalog, Start);
  Plan.onReport("e0", report(1, 0), Start);
  Plan.onAnswer("e0", OrderAnswer::Unknown, Start);
  EXPECT_TRUE(asked(Plan.next(Catalog, Start + 400ms)).contains("e0"));
  // The order has not been carried out yet. The next one carries the same
  // number of orders, so that only one of the two can be accepted.
  auto postponed = Plan.onReport("e0", report(1, 0), Start + 400ms);
  ASSERT_EQ(postponed.size(), 1);
  EXPECT_EQ(
      std::get<NotePostponed>(postponed[0]),
      (NotePostponed{"e0", 0, {"model", 2}, PostponeReason::NoAnswer, 1}));
  EXPECT_TRUE(asked(Plan.next(Catalog, Start + 400ms)).contains("e0"));
  auto actions = Plan.onReport("e0", report(1, 0), Start + 400ms);
  EXPECT_EQ(std::get<SendWeightOrder>(actions[0]).OrdersTaken, 0);
}

/// An order without an answer may be under way all the same.
TEST_F(WeightPlanTest, KeepsThePlaceOfAnEngineThatCarriesOutAnUnansweredOrder) {
  Plan.next(Catalog, Start);
  Plan.onReport("e0", report(1, 0), Start);
  Plan.onAnswer("e0", OrderAnswer::Unknown, Start);
  Plan.next(Catalog, Start + 400ms);
  EXPECT_TRUE(Plan.onReport("e0", report(1, 1, true), Start + 400ms).empty());
  EXPECT_TRUE(asked(Plan.next(Catalog, Start + 1s)).contains("e0"));
  auto actions = Plan.onReport("e0", report(2, 1), Start + 1s);
  EXPECT_EQ(std::get<NoteLoaded>(actions[0]), (NoteLoaded{"e0", {"model", 2}}));
}

/// Reports may be lost while an engine loads.
TEST_F(WeightPlanTest, KeepsTheSlotOfALoadingEngineWhoseReportIsLost) {
  Plan.next(Catalog, Start);
  Plan.onReport("e0", report(1, 0), Start);
  Plan.onAnswer("e0", OrderAnswer::Accepted, Start);
  Plan.next(Catalog, Start + 1s);
  EXPECT_TRUE(Plan.onReport("e0", std::nullopt, Start + 1s).empty());
  Plan.onReport("e2", report(1, 7, true), Start + 1s);
  Plan.next(Catalog, Start + 2s);
  EXPECT_TRUE(Plan.onReport("e2", std::nullopt, Start + 2s).empty());
  EXPECT_EQ(Plan.loadingServers(), (std::vector<ServerStart>{{"e0"}, {"e2"}}));
}

/// An order without an answer may turn out to be under way and fail later.
TEST_F(WeightPlanTest, OrdersAgainAfterAnUnansweredOrderWasCarriedOutInVain) {
  Plan.next(Catalog, Start);
  Plan.onReport("e0", report(1, 0), Start);
  Plan.onAnswer("e0", OrderAnswer::Unknown, Start);
  Plan.next(Catalog, Start + 400ms);
  Plan.onReport("e0", report(1, 1, true), Start + 400ms);
  Plan.next(Catalog, Start + 1s);
  auto actions = Plan.onReport("e0", report(1, 1), Start + 1s);
  ASSERT_EQ(actions.size(), 1);
  EXPECT_EQ(std::get<SendWeightOrder>(actions[0]).OrdersTaken, 1);
}

/// Guards against engines that are postponed for an order of an earlier load,
/// before they got one in this load.
TEST_F(WeightPlanTest, IgnoresAnAnswerToAnOrderOfADroppedLoad) {
  Catalog.AllServers.resize(1);
  Plan.next(Catalog, Start);
  Plan.onReport("e0", report(1, 0), Start);
  // Too slow: the load is dropped, and the engine is selected anew.
  TimePoint later = Start + WeightPlanSettings().LoadTimeout;
  EXPECT_TRUE(asked(Plan.next(Catalog, later)).contains("e0"));
  Plan.onAnswer("e0", OrderAnswer::Unknown, later);
  auto actions = Plan.onReport("e0", report(1, 0), later);
  ASSERT_EQ(actions.size(), 1);
  EXPECT_TRUE(std::holds_alternative<SendWeightOrder>(actions[0]));
}

/// What failed before says nothing of the next version, nor of a time in which
/// another process held the order lease.
TEST_F(WeightPlanTest, ForgetsFailuresOfCurrentEnginesAndOfAnEarlierLease) {
  Catalog.AllServers.resize(3);
  auto failOnce = [&](TimePoint now) {
    Plan.next(Catalog, now);
    Plan.onReport("e0", std::nullopt, now);
  };
  failOnce(Start);
  Plan.clear();
  EXPECT_TRUE(asked(Plan.next(Catalog, Start)).contains("e0"));
  Plan.clear();
  failOnce(Start);
  Catalog.AllServers[0].Weights = {{"model", 2}};
  Plan.next(Catalog, Start);
  Plan.onReport("e1", std::nullopt, Start);
  Plan.onReport("e2", std::nullopt, Start);
  Catalog.DesiredVersions["model"].push_back({3, Start});
  for (BackendServer &it : Catalog.AllServers)
    it.Weights = {{"model", 2}};
  EXPECT_TRUE(asked(Plan.next(Catalog, Start)).contains("e0"));
}

/// A late order may have been carried out before the next version is named.
TEST_F(WeightPlanTest, ForgetsFailuresToLoadAnEarlierVersion) {
  Catalog.AllServers.resize(3);
  Plan.next(Catalog, Start);
  Plan.onReport("e0", std::nullopt, Start);
  for (BackendServer &it : Catalog.AllServers)
    it.Weights = {{"model", 2}};
  Catalog.DesiredVersions["model"].push_back({3, Start});
  EXPECT_TRUE(asked(Plan.next(Catalog, Start)).contains("e0"));
}

/// Guards against a fleet that is avoided as a whole, as every engine is
/// selected in turn while the holder can't reach any.
TEST_F(WeightPlanTest, LoadsNoMoreAtATimeWhenNoEngineReports) {
  for (int i = 0; i < 20; ++i)
    for (const std::string &id : asked(Plan.next(Catalog, Start)))
      Plan.onReport(id, std::nullopt, Start);
  EXPECT_EQ(asked(Plan.next(Catalog, Start)).size(), 2);
}

/// Guards against a rollout that stalls behind engines that don't report or
/// refuse their orders.
TEST_F(WeightPlanTest, FreesThePlacesOfEnginesThatTakeNoOrder) {
  Plan.next(Catalog, Start);
  auto unreported = Plan.onReport("e0", std::nullopt, Start);
  EXPECT_EQ(std::get<NotePostponed>(unreported[0]).Reason,
            PostponeReason::NoReport);
  Plan.onReport("e2", report(1, 0), Start);
  auto refused = Plan.onAnswer("e2", OrderAnswer::Impossible, Start);
  EXPECT_EQ(std::get<NotePostponed>(refused[0]).Reason,
            PostponeReason::Refused);
  auto next = asked(Plan.next(Catalog, Start));
  EXPECT_EQ(next, (std::set<std::string>{"e1", "e3"}));
  auto slow = Plan.next(Catalog, Start + WeightPlanSettings().LoadTimeout);
  EXPECT_EQ(std::count_if(slow.begin(), slow.end(),
                          [](const WeightAction &it) {
                            const auto *note = std::get_if<NotePostponed>(&it);
                            return note &&
                                   note->Reason == PostponeReason::TooSlow;
                          }),
            2);
}

/// Of two versions named in a row, engines that still have the oldest weights
/// come first, but not for ever.
TEST_F(WeightPlanTest, LetsNewerEnginesPassOldOnesThatFailAgainAndAgain) {
  Catalog.DesiredVersions["model"].push_back({3, Start + 4s});
  for (size_t i = 2; i < 6; ++i)
    Catalog.AllServers[i].Weights = {{"model", 2}};
  std::set<std::string> oldest{"e0", "e1"};
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(asked(Plan.next(Catalog, Start + 5s)), oldest);
    for (const std::string &id : oldest)
      Plan.onReport(id, std::nullopt, Start + 5s);
  }
  for (const std::string &id : asked(Plan.next(Catalog, Start + 5s)))
    EXPECT_FALSE(oldest.contains(id)) << id;
}

/// Orders without an answer show that more are needed than there are engines.
TEST_F(WeightPlanTest, LoadsMoreAtATimeAfterOrdersWithoutAnAnswer) {
  std::vector<size_t> slots;
  for (TimePoint now = Start; now < Start + 5s; now += 300ms) {
    std::set<std::string> ids = asked(Plan.next(Catalog, now));
    slots.push_back(Plan.loadingServers().size());
    for (const std::string &id : ids)
      for (const WeightAction &it : Plan.onReport(id, report(1, 0), now))
        if (std::holds_alternative<SendWeightOrder>(it))
          Plan.onAnswer(ServerRef(id), OrderAnswer::Unknown, now);
  }
  EXPECT_EQ(slots.front(), 2);
  EXPECT_EQ(slots.back(), 3);
}

/// Guards against a rollout that stalls behind engines whose orders get no
/// answer, while other engines with weights as old get no order.
TEST_F(WeightPlanTest, OrdersEveryEngineOnceBeforeItOrdersOneAgain) {
  std::map<std::string, int> orders;
  TimePoint now = Start;
  for (; now < Start + 10s && orders.size() < 6; now += 100ms)
    for (const std::string &id : asked(Plan.next(Catalog, now)))
      for (const WeightAction &it : Plan.onReport(id, report(1, 0), now)) {
        const auto *order = std::get_if<SendWeightOrder>(&it);
        if (!order)
          continue;
        ++orders[order->ServerId];
        Plan.onAnswer(ServerRef(id), OrderAnswer::Unknown, now);
      }
  EXPECT_EQ(orders.size(), 6);
  for (const auto &[id, n] : orders)
    EXPECT_EQ(n, 1) << id;
}

/// Guards against engines that still have older weights at the platform's
/// bound, as slots wait for answers to orders that are lost.
TEST_F(WeightPlanTest, RepeatsLostOrdersOnceEveryEngineHasHadOne) {
  Catalog.AllServers.resize(2);
  Catalog.AllServers[1].FailureDomain = "d0";
  auto orders = [&](TimePoint now) {
    std::map<std::string, uint64_t> out; // Numbers of accepted orders.
    for (const WeightAction &it : Plan.next(Catalog, now))
      if (const auto *order = std::get_if<SendWeightOrder>(&it))
        out[order->ServerId] = order->OrdersTaken;
    return out;
  };
  Plan.next(Catalog, Start);
  Plan.onReport("e0", report(1, 7), Start);
  EXPECT_TRUE(orders(Start + 100ms).empty());
  Plan.onReport("e1", report(1, 3), Start + 100ms);
  EXPECT_EQ(orders(Start + 150ms),
            (std::map<std::string, uint64_t>{{"e0", 7}}));
  EXPECT_EQ(orders(Start + 200ms),
            (std::map<std::string, uint64_t>{{"e1", 3}}));
  // An engine that answers gets no further orders.
  Plan.onAnswer("e0", OrderAnswer::Accepted, Start + 210ms);
  EXPECT_EQ(orders(Start + 300ms),
            (std::map<std::string, uint64_t>{{"e1", 3}}));
}

/// Guards against slots that are held until calls time out, although a report
/// shows that the engine carries out nothing.
TEST_F(WeightPlanTest, FreesTheSlotOnceAReportShowsThatTheOrderIsLost) {
  Plan.next(Catalog, Start);
  Plan.onReport("e0", report(1, 0), Start);
  EXPECT_FALSE(asked(Plan.next(Catalog, Start + 300ms)).contains("e0"));
  EXPECT_TRUE(asked(Plan.next(Catalog, Start + 400ms)).contains("e0"));
  auto actions = Plan.onReport("e0", report(1, 0), Start + 400ms);
  ASSERT_EQ(actions.size(), 1);
  EXPECT_EQ(std::get<NotePostponed>(actions[0]).Reason,
            PostponeReason::NoAnswer);
}

/// An answer that comes after the check has begun still counts.
TEST_F(WeightPlanTest, KeepsTheSlotIfTheAnswerArrivesDuringTheCheck) {
  Plan.next(Catalog, Start);
  Plan.onReport("e0", report(1, 0), Start);
  Plan.next(Catalog, Start + 400ms);
  Plan.onAnswer("e0", OrderAnswer::Accepted, Start + 410ms);
  EXPECT_TRUE(Plan.onReport("e0", report(1, 0), Start + 420ms).empty());
  EXPECT_EQ(Plan.loadingServers().front(), ServerStart{"e0"});
}

/// Guards against engines that are postponed for the first lost report, and
/// against engines without any report that hold their slots for ever.
TEST_F(WeightPlanTest, RepeatsLostRequestsForReportsUntilTheFirstTimesOut) {
  Catalog.AllServers.resize(1);
  Plan.next(Catalog, Start);
  Plan.onReport("e0", report(1, 0), Start);
  Plan.onAnswer("e0", OrderAnswer::Unknown, Start);
  for (Duration at : {400ms, 500ms, 600ms, 700ms, 800ms, 900ms, 1000ms})
    EXPECT_TRUE(asked(Plan.next(Catalog, Start + at)).contains("e0"));
  auto actions = Plan.onReport("e0", std::nullopt, Start + 1100ms);
  ASSERT_EQ(actions.size(), 1);
  EXPECT_EQ(std::get<NotePostponed>(actions[0]).Reason,
            PostponeReason::NoReport);
}

TEST_F(WeightPlanTest, OrdersTheNewerVersionAfterALoadOfTheOlder) {
  Plan.next(Catalog, Start);
  Plan.onReport("e0", report(1, 0), Start);
  Plan.onAnswer("e0", OrderAnswer::Accepted, Start);
  Catalog.DesiredVersions["model"].push_back({3, Start + 1s});
  Plan.next(Catalog, Start + 1s);
  Plan.onReport("e0", report(2, 1), Start + 1s);
  Catalog.AllServers[0].Weights = {{"model", 2}};
  bool wants3 = false;
  for (int i = 0; i < 20; ++i)
    for (const WeightAction &it : Plan.next(Catalog, Start + 2s + i * 1s)) {
      const auto *ask = std::get_if<RequestReport>(&it);
      if (!ask)
        continue;
      for (const WeightAction &next :
           Plan.onReport(ask->ServerId, report(1, 0), Start + 2s + i * 1s)) {
        // Orders stay without an answer, so some reports postpone the engine.
        const auto *order = std::get_if<SendWeightOrder>(&next);
        wants3 |= order && order->Desired.Version == 3;
      }
    }
  EXPECT_TRUE(wants3);
}

TEST_F(WeightPlanTest, StopsAtOnceWhenItIsFenced) {
  Plan.next(Catalog, Start);
  Plan.onReport("e0", report(1, 0), Start);
  Plan.onAnswer("e0", OrderAnswer::Fenced, Start);
  EXPECT_TRUE(Plan.isIdle());
}

TEST_F(WeightPlanTest, ForgetsServersThatLeave) {
  Plan.next(Catalog, Start);
  Catalog.AllServers.erase(Catalog.AllServers.begin());
  Plan.next(Catalog, Start);
  auto busy = Plan.loadingServers();
  EXPECT_EQ(std::count(busy.begin(), busy.end(), ServerStart{"e0"}), 0);
}

TEST_F(WeightPlanTest, LoadsMoreAtATimeWhenTimeIsShort) {
  size_t n = asked(Plan.next(Catalog, Start + 9s)).size();
  EXPECT_EQ(n, 3); // Half of the outdated engines keep serving.
}

/// With two loads at a time, a large fleet would far exceed the limit.
TEST_F(WeightPlanTest, LoadsAShareOfALargeFleetAtATime) {
  BackendServer more = Catalog.AllServers.front();
  while (Catalog.AllServers.size() < 60) {
    more.Id = "more" + std::to_string(Catalog.AllServers.size());
    more.FailureDomain = "d" + std::to_string(Catalog.AllServers.size() % 3);
    // Most engines have the version: few are outdated, and much time is left.
    more.Weights = {{"model", 2}};
    Catalog.AllServers.push_back(more);
  }
  for (size_t i = 40; i < 60; ++i)
    Catalog.AllServers[i].Weights = {{"model", 1}};
  EXPECT_EQ(asked(Plan.next(Catalog, Start + 1s)).size(), 10);
}

} // namespace
} // namespace daisytack::direct
