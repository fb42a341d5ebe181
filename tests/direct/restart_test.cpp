/// Servers that restart under the same id.
///
/// Guards against state of an earlier start being applied to the current one,
/// when it is kept by the server's id alone. Requests avoided a server for up
/// to four seconds after its restart, and a request was rejected because of
/// tokens that had been queued at the earlier start. There is a test for each
/// kind of state that used to survive a restart.
#include "direct/catalog_fixture.h"
#include "direct/placement_fixture.h"
#include "direct/weight_plan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisytack::direct {
namespace {

const ServerStart First{"a", 1'700'000'000'000};
const ServerStart Second{"a", 1'700'000'009'000};

TEST(RestartedServer, IsIdleAndNotAvoidedBecauseOfItsEarlierStart) {
  balancing::ServerLoads loads{{}};
  loads.onSent(First, 700, Start);
  loads.onRejected(First, Start);
  loads.onReplaced(First, Start);
  loads.onPeerReport("entry", {{ServerRef(First).key(), 2, 900, 900}}, 1s,
                     Start);
  EXPECT_EQ(loads.view(First, Start).WaitingTokens, 1600);
  EXPECT_EQ(loads.view(Second, Start), balancing::ServerLoadView{});
  EXPECT_FALSE(loads.view(Second, Start + 2s).IsAvoided); // Nor unresponsive.
}

TEST(RestartedServer, KeepsItsLoadWhenAnEarlierAttemptEndsLate) {
  balancing::ServerLoads loads{{}};
  loads.onSent(First, 700, Start);
  loads.onSent(Second, 300, Start + 1s);
  loads.onEnded(First, 700, false, Start + 2s);
  loads.avoidUntil(First, Start + 9s);
  balancing::ServerLoadView view = loads.view(Second, Start + 2s);
  EXPECT_EQ(view.Running, 1);
  EXPECT_EQ(view.WaitingTokens, 300);
  EXPECT_FALSE(loads.view(Second, Start + 2s).IsAvoided);
}

/// Entries learn of a restart at different times.
TEST(RestartedServer, CountsOnlyRequestsThatEntriesSentToItsOwnStart) {
  balancing::ServerLoads loads{{}};
  loads.onPeerReport("late", {{ServerRef(First).key(), 1, 500, 500}}, 1s,
                     Start);
  loads.onPeerReport("soon", {{ServerRef(Second).key(), 1, 200, 200}}, 1s,
                     Start);
  EXPECT_EQ(loads.view(Second, Start).WaitingTokens, 200);
}

TEST_F(PlacementTest, UsesARestartedServerAtOnce) {
  for (int i = 1; i < 6; ++i) // Only e0 remains.
    Loads.avoidUntil("e" + std::to_string(i), Start + 60s);
  std::string before = choose(prompt("s")).ServerId;
  ASSERT_EQ(before, "e0");
  Loads.onReplaced("e0", Start);
  uint64_t pool = stableHash("engines");
  ASSERT_EQ(Ejected.onFailure(pool, 6, ServerRef("e0").key(), Start),
            EjectionVerdict::Ejected);
  Loads.onLoadEnded("e1"); // Usable again, so e0 is not the only choice.
  EXPECT_EQ(choose(prompt("s")).ServerId, "e1");
  server("e0").StartedMs = Second.StartedMs;
  Loads.avoidUntil("e1", Start + 60s);
  Loads.onSent("e0", 1'000'000, Start); // To the earlier start.
  AttemptOrder order = choose(prompt("s"));
  EXPECT_EQ(order.ServerId, "e0");
  EXPECT_EQ(order.StartedMs, Second.StartedMs);
  EXPECT_EQ(order.TokensAhead, 0);
}

uint64_t versionOfA(const CatalogKeeper &keeper) {
  return keeper.view()->serversOf("service").at(0).versionOf("model");
}

/// A restarted server has the weights in its record.
TEST(RestartedServer, HasTheWeightsOfItsOwnRecord) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("server:a", "1#100", 1)}, Start);
  keeper.noteLoaded({"a", 100}, {"model", 2}, Start);
  EXPECT_EQ(versionOfA(keeper), 2);
  keeper.apply({put("server:a", "1#200", 2)}, Start);
  EXPECT_EQ(versionOfA(keeper), 1);
  keeper.noteLoaded({"a", 100}, {"model", 3}, Start); // Arrives late.
  EXPECT_EQ(versionOfA(keeper), 1);
  keeper.noteLoaded({"a", 200}, {"model", 2}, Start);
  EXPECT_EQ(versionOfA(keeper), 2);
  keeper.noteLoaded({"a", 100}, {"model", 4}, Start);
  EXPECT_EQ(versionOfA(keeper), 2);
}

/// An order meant for the earlier start may be carried out late, because the
/// number of orders begins again with each start. The server then has older
/// weights than before.
TEST(RestartedServer, HasTheWeightsThatALateOrderLoaded) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("server:a", "2#200", 1)}, Start);
  keeper.noteLoaded({"a", 200}, {"model", 3}, Start);
  keeper.apply({put("server:a", "2#200", 2)}, Start); // Outdated.
  EXPECT_EQ(versionOfA(keeper), 3);
  keeper.apply({put("server:a", "3#200", 3)}, Start);
  EXPECT_EQ(versionOfA(keeper), 3);
  keeper.apply({put("server:a", "2#200", 4)}, Start);
  EXPECT_EQ(versionOfA(keeper), 2);
}

TEST(RestartedServer, HasWeightsThatWereNotedAheadOfItsFirstRecord) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("server:a", "1#100", 1)}, Start);
  keeper.noteLoaded({"a", 200}, {"model", 2}, Start);
  EXPECT_EQ(versionOfA(keeper), 1);
  keeper.apply({put("server:a", "1#200", 2)}, Start);
  EXPECT_EQ(versionOfA(keeper), 2);
}

/// The order of the records decides, not the start time: a server whose clock
/// was set back would otherwise be out of use permanently. A late record of the
/// earlier start is in force only until the next heartbeat.
TEST(RestartedServer, IsTheOneInTheNewestRecordWhateverItsStartTime) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("server:a", "2#200", 1)}, Start);
  keeper.apply({put("server:a", "1#100", 2)}, Start);
  EXPECT_EQ(keeper.view()->AllServers.at(0).StartedMs, 100);
  EXPECT_EQ(versionOfA(keeper), 1);
  keeper.apply({put("server:a", "2#200", 3)}, Start);
  EXPECT_EQ(keeper.view()->AllServers.at(0).StartedMs, 200);
}

TEST(RestartedServer, IsReportedAsRestarted) {
  std::vector<std::string> log;
  CatalogKeeper keeper({}, textHooks(&log));
  keeper.apply({put("server:a", "1#100", 1)}, Start);
  keeper.apply({put("server:a", "2#100", 2)}, Start);
  EXPECT_EQ(log.back(), "a changed");
  keeper.apply({put("server:a", "2#200", 3)}, Start);
  EXPECT_EQ(log.back(), "a restarted");
}

TEST(RestartedServer, HasNoConnectionsOfAnEarlierProcessAtItsAddress) {
  auto at = [](std::string id, uint64_t startedMs, std::string address) {
    BackendServer out;
    out.Id = std::move(id);
    out.StartedMs = startedMs;
    out.Address = {std::move(address), 80};
    return out;
  };
  Catalog before;
  before.AllServers = {at("a", 5, "1"), at("b", 5, "2"), at("c", 0, "3")};
  Catalog after;
  after.AllServers = {at("a", 5, "1"), at("b", 9, "2"), at("c", 0, "3"),
                      at("d", 7, "4"), at("e", 0, "5")};
  EXPECT_EQ(addressesOfNewStarts(before, after),
            (std::vector<Endpoint>{{"2", 80}, {"4", 80}}));
}

/// One engine with outdated weights, and the plan of its loads.
class RestartedEngine : public testing::Test {
protected:
  RestartedEngine() {
    BackendServer server;
    server.Id = "a";
    server.Service = "engines";
    server.StartedMs = First.StartedMs;
    server.Weights = {{"model", 1}};
    Known.AllServers.push_back(server);
    Known.DesiredVersions["model"] = {{2, Start}};
  }

  void restart(uint64_t version = 1) {
    Known.AllServers[0].StartedMs = Second.StartedMs;
    Known.AllServers[0].Weights = {{"model", version}};
  }
  static EngineReport report(const ServerStart &start, uint64_t version,
                             uint64_t orders) {
    return {{{"model", version}}, false, orders, start.StartedMs};
  }
  static bool asks(const std::vector<WeightAction> &actions) {
    return actions.size() == 1 &&
           std::holds_alternative<RequestReport>(actions.front());
  }

  Catalog Known;
  WeightPlan Plan{{.PrepareTime = Duration::zero()}};
};

TEST_F(RestartedEngine, IsAskedAgainAtOnce) {
  Plan.next(Known, Start);
  Plan.onReport("a", report(First, 1, 7), Start);
  Plan.onAnswer(First, OrderAnswer::Accepted, Start);
  ASSERT_TRUE(Plan.next(Known, Start + 100ms).empty()); // It should be loading.
  restart();
  EXPECT_TRUE(asks(Plan.next(Known, Start + 200ms)));
  auto actions = Plan.onReport("a", report(Second, 1, 0), Start + 200ms);
  ASSERT_EQ(actions.size(), 1);
  EXPECT_EQ(std::get<SendWeightOrder>(actions[0]).OrdersTaken, 0);
  EXPECT_EQ(std::get<SendWeightOrder>(actions[0]).StartedMs, Second.StartedMs);
}

TEST_F(RestartedEngine, IsNotOrderedOnAReportOfAnotherStart) {
  Plan.next(Known, Start);
  restart();
  Plan.next(Known, Start + 100ms);
  EXPECT_TRUE(Plan.onReport("a", report(First, 1, 7), Start + 150ms).empty());
  EXPECT_TRUE(Plan.onReport("a", report(First, 2, 8), Start + 150ms).empty());
  EXPECT_TRUE(asks(Plan.next(Known, Start + 500ms)));
  EXPECT_EQ(Plan.onReport("a", report(Second, 1, 0), Start + 500ms).size(), 1);
}

/// A report may be ahead of the record.
TEST_F(RestartedEngine, IsAskedAgainUntilItsRecordShowsTheSameStart) {
  Plan.next(Known, Start);
  EXPECT_TRUE(Plan.onReport("a", report(Second, 1, 0), Start).empty());
  EXPECT_TRUE(asks(Plan.next(Known, Start + 300ms)));
  EXPECT_TRUE(Plan.onReport("a", report(Second, 1, 0), Start + 300ms).empty());
  restart();
  EXPECT_TRUE(asks(Plan.next(Known, Start + 600ms)));
  EXPECT_EQ(Plan.onReport("a", report(Second, 1, 0), Start + 600ms).size(), 1);
}

TEST_F(RestartedEngine, IsNotTakenForLoadingAfterAnAnswerOfItsEarlierStart) {
  Plan.next(Known, Start);
  Plan.onReport("a", report(First, 1, 7), Start);
  restart();
  Plan.next(Known, Start + 100ms);
  Plan.onAnswer(First, OrderAnswer::Accepted, Start + 150ms);
  // The requested report is still accepted.
  EXPECT_EQ(Plan.onReport("a", report(Second, 1, 0), Start + 200ms).size(), 1);
}

/// Whichever start rejects the fencing token, there is a newer holder.
TEST_F(RestartedEngine, StopsTheHolderWhenItRejectsTheToken) {
  Plan.next(Known, Start);
  Plan.onReport("a", report(First, 1, 7), Start);
  restart();
  Plan.next(Known, Start + 100ms);
  Plan.onAnswer(First, OrderAnswer::Fenced, Start + 150ms);
  EXPECT_TRUE(Plan.isIdle());
}

TEST_F(RestartedEngine, IsNotedAsLoadedForItsOwnStart) {
  restart();
  Plan.next(Known, Start);
  auto actions = Plan.onReport("a", report(Second, 2, 1), Start);
  ASSERT_EQ(actions.size(), 1);
  EXPECT_EQ(std::get<NoteLoaded>(actions[0]),
            (NoteLoaded{"a", {"model", 2}, Second.StartedMs}));
  EXPECT_EQ(Plan.loadingServers(), std::vector<ServerStart>{});
}

} // namespace
} // namespace daisytack::direct
