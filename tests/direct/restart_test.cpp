/// Servers that start again under the id that they had.
///
/// Seen: requests went around a server that had just started anew, for up to
/// four seconds, and a request was refused for tokens that had waited at its
/// earlier start. All beliefs were kept by the server's id alone. A play of
/// each belief against a record with the same id and another start showed which
/// of them outlived the start: all of these.
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
  ServerLoads loads{{}};
  loads.onSent(First, 700, Start);
  loads.onRejected(First, Start);
  loads.onReplaced(First, Start);
  loads.onPeerReport("entry", {{ServerRef(First).key(), 2, 900, 900}}, 1s,
                     Start);
  EXPECT_EQ(loads.view(First, Start).WaitingTokens, 1600);
  EXPECT_EQ(loads.view(Second, Start), ServerLoadView{});
  EXPECT_FALSE(loads.view(Second, Start + 2s).IsAvoided); // Nor silent.
}

TEST(RestartedServer, KeepsItsLoadWhenAnEarlierAttemptEndsLate) {
  ServerLoads loads{{}};
  loads.onSent(First, 700, Start);
  loads.onSent(Second, 300, Start + 1s);
  loads.onEnded(First, 700, false, Start + 2s);
  loads.avoidUntil(First, Start + 9s);
  ServerLoadView view = loads.view(Second, Start + 2s);
  EXPECT_EQ(view.Running, 1);
  EXPECT_EQ(view.WaitingTokens, 300);
  EXPECT_FALSE(loads.view(Second, Start + 2s).IsAvoided);
}

/// Entries learn of a restart at different times.
TEST(RestartedServer, CountsOnlyRequestsThatEntriesSentToItsOwnStart) {
  ServerLoads loads{{}};
  loads.onPeerReport("late", {{ServerRef(First).key(), 1, 500, 500}}, 1s,
                     Start);
  loads.onPeerReport("soon", {{ServerRef(Second).key(), 1, 200, 200}}, 1s,
                     Start);
  EXPECT_EQ(loads.view(Second, Start).WaitingTokens, 200);
}

TEST_F(PlacementTest, UsesARestartedServerAtOnce) {
  for (int i = 1; i < 6; ++i) // Only e0 is left.
    Loads.avoidUntil("e" + std::to_string(i), Start + 60s);
  std::string before = choose(prompt("s")).ServerId;
  ASSERT_EQ(before, "e0");
  Loads.onReplaced("e0", Start);
  uint64_t pool = stableHash("engines");
  ASSERT_EQ(Ejected.onFailure(pool, 6, ServerRef("e0").key(), Start),
            EjectionVerdict::Ejected);
  Loads.onWeightsLoaded(
      "e1"); // Again usable: e0 is not chosen for want of others.
  EXPECT_EQ(choose(prompt("s")).ServerId, "e1");
  server("e0").StartedMs = Second.StartedMs;
  Loads.avoidUntil("e1", Start + 60s);
  Loads.onSent("e0", 1'000'000, Start); // At the earlier start.
  AttemptOrder order = choose(prompt("s"));
  EXPECT_EQ(order.ServerId, "e0");
  EXPECT_EQ(order.StartedMs, Second.StartedMs);
  EXPECT_EQ(order.TokensAhead, 0);
}

uint64_t versionOfA(const CatalogKeeper &keeper) {
  return keeper.view()->serversOf("service").at(0).versionOf("model");
}

/// A server that starts again has the weights that its record says.
TEST(RestartedServer, HasTheWeightsOfItsOwnRecord) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("server:a", "1#100", 1)}, Start);
  keeper.noteLoaded({"a", 100}, {"model", 2}, Start);
  EXPECT_EQ(versionOfA(keeper), 2);
  keeper.apply({put("server:a", "1#200", 2)}, Start);
  EXPECT_EQ(versionOfA(keeper), 1);
  keeper.noteLoaded({"a", 100}, {"model", 3}, Start); // Heard of late.
  EXPECT_EQ(versionOfA(keeper), 1);
  keeper.noteLoaded({"a", 200}, {"model", 2}, Start);
  EXPECT_EQ(versionOfA(keeper), 2);
  keeper.noteLoaded({"a", 100}, {"model", 4}, Start);
  EXPECT_EQ(versionOfA(keeper), 2);
}

/// An order that was given to the earlier start may be carried out late, as the
/// later one counts anew: it then has older weights than it had.
TEST(RestartedServer, HasTheWeightsThatALateOrderLoaded) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("server:a", "2#200", 1)}, Start);
  keeper.noteLoaded({"a", 200}, {"model", 3}, Start);
  keeper.apply({put("server:a", "2#200", 2)}, Start); // Lags behind.
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

/// The order of the records decides, not the time of the start: the clock of a
/// server may be set back, and would then keep it out of use for good. A record
/// that the earlier start wrote late holds until the next one, a heartbeat.
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

/// One engine that is behind, and its loads.
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
  ASSERT_TRUE(Plan.next(Known, Start + 100ms).empty()); // It should load.
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

/// The report is ahead of the record.
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
  // The report that was asked for counts still.
  EXPECT_EQ(Plan.onReport("a", report(Second, 1, 0), Start + 200ms).size(), 1);
}

/// Whichever start refused: another holder has given orders.
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
