#include "direct/context_group.h"
#include "direct/placement_fixture.h"
#include "direct/rendezvous.h"

#include <map>
#include <set>

namespace daisytack::direct {
namespace {

/// If many entries chose the least loaded of all servers by outdated loads, all
/// would choose the same server.
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

TEST_F(PlacementTest, AlwaysConsidersServersWithTheWantedWeights) {
  for (int i = 6; i < 40; ++i)
    addServer("engines", "e" + std::to_string(i), i % 2 ? "d1" : "d2");
  Catalog.DesiredVersions["model"] = {{2, Start}};
  server("e33").Weights = {{"model", 2}};
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(choose(prompt(std::to_string(i)), {}, Start + 5s).ServerId,
              "e33");
}

TEST_F(PlacementTest, RefusesAPromptWhenEveryQueueIsLong) {
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
    Loads.onSent(it.Id, {60'000, true}, Start); // 536 ms, of 480 allowed.
  EXPECT_TRUE(refuses(1));
  EXPECT_FALSE(refuses(0)); // The most urgent overtake the queue.
  for (const BackendServer &it : Catalog.Servers["engines"])
    Loads.onSent(it.Id, {80'000, true}, Start);
  EXPECT_TRUE(refuses(0));
}

/// A queue that is short enough for some engines is too long for engines with
/// half their prefill rate: the limit in tokens follows from rate and targets.
TEST_F(PlacementTest, AllowsShorterQueuesOnSlowerEngines) {
  for (const BackendServer &it : Catalog.Servers["engines"])
    Loads.onSent(it.Id, {28'000, true}, Start); // 250 ms at the initial rate.
  ForwardRequest request = prompt("s");
  request.Priority = 1;
  Error reason;
  EXPECT_TRUE(
      BoundedPlace.choose(request, Catalog, {}, ClockMs, Start, reason));
  for (int i = 0; i < 100; ++i)
    Rates.observe("engines", 12'000, 0, 290ms); // 50 tokens per millisecond.
  EXPECT_FALSE(
      BoundedPlace.choose(request, Catalog, {}, ClockMs, Start, reason));
}

TEST_F(PlacementTest, KnowsWhatCertainlyHasToBePrefilled) {
  Loads.onPeerReport("other", {}, 100ms, Start);
  AttemptOrder first = choose(prompt("s"));
  EXPECT_EQ(first.PrefillTokens, 3000);
  // The save was just requested, so the shared parts may be in the server's
  // memory.
  EXPECT_EQ(choose(prompt("s")).PrefillTokens, 0);
}

/// Capacity becomes free within the target latency, so a retry within it can be
/// served in time.
TEST_F(PlacementTest, SetsRetryAfterOfRefusedPromptsWithinTheirTarget) {
  for (const BackendServer &it : Catalog.Servers["engines"])
    Loads.onSent(it.Id, {60'000, true}, Start); // 536 ms, of 480 allowed.
  ForwardRequest request = prompt("s");
  request.Priority = 1;
  Error reason;
  ASSERT_FALSE(
      BoundedPlace.choose(request, Catalog, {}, ClockMs, Start, reason));
  EXPECT_EQ(reason.RetryAfter, 240ms); // 0.3 of 800 ms.
}

/// A retry before the queue has shrunk below its limit would be refused again.
TEST_F(PlacementTest, SetsALaterRetryAfterForALongQueue) {
  for (const BackendServer &it : Catalog.Servers["engines"])
    Loads.onSent(it.Id, {138'880, true}, Start); // 1,240 ms, of 480 allowed.
  ForwardRequest request = prompt("s");
  request.Priority = 1;
  Error reason;
  ASSERT_FALSE(
      BoundedPlace.choose(request, Catalog, {}, ClockMs, Start, reason));
  EXPECT_EQ(reason.RetryAfter, 760ms);
}

TEST_F(PlacementTest, TriesSpareServersBeforeItRefuses) {
  for (int i = 6; i < 40; ++i)
    addServer("engines", "e" + std::to_string(i), i % 2 ? "d1" : "d2");
  PlacementSettings defaults;
  for (size_t i = 0; i < defaults.SessionCandidates; ++i) {
    ForwardRequest request = prompt("s");
    Error reason;
    auto choice =
        BoundedPlace.choose(request, Catalog, {}, ClockMs, Start, reason);
    ASSERT_TRUE(choice);
    Loads.onSent(choice->Order.ServerId, {80'000, true}, Start);
  }
  Error reason;
  EXPECT_TRUE(
      BoundedPlace.choose(prompt("s"), Catalog, {}, ClockMs, Start, reason));
}

TEST_F(PlacementTest, CountsFetchedTokensForLessThanPrefilledOnes) {
  uint64_t read = choose(prompt("s")).QueuedTokens;
  PartChanges changes{1, 1, false, {}, {}};
  changes.Changes = {{1, true, "shared@1", "system", 500}};
  Kept.apply("store", changes, {}, Start - 1h);
  uint64_t withFetch = choose(prompt("s")).QueuedTokens;
  EXPECT_EQ(read, 3000);
  EXPECT_LT(withFetch, read);
  EXPECT_GT(withFetch, read - 500);
}

/// An entry that has just started does not know the servers' clock. A fetch
/// without a deadline might still be running when its part is freed.
TEST_F(PlacementTest, NamesNoSourceWithoutTheServersClock) {
  PartChanges changes{1, 1, false, {}, {}};
  changes.Changes = {{1, true, "shared@1", "system", 500}};
  Kept.apply("store", changes, {}, Start - 1h);
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

/// Long prompts of a session find their context in one server's memory whatever
/// entry they come through. With a home server in each failure domain, several
/// servers would hold the same context, and each would have memory for fewer
/// sessions.
TEST_F(PlacementTest, SendsLongPromptsOfASessionToOneHomeFromEveryDomain) {
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

/// Short prompts cause as much traffic between domains, and their prefill takes
/// little time.
TEST_F(PlacementTest, KeepsShortPromptsInTheEntrysFailureDomain) {
  int sameDomain = 0;
  for (int i = 0; i < 60; ++i) {
    ForwardRequest request = prompt("session" + std::to_string(i));
    request.Head.PromptTokens = 800;
    request.Head.Parts = {
        {"system", 100}, {"s" + std::to_string(i), 500}, {"own", 200}};
    std::string first = choose(request).ServerId;
    EXPECT_EQ(choose(request).ServerId, first);
    sameDomain += server(first).FailureDomain == "d1" ? 1 : 0;
  }
  // Each session has three servers, and 19 of 20 sessions one in this domain.
  EXPECT_GT(sameDomain, 50);
}

TEST_F(PlacementTest, UsesAnotherServerWhenTheHomeHasALongQueue) {
  ForwardRequest request = prompt("s");
  std::string home = choose(request).ServerId;
  Loads.onSent(home, {50'000, true}, Start);
  EXPECT_NE(choose(request).ServerId, home);
}

TEST_F(PlacementTest, CountsTheLoadsOfOtherEntries) {
  ForwardRequest request = prompt("s");
  std::string home = choose(request).ServerId;
  Loads.onPeerReport("other", {{stableHash(home), 5, 50'000, 50'000}}, 100ms,
                     Start);
  EXPECT_NE(choose(request).ServerId, home);
  EXPECT_EQ(choose(request, {}, Start + 2s).ServerId, home); // Expired.
}

TEST_F(PlacementTest, SkipsTriedEjectedAndSilentServers) {
  ForwardRequest request = prompt("s");
  std::string first = choose(request).ServerId;
  std::string second = choose(request, {first}).ServerId;
  EXPECT_NE(second, first);
  Ejected.onFailure(1, 6, stableHash(first), Start);
  EXPECT_EQ(choose(request).ServerId, second);
  Loads.onSent(second, 0, Start);
  EXPECT_NE(choose(request, {}, Start + 2s).ServerId, second);
}

TEST_F(PlacementTest, UsesAnAvoidedServerWhenThereIsNoOther) {
  for (const BackendServer &it : Catalog.Servers["plain"])
    Loads.avoidUntil(it.Id, Start + 10s);
  ForwardRequest request = prompt("s");
  request.Service = "plain";
  request.Head.Model.clear();
  request.Head.Parts.clear();
  EXPECT_NE(choose(request).ServerId, "");
  EXPECT_EQ(choose(request, {"p0", "p1"}).ServerId, "");
}

TEST_F(PlacementTest, RefusesAPromptWhoseAnswerWouldBeginTooLate) {
  ForwardRequest request = prompt("s");
  request.MatchedRoute.MaxFirstEventWait = 3200ms;
  for (const BackendServer &it : Catalog.Servers["engines"])
    Loads.onSent(it.Id, {250'000, true}, Start);
  Error reason;
  EXPECT_TRUE(Place.choose(request, Catalog, {}, ClockMs, Start, reason));
  for (const BackendServer &it : Catalog.Servers["engines"])
    Loads.onSent(it.Id, {250'000, true}, Start);
  EXPECT_FALSE(Place.choose(request, Catalog, {}, ClockMs, Start, reason));
  EXPECT_EQ(reason.Kind, ErrorKind::Overloaded);
  EXPECT_GT(reason.RetryAfter, Duration::zero());
}

TEST_F(PlacementTest, KeepsCallsInTheEntrysDomainUntilItIsBusier) {
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
  EXPECT_EQ(choose(request).ServerId, home); // Within the grace period.
  EXPECT_NE(choose(request, {}, Start + 5s).ServerId, home);
  for (auto &it : Catalog.Servers["engines"])
    it.Weights = {{"model", it.Id == "e5" ? 2U : 1U}};
  Loads.onSent("e5", {100'000, true}, Start + 20s);
  EXPECT_EQ(choose(request, {}, Start + 20s).ServerId, "e5");
}

/// Guards against requests that begin on weights past the rollout limit because
/// every server with newer weights was tried, avoided or not available yet.
TEST_F(PlacementTest, RefusesWhenOnlyWeightsPastTheRolloutLimitAreLeft) {
  Catalog.DesiredVersions["model"] = {{2, Start}};
  TimePoint past = Start + PlacementSettings().OldWeightsLimit;
  Error reason;
  auto refuses = [&](const std::vector<std::string> &tried) {
    reason = {};
    return !Place.choose(prompt("s"), Catalog, {tried}, ClockMs, past,
                         reason) &&
           reason.Kind == ErrorKind::WeightsOutdated &&
           reason.RetryAfter > Duration::zero();
  };
  EXPECT_TRUE(refuses({}));
  server("e5").Weights = {{"model", 2}};
  EXPECT_FALSE(refuses({}));
  EXPECT_TRUE(refuses({"e5"}));
  Loads.onRetryAfter("e5", 1500ms, past);
  EXPECT_TRUE(refuses({}));
}

TEST_F(PlacementTest, NamesTheEndOfTheNextLoadWhenWeightsAreOutdated) {
  Catalog.DesiredVersions["model"] = {{2, Start}};
  PlacementSettings settings;
  TimePoint past = Start + settings.OldWeightsLimit;
  auto retryAfter = [&](TimePoint now) {
    Error reason;
    EXPECT_FALSE(Place.choose(prompt("s"), Catalog, {}, ClockMs, now, reason));
    return reason.RetryAfter;
  };
  EXPECT_EQ(retryAfter(past), settings.UsualLoadTime);
  Loads.onLoading("e3", past + 3s, past);
  Loads.onLoading("e3", past + 4s, past + 1s); // Heard of it again.
  EXPECT_EQ(retryAfter(past + 1s), settings.UsualLoadTime - 1s);
  EXPECT_EQ(retryAfter(past + 3s), settings.OverdueLoadRetry);
  Loads.onLoadEnded("e3");
  EXPECT_EQ(retryAfter(past + 3s), settings.UsualLoadTime);
  Loads.onLoading("e3", past + 6s, past + 3s); // Selected anew.
  EXPECT_EQ(retryAfter(past + 3500ms), settings.UsualLoadTime - 500ms);
}

/// The age of weights counts at the time when the request begins to run. A long
/// queue may put that off beyond the limit although the request was sent in
/// time.
TEST_F(PlacementTest, AvoidsOldWeightsWhenTheRequestWouldBeginTooLate) {
  Catalog.DesiredVersions["model"] = {{2, Start}};
  for (auto &it : Catalog.Servers["engines"]) {
    it.Weights = {{"model", it.Id == "e5" ? 2U : 1U}};
    Loads.onSent(it.Id, {it.Id == "e5" ? 300'000U : 120'000U, true},
                 Start + 9400ms);
  }
  EXPECT_NE(choose(prompt("s"), {}, Start + 6s).ServerId, "e5");
  EXPECT_EQ(choose(prompt("s"), {}, Start + 9400ms).ServerId, "e5");
}

/// A caller gives up after its route's own wait, which may be several times as
/// long as that of another route.
TEST_F(PlacementTest, AvoidsOldWeightsForACallerThatWaitsLong) {
  Catalog.DesiredVersions["model"] = {{2, Start}};
  for (auto &it : Catalog.Servers["engines"]) {
    it.Weights = {{"model", it.Id == "e5" ? 2U : 1U}};
    Loads.onSent(it.Id, {it.Id == "e5" ? 600'000U : 400'000U, true},
                 Start + 7500ms);
  }
  ForwardRequest request = prompt("s");
  request.MatchedRoute.MaxFirstEventWait = 3200ms;
  EXPECT_NE(choose(request, {}, Start + 7500ms).ServerId, "e5");
  request.MatchedRoute.MaxFirstEventWait = 8s;
  EXPECT_EQ(choose(request, {}, Start + 7500ms).ServerId, "e5");
}

/// Unless a server holds the prompt's context, the prompt is prefilled before
/// the request begins.
TEST_F(PlacementTest, AvoidsOldWeightsForAPromptWithALongPrefill) {
  Catalog.DesiredVersions["model"] = {{2, Start}};
  for (auto &it : Catalog.Servers["engines"])
    it.Weights = {{"model", it.Id == "e5" ? 2U : 1U}};
  Loads.onSent("e5", {100'000, true}, Start + 9400ms);
  ForwardRequest request = prompt("s");
  EXPECT_NE(choose(request, {}, Start + 9400ms).ServerId, "e5");
  request.Head.PromptTokens = 100'000; // 893 ms at the initial rate.
  request.Head.Parts.back().Tokens = 97'500;
  EXPECT_EQ(choose(request, {}, Start + 9400ms).ServerId, "e5");
}

/// A fetch over a slow link takes until its deadline; its context is discarded
/// then and the whole prompt is prefilled. The request must begin before the
/// server's weights are too old all the same.
TEST_F(PlacementTest, EndsFetchesToOldWeightsInTimeForThePrefill) {
  Catalog.DesiredVersions["model"] = {{2, Start}};
  PartChanges changes{1, 2, false, {}, {}};
  changes.Changes = {{1, true, "shared@1", "system", 500},
                     {2, true, "shared@1", "s", 2000}};
  Kept.apply("store", changes, {}, Start - 1h);
  ForwardRequest request = prompt("s");
  Duration limit = PlacementSettings().OldWeightsLimit;
  Duration prefill(static_cast<int64_t>(1000 * request.Head.PromptTokens /
                                        Rates.tokensPerMs("engines")));
  Duration twiceTheWait = 2 * (50ms + prefill); // OldWeightsWaitFactor.
  for (Duration age = 100ms; age < limit; age += 100ms) {
    AttemptOrder order = choose(request, {}, Start + age);
    bool isInTime = age + twiceTheWait < limit;
    EXPECT_EQ(!order.ServerId.empty(), isInTime) << age.count() << " us";
    if (!isInTime)
      continue;
    Duration fetch = std::chrono::milliseconds(
        order.FetchUntilMs ? *order.FetchUntilMs - ClockMs : 0);
    EXPECT_LE(age + fetch + prefill, limit) << age.count() << " us";
    EXPECT_EQ(order.FetchUntilMs.has_value(), order.Sources[1].has_value());
    EXPECT_TRUE(age > 8s || fetch == MaxFetchTime) << age.count() << " us";
  }
}

/// Guards against refusals of requests that name a model at a service without
/// its weights: version 0 counted as outdated for ever.
TEST_F(PlacementTest, HasNoRolloutLimitWhereServersLackTheModelsWeights) {
  Catalog.DesiredVersions["model"] = {{2, Start}};
  Catalog.DesiredVersions["other"] = {{2, Start}};
  ForwardRequest toPlain = prompt("s");
  toPlain.Service = "plain";
  ForwardRequest toEngine = prompt("s");
  toEngine.Head.Model = "other";
  for (const ForwardRequest &request : {toPlain, toEngine}) {
    AttemptOrder order = choose(request, {}, Start + 20s);
    EXPECT_FALSE(order.ServerId.empty()) << request.Service;
    EXPECT_EQ(Place.beginLimit(request, Catalog, order), std::nullopt);
  }
}

TEST_F(PlacementTest, LimitsWhenAnAttemptOnOutdatedWeightsMustHaveBegun) {
  ForwardRequest request = prompt("s");
  AttemptOrder order = choose(request);
  EXPECT_EQ(Place.beginLimit(request, Catalog, order), std::nullopt);
  Catalog.DesiredVersions["model"] = {{2, Start}, {3, Start + 4s}};
  TimePoint limit = Start + PlacementSettings().OldWeightsLimit;
  EXPECT_EQ(Place.beginLimit(request, Catalog, order), limit);
  order.WeightVersion = 2;
  EXPECT_EQ(Place.beginLimit(request, Catalog, order), limit + 4s);
  order.WeightVersion = 3;
  EXPECT_EQ(Place.beginLimit(request, Catalog, order), std::nullopt);
}

TEST_F(PlacementTest, CountsTheAgeOfWeightsFromTheFirstNewerVersion) {
  Catalog.DesiredVersions["model"] = {{2, Start}, {3, Start + 11s}};
  for (auto &it : Catalog.Servers["engines"])
    it.Weights = {{"model", it.Id == "e5" ? 2U : 1U}};
  Loads.onSent("e5", {100'000, true}, Start + 12s);
  EXPECT_EQ(choose(prompt("s"), {}, Start + 12s).ServerId, "e5");
}

/// The log of an attempt has to show whether its server's weights were too old,
/// and whether there was a better server.
TEST_F(PlacementTest, TellsTheAgeOfTheWeightsAndTheServersToChooseFrom) {
  Catalog.DesiredVersions["model"] = {{2, Start}};
  for (const char *id : {"e4", "e5"})
    server(id).Weights = {{"model", 2}};
  AttemptOrder outdated = choose(prompt("s"), {"e4", "e5"}, Start + 3s);
  EXPECT_EQ(outdated.OutdatedFor, 3s);
  EXPECT_EQ(outdated.EligibleServers, 4);
  EXPECT_EQ(outdated.CurrentServers, 0);
  AttemptOrder current =
      choose(prompt("s"), {"e0", "e1", "e2", "e3"}, Start + 3s);
  EXPECT_EQ(current.OutdatedFor, Duration::zero());
  EXPECT_EQ(current.EligibleServers, 2);
  EXPECT_EQ(current.CurrentServers, 2);
}

TEST_F(PlacementTest, OrdersTheServersVersionAndScope) {
  AttemptOrder order = choose(prompt("s"));
  EXPECT_EQ(order.WeightVersion, 1);
  EXPECT_EQ(order.CacheScope, "shared@1");
  setIsolated(true);
  EXPECT_EQ(choose(prompt("s")).CacheScope, isolatedContextGroup("org") + "@1");
}

/// A request may have waited since before its organisation, or another one, was
/// isolated.
TEST_F(PlacementTest, TakesTheScopeFromTheConfigurationInForce) {
  ForwardRequest request = prompt("s");
  request.Organisation = "";
  EXPECT_EQ(choose(request).CacheScope, "shared@1");
  setIsolated(true);
  EXPECT_EQ(choose(request).CacheScope, commonContextGroup({"org"}) + "@1");
}

TEST_F(PlacementTest, ParsesTheVersionOfAScope) {
  EXPECT_EQ(versionOfScope(cacheScope("org@9", 12)), 12);
  EXPECT_EQ(versionOfScope("none"), std::nullopt);
  EXPECT_EQ(versionOfScope("org@x"), std::nullopt);
  EXPECT_EQ(versionOfScope("org@"), std::nullopt);
}

TEST_F(PlacementTest, SavesSharedPartsOnceAndNeverTheRequestsOwnPart) {
  AttemptOrder first = choose(prompt("s"));
  ASSERT_EQ(first.Destinations.size(), 3);
  EXPECT_TRUE(first.Destinations[0]);
  EXPECT_TRUE(first.Destinations[1]);
  EXPECT_FALSE(first.Destinations[2]);
  AttemptOrder second = choose(prompt("s"));
  EXPECT_FALSE(second.Destinations[0]);
  EXPECT_FALSE(second.Destinations[1]);
}

TEST_F(PlacementTest, NamesSourcesForKeptPartsAndBoundsTheFetch) {
  PartChanges changes{1, 2, false, {}, {}};
  changes.Changes = {{1, true, "shared@1", "system", 500},
                     {2, true, "shared@1", "s", 2000}};
  Kept.apply("store", changes, {}, Start - 1h);
  AttemptOrder order = choose(prompt("s"));
  EXPECT_TRUE(order.Sources[0]);
  EXPECT_TRUE(order.Sources[1]);
  EXPECT_FALSE(order.Sources[2]);
  ASSERT_TRUE(order.FetchUntilMs);
  EXPECT_GT(*order.FetchUntilMs, ClockMs);
  EXPECT_LE(*order.FetchUntilMs, ClockMs + MaxFetchTime.count() / 1000);
  setIsolated(true);
  EXPECT_FALSE(choose(prompt("s")).Sources[1]);
}

/// Guards against fetches from a store that has restarted unnoticed and to
/// which another entry saves the parts again.
TEST_F(PlacementTest, EndsFetchesInTimeForSavesAfterARestart) {
  PartChanges changes{1, 2, false, ClockMs, {}};
  changes.Changes = {{1, true, "shared@1", "system", 500},
                     {2, true, "shared@1", "s", 2000}};
  Kept.apply("store", changes, {3s, 4s}, Start - 1h);
  for (int64_t age = 0; age < 5000; age += 100) {
    Error reason;
    auto choice =
        Place.choose(prompt("s"), Catalog, {}, ClockMs + age, Start, reason);
    ASSERT_TRUE(choice);
    const AttemptOrder &order = choice->Order;
    EXPECT_EQ(order.Sources[1].has_value(), age <= 2500) << age << " ms";
    EXPECT_FALSE(order.Destinations[1]);
    if (order.FetchUntilMs) {
      EXPECT_LE(*order.FetchUntilMs, ClockMs + 3000);
    }
  }
}

/// Not even when no other server is left: a leaving server would end under the
/// request, and a server that set Retry-After could not serve it.
TEST_F(PlacementTest, SendsNothingToLeavingServersOrBeforeTheirRetryAfter) {
  ForwardRequest call;
  call.Service = "plain";
  Loads.onLeaving(server("p0").ref().key(), Start);
  EXPECT_EQ(choose(call).ServerId, "p1");
  Loads.onRetryAfter(server("p1").ref(), 5s, Start);
  Error reason;
  EXPECT_FALSE(Place.choose(call, Catalog, {}, ClockMs, Start + 1s, reason));
  EXPECT_EQ(reason.Kind, ErrorKind::NoServer);
  EXPECT_EQ(reason.RetryAfter, 4s); // Then p1 is available again.
  EXPECT_EQ(choose(call, {}, Start + 5s).ServerId, "p1");
}

TEST_F(PlacementTest, SetsNoRetryAfterWhenAllServersAreLeaving) {
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
