#include "direct/placement_fixture.h"
#include "direct/rendezvous.h"

#include <map>
#include <set>

namespace daisytack::direct {
namespace {

/// Many entries that sought the least loaded of all servers on old news would
/// all find the same one.
TEST_F(PlacementTest, KeepsASessionToFewServersWhateverTheLoads) {
  for (int i = 6; i < 40; ++i)
    addServer("engines", "e" + std::to_string(i), i % 2 ? "d1" : "d2");
  std::set<std::string> used;
  for (int round = 0; round < 200; ++round) {
    std::string server = choose(prompt("s")).ServerId;
    used.insert(server);
    Loads.onSent(server, 3000, Start);
  }
  PlacementSettings defaults;
  EXPECT_EQ(used.size(), defaults.SessionCandidates);
}

TEST_F(PlacementTest, AlwaysKnowsServersWithTheWantedWeights) {
  for (int i = 6; i < 40; ++i)
    addServer("engines", "e" + std::to_string(i), i % 2 ? "d1" : "d2");
  Catalog.DesiredVersions["model"] = {{2, Start}};
  server("e33").Weights = {{"model", 2}};
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(choose(prompt(std::to_string(i)), {}, Start + 5s).ServerId,
              "e33");
}

TEST_F(PlacementTest, RefusesAPromptWhereEveryQueueIsLong) {
  auto refuses = [&](uint32_t priority) {
    ForwardRequest request = prompt("s");
    request.Priority = priority;
    Error reason;
    bool out =
        !BoundedPlace.choose(request, Catalog, {}, ClockMs, Start, reason);
    EXPECT_EQ(out, reason.Kind == ErrorKind::Overloaded);
    return out;
  };
  EXPECT_FALSE(refuses(1));
  for (const BackendServer &it : Catalog.Servers["engines"])
    Loads.onSent(it.Id, 30'000, Start); // 268 ms, of 240 allowed.
  EXPECT_TRUE(refuses(1));
  EXPECT_FALSE(refuses(0)); // The most urgent overtake what waits.
  for (const BackendServer &it : Catalog.Servers["engines"])
    Loads.onSent(it.Id, 80'000, Start);
  EXPECT_TRUE(refuses(0));
}

/// The same queue is too long for engines that read it at half the rate: what a
/// deployment's queues may hold follows from its engines and targets.
TEST_F(PlacementTest, AllowsSlowerEnginesShorterQueues) {
  for (const BackendServer &it : Catalog.Servers["engines"])
    Loads.onSent(it.Id, 14'000, Start); // 125 ms at the prior's rate.
  ForwardRequest request = prompt("s");
  request.Priority = 1;
  Error reason;
  EXPECT_TRUE(
      BoundedPlace.choose(request, Catalog, {}, ClockMs, Start, reason));
  for (int i = 0; i < 100; ++i)
    Rates.observe("engines", 12'000, 0, 290ms); // 50 tokens a millisecond.
  EXPECT_FALSE(
      BoundedPlace.choose(request, Catalog, {}, ClockMs, Start, reason));
}

TEST_F(PlacementTest, KnowsWhatCertainlyHasToBeRead) {
  Loads.onPeerReport("other", {}, 100ms, Start);
  AttemptOrder first = choose(prompt("s"));
  EXPECT_EQ(first.PrefillTokens, 3000);
  // Asked to be saved just now: the server's memory may have the shared parts.
  EXPECT_EQ(choose(prompt("s")).PrefillTokens, 0);
}

/// Room comes free within the target: who comes back in time is served in time.
TEST_F(PlacementTest, TellsRefusedCallersToComeBackWithinTheirTarget) {
  for (const BackendServer &it : Catalog.Servers["engines"])
    Loads.onSent(it.Id, 30'000, Start); // 268 ms, of 240 allowed.
  ForwardRequest request = prompt("s");
  request.Priority = 1;
  Error reason;
  ASSERT_FALSE(
      BoundedPlace.choose(request, Catalog, {}, ClockMs, Start, reason));
  EXPECT_EQ(reason.RetryAfter, 240ms); // 0.3 of 800 ms.
}

/// A queue that is known to last longer is not worth coming back to before.
TEST_F(PlacementTest, TellsCallersToComeBackLaterWhereTheQueueLasts) {
  for (const BackendServer &it : Catalog.Servers["engines"])
    Loads.onSent(it.Id, 112'000, Start); // A second, of 240 ms allowed.
  ForwardRequest request = prompt("s");
  request.Priority = 1;
  Error reason;
  ASSERT_FALSE(
      BoundedPlace.choose(request, Catalog, {}, ClockMs, Start, reason));
  EXPECT_EQ(reason.RetryAfter, 760ms);
}

TEST_F(PlacementTest, AsksSpareServersBeforeItRefuses) {
  for (int i = 6; i < 40; ++i)
    addServer("engines", "e" + std::to_string(i), i % 2 ? "d1" : "d2");
  PlacementSettings defaults;
  for (size_t i = 0; i < defaults.SessionCandidates; ++i) {
    ForwardRequest request = prompt("s");
    Error reason;
    auto choice =
        BoundedPlace.choose(request, Catalog, {}, ClockMs, Start, reason);
    ASSERT_TRUE(choice);
    Loads.onSent(choice->Order.ServerId, 80'000, Start);
  }
  Error reason;
  EXPECT_TRUE(
      BoundedPlace.choose(prompt("s"), Catalog, {}, ClockMs, Start, reason));
}

TEST_F(PlacementTest, CountsWhatIsFetchedForLessThanWhatIsRead) {
  uint64_t read = choose(prompt("s")).QueuedTokens;
  PartChanges changes{1, 1, false, {}, {}};
  changes.Changes = {{1, true, "shared@1", "system", 500}};
  Kept.apply("store", changes);
  uint64_t withFetch = choose(prompt("s")).QueuedTokens;
  EXPECT_EQ(read, 3000);
  EXPECT_LT(withFetch, read);
  EXPECT_GT(withFetch, read - 500);
}

/// An entry that has just started doesn't know the servers' clock. A fetch
/// without an end may outlast the wait before its part is freed.
TEST_F(PlacementTest, NamesNoSourceWithoutTheServersClock) {
  PartChanges changes{1, 1, false, {}, {}};
  changes.Changes = {{1, true, "shared@1", "system", 500}};
  Kept.apply("store", changes);
  Error reason;
  auto choice =
      Place.choose(prompt("s"), Catalog, {}, std::nullopt, Start, reason);
  ASSERT_TRUE(choice);
  for (const PartAddress &source : choice->Order.Sources)
    EXPECT_FALSE(source);
  choice = Place.choose(prompt("s"), Catalog, {}, ClockMs, Start, reason);
  ASSERT_TRUE(choice);
  EXPECT_TRUE(choice->Order.Sources.front());
  EXPECT_TRUE(choice->Order.FetchUntilMs);
}

/// Long prompts that return through any entry find their context in one
/// server's memory; with a home in each failure domain it was in several, and
/// each server remembered fewer sessions.
TEST_F(PlacementTest, LongPromptsOfASessionMeetAtOneHomeFromEveryDomain) {
  Placement elsewhere{
      {}, {"d2"}, {Loads, Links, Ejected, Rates, Kept, ColdServers, Limits}};
  std::map<std::string, int> homes;
  for (int i = 0; i < 60; ++i) {
    ForwardRequest request = prompt("session" + std::to_string(i));
    request.Head.PromptTokens = 12'000;
    request.Head.Parts[1].Tokens = 9000;
    std::string home = choose(request).ServerId;
    EXPECT_EQ(choose(request).ServerId, home);
    Error reason;
    auto other = elsewhere.choose(request, Catalog, {}, ClockMs, Start, reason);
    ASSERT_TRUE(other);
    EXPECT_EQ(other->Order.ServerId, home);
    ++homes[home];
  }
  EXPECT_EQ(homes.size(), 6);
  for (const auto &[home, n] : homes)
    EXPECT_GT(n, 3) << home;
}

/// Short ones cost as many bytes between domains and are read in no time.
TEST_F(PlacementTest, ShortPromptsStayInTheEntrysFailureDomain) {
  int near = 0;
  for (int i = 0; i < 60; ++i) {
    ForwardRequest request = prompt("session" + std::to_string(i));
    request.Head.PromptTokens = 800;
    request.Head.Parts = {
        {"system", 100}, {"s" + std::to_string(i), 500}, {"own", 200}};
    std::string first = choose(request).ServerId;
    EXPECT_EQ(choose(request).ServerId, first);
    near += server(first).FailureDomain == "d1" ? 1 : 0;
  }
  EXPECT_GT(near, 50); // Of three servers a session, one is near for 19 of 20.
}

TEST_F(PlacementTest, GoesElsewhereWhenTheHomeHasALongQueue) {
  ForwardRequest request = prompt("s");
  std::string home = choose(request).ServerId;
  Loads.onSent(home, 50'000, Start);
  EXPECT_NE(choose(request).ServerId, home);
}

TEST_F(PlacementTest, CountsWhatOtherEntriesHaveUnderWay) {
  ForwardRequest request = prompt("s");
  std::string home = choose(request).ServerId;
  Loads.onPeerReport("other", {{stableHash(home), 5, 50'000, 50'000}}, 100ms,
                     Start);
  EXPECT_NE(choose(request).ServerId, home);
  EXPECT_EQ(choose(request, {}, Start + 2s).ServerId, home); // Old news.
}

TEST_F(PlacementTest, LeavesOutServersThatWereTriedFailOrAreSilent) {
  ForwardRequest request = prompt("s");
  std::string first = choose(request).ServerId;
  std::string second = choose(request, {first}).ServerId;
  EXPECT_NE(second, first);
  Ejected.onFailure(1, 6, stableHash(first), Start);
  EXPECT_EQ(choose(request).ServerId, second);
  Loads.onSent(second, 0, Start);
  EXPECT_NE(choose(request, {}, Start + 2s).ServerId, second);
}

TEST_F(PlacementTest, PrefersAnAvoidedServerToNone) {
  for (const BackendServer &it : Catalog.Servers["plain"])
    Loads.avoidUntil(it.Id, Start + 10s);
  ForwardRequest request = prompt("s");
  request.Service = "plain";
  request.Head.Model.clear();
  request.Head.Parts.clear();
  EXPECT_NE(choose(request).ServerId, "");
  EXPECT_EQ(choose(request, {"p0", "p1"}).ServerId, "");
}

TEST_F(PlacementTest, RefusesAPromptThatCouldOnlyBeginTooLate) {
  ForwardRequest request = prompt("s");
  request.MatchedRoute.MaxFirstEventWait = 3200ms;
  for (const BackendServer &it : Catalog.Servers["engines"])
    Loads.onSent(it.Id, 250'000, Start);
  Error reason;
  EXPECT_TRUE(Place.choose(request, Catalog, {}, ClockMs, Start, reason));
  for (const BackendServer &it : Catalog.Servers["engines"])
    Loads.onSent(it.Id, 250'000, Start);
  EXPECT_FALSE(Place.choose(request, Catalog, {}, ClockMs, Start, reason));
  EXPECT_EQ(reason.Kind, ErrorKind::Overloaded);
  EXPECT_GT(reason.RetryAfter, Duration::zero());
}

TEST_F(PlacementTest, KeepsCallsNearUntilServersThereAreBusier) {
  ForwardRequest request = prompt("s");
  request.Service = "plain";
  request.Head.Model.clear();
  request.Head.Parts.clear();
  EXPECT_EQ(choose(request).ServerId, "p0");
  for (int i = 0; i < 6; ++i)
    Loads.onSent("p0", 0, Start);
  EXPECT_EQ(choose(request).ServerId, "p1");
}

TEST_F(PlacementTest, PrefersNewWeightsAndNeverUsesTooOldOnes) {
  Catalog.DesiredVersions["model"] = {{2, Start}};
  ForwardRequest request = prompt("s");
  std::string home = choose(request).ServerId;
  for (auto &it : Catalog.Servers["engines"])
    if (it.Id != home && it.FailureDomain == "d1")
      it.Weights = {{"model", 2}};
  EXPECT_EQ(choose(request).ServerId, home); // Within the grace.
  EXPECT_NE(choose(request, {}, Start + 5s).ServerId, home);
  for (auto &it : Catalog.Servers["engines"])
    it.Weights = {{"model", it.Id == "e5" ? 2U : 1U}};
  Loads.onSent("e5", 100'000, Start + 20s);
  EXPECT_EQ(choose(request, {}, Start + 20s).ServerId, "e5");
}

/// A request counts by when it begins to run, which a long queue puts off past
/// the limit though it was sent in time.
TEST_F(PlacementTest, SendsNothingToOldWeightsThatWouldBeginTooLate) {
  Catalog.DesiredVersions["model"] = {{2, Start}};
  for (auto &it : Catalog.Servers["engines"]) {
    it.Weights = {{"model", it.Id == "e5" ? 2U : 1U}};
    Loads.onSent(it.Id, it.Id == "e5" ? 300'000 : 120'000, Start + 9400ms);
  }
  EXPECT_NE(choose(prompt("s"), {}, Start + 6s).ServerId, "e5");
  EXPECT_EQ(choose(prompt("s"), {}, Start + 9400ms).ServerId, "e5");
}

TEST_F(PlacementTest, CountsTheAgeOfWeightsFromTheFirstNewerWish) {
  Catalog.DesiredVersions["model"] = {{2, Start}, {3, Start + 11s}};
  for (auto &it : Catalog.Servers["engines"])
    it.Weights = {{"model", it.Id == "e5" ? 2U : 1U}};
  Loads.onSent("e5", 100'000, Start + 12s);
  EXPECT_EQ(choose(prompt("s"), {}, Start + 12s).ServerId, "e5");
}

TEST_F(PlacementTest, AsksTheServerForItsVersionAndScope) {
  AttemptOrder order = choose(prompt("s"));
  EXPECT_EQ(order.WeightVersion, 1);
  EXPECT_EQ(order.CacheScope, "shared@1");
  ForwardRequest isolated = prompt("s");
  isolated.IsIsolated = true;
  EXPECT_EQ(choose(isolated).CacheScope, "org@1");
}

TEST_F(PlacementTest, ReadsTheVersionOfAScope) {
  EXPECT_EQ(versionOfScope(cacheScope("org@9", true, 12)), 12);
  EXPECT_EQ(versionOfScope("none"), std::nullopt);
  EXPECT_EQ(versionOfScope("org@x"), std::nullopt);
  EXPECT_EQ(versionOfScope("org@"), std::nullopt);
}

TEST_F(PlacementTest, SavesSharedPartsOnceAndNeverTheRequestsOwn) {
  AttemptOrder first = choose(prompt("s"));
  ASSERT_EQ(first.Destinations.size(), 3);
  EXPECT_TRUE(first.Destinations[0]);
  EXPECT_TRUE(first.Destinations[1]);
  EXPECT_FALSE(first.Destinations[2]);
  AttemptOrder second = choose(prompt("s"));
  EXPECT_FALSE(second.Destinations[0]);
  EXPECT_FALSE(second.Destinations[1]);
}

TEST_F(PlacementTest, NamesSourcesForWhatStoresHoldAndBoundsTheFetch) {
  PartChanges changes{1, 2, false, {}, {}};
  changes.Changes = {{1, true, "shared@1", "system", 500},
                     {2, true, "shared@1", "s", 2000}};
  Kept.apply("store", changes);
  AttemptOrder order = choose(prompt("s"));
  EXPECT_TRUE(order.Sources[0]);
  EXPECT_TRUE(order.Sources[1]);
  EXPECT_FALSE(order.Sources[2]);
  ASSERT_TRUE(order.FetchUntilMs);
  EXPECT_GT(*order.FetchUntilMs, ClockMs);
  EXPECT_LE(*order.FetchUntilMs, ClockMs + MaxFetchTime.count() / 1000);
  ForwardRequest isolated = prompt("s");
  isolated.IsIsolated = true;
  EXPECT_FALSE(choose(isolated).Sources[1]);
}

/// Not even where no other one is left: it ends with what it gets, or gets what
/// it can't serve.
TEST_F(PlacementTest, SendsNothingToServersThatWantNothingByTheirOwnWord) {
  ForwardRequest call;
  call.Service = "plain";
  Loads.onLeaving(server("p0").ref().key(), Start);
  EXPECT_EQ(choose(call).ServerId, "p1");
  Loads.onRetryAfter(server("p1").ref(), 5s, Start);
  Error reason;
  EXPECT_FALSE(Place.choose(call, Catalog, {}, ClockMs, Start + 1s, reason));
  EXPECT_EQ(reason.Kind, ErrorKind::NoServer);
  EXPECT_EQ(reason.RetryAfter, 4s); // Then one is open again.
  EXPECT_EQ(choose(call, {}, Start + 5s).ServerId, "p1");
}

TEST_F(PlacementTest, NamesNoTimeWhereAllServersLeave) {
  ForwardRequest call;
  call.Service = "plain";
  for (const char *id : {"p0", "p1"})
    Loads.onLeaving(server(id).ref().key(), Start);
  Error reason;
  EXPECT_FALSE(Place.choose(call, Catalog, {}, ClockMs, Start, reason));
  EXPECT_EQ(reason.RetryAfter, Duration::zero());
}

} // namespace
} // namespace daisytack::direct
