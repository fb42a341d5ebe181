#include "direct/placement.h"
#include "direct/rendezvous.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace daisytack::direct {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{Duration(1'000'000'000)};
constexpr int64_t ClockMs = 5'000'000;

/// Six engines in two failure domains, one store, and what an entry in d1
/// believes.
class PlacementTest : public testing::Test {
protected:
  PlacementTest() {
    Service engines;
    engines.Name = "engines";
    engines.Engine = EngineTraits{};
    engines.Engine->HasManagedContext = true;
    engines.Engine->TokenBytes = 1000;
    Service store;
    store.Name = "store";
    store.Store = ContextStoreTraits{
        {"10.9.0.1", 80}, "d1", 100'000, 100'000, 0ms, true, 4};
    Service plain;
    plain.Name = "plain";
    ServingConfig config;
    config.Services = {engines, store, plain};
    Route route;
    route.Shares = {{"engines", 1}};
    route.HasPrompt = true;
    route.TargetLatency = 400ms;
    config.Routes = {route};
    Catalog.Config = std::make_shared<const ConfigIndex>(config);
    Kept.setStores(config.Services);
    Kept.apply("store", PartChanges{1, 0, false, {}, {}});
    for (int i = 0; i < 6; ++i)
      addServer("engines", "e" + std::to_string(i), i < 3 ? "d1" : "d2");
    for (int i = 0; i < 2; ++i)
      addServer("plain", "p" + std::to_string(i), i == 0 ? "d1" : "d2");
  }

  void addServer(const std::string &service, const std::string &id,
                 const std::string &domain) {
    BackendServer server;
    server.Id = id;
    server.Service = service;
    server.Address = {"10.1.0.1", 80};
    server.FailureDomain = domain;
    if (service == "engines")
      server.Weights = {{"model", 1}};
    Catalog.Servers[service].push_back(server);
    Catalog.AllServers.push_back(server);
  }

  BackendServer &server(const std::string &id) {
    for (auto &[service, servers] : Catalog.Servers)
      for (BackendServer &it : servers)
        if (it.Id == id)
          return it;
    throw std::out_of_range(id);
  }

  static ForwardRequest prompt(const std::string &session) {
    ForwardRequest out;
    out.Head.RequestId = "r" + session;
    out.Head.Model = "model";
    out.Head.PromptTokens = 3000;
    out.Head.Parts = {{"system", 500}, {session, 2000}, {"own", 500}};
    out.Service = "engines";
    out.Organisation = "org";
    out.Via.Kind = RouteKind::Stream;
    out.Via.TargetLatency = 800ms;
    out.Arrived = Start;
    out.Deadline = Start + 15s;
    return out;
  }

  AttemptOrder choose(const ForwardRequest &request,
                      const std::vector<std::string> &tried = {},
                      TimePoint now = Start) {
    Error reason;
    auto choice = Place.choose(request, Catalog, tried, ClockMs, now, reason);
    if (!choice)
      return {};
    return choice->Order;
  }

  ServerLoads Loads{{}};
  StoreLinks Links{{}};
  ReadingRate Rates{{}};
  Ejector Ejected{{1, 4, 5s, 300s, 60s, 600s, true}};
  KeptContext Kept{{}};
  direct::Catalog Catalog;
  /// Without a bound on queues, so that each test sees the weight it is about.
  static PlacementSettings unboundedQueues() {
    PlacementSettings out;
    out.QueueShare = 0;
    return out;
  }

  Placement Place{
      unboundedQueues(), "d1", {Loads, Links, Ejected, Rates, Kept}};
  Placement Bounded{{}, "d1", {Loads, Links, Ejected, Rates, Kept}};
};

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
  Catalog.Wanted["model"] = {{2, Start}};
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
    bool out = !Bounded.choose(request, Catalog, {}, ClockMs, Start, reason);
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
  EXPECT_TRUE(Bounded.choose(request, Catalog, {}, ClockMs, Start, reason));
  for (int i = 0; i < 100; ++i)
    Rates.observe("engines", 12'000, 0, 290ms); // 50 tokens a millisecond.
  EXPECT_FALSE(Bounded.choose(request, Catalog, {}, ClockMs, Start, reason));
}

TEST_F(PlacementTest, KnowsWhatCertainlyHasToBeRead) {
  Loads.onPeer("other", {}, 100ms, Start);
  AttemptOrder first = choose(prompt("s"));
  EXPECT_EQ(first.UnreadTokens, 3000);
  // Asked to be saved just now: the server's memory may have the shared parts.
  EXPECT_EQ(choose(prompt("s")).UnreadTokens, 0);
}

/// Room comes free within the target: who comes back in time is served in time.
TEST_F(PlacementTest, TellsRefusedCallersToComeBackWithinTheirTarget) {
  for (const BackendServer &it : Catalog.Servers["engines"])
    Loads.onSent(it.Id, 30'000, Start); // 268 ms, of 240 allowed.
  ForwardRequest request = prompt("s");
  request.Priority = 1;
  Error reason;
  ASSERT_FALSE(Bounded.choose(request, Catalog, {}, ClockMs, Start, reason));
  EXPECT_EQ(reason.RetryAfter, 240ms); // 0.3 of 800 ms.
}

/// A queue that is known to last longer is not worth coming back to before.
TEST_F(PlacementTest, TellsCallersToComeBackLaterWhereTheQueueLasts) {
  for (const BackendServer &it : Catalog.Servers["engines"])
    Loads.onSent(it.Id, 112'000, Start); // A second, of 240 ms allowed.
  ForwardRequest request = prompt("s");
  request.Priority = 1;
  Error reason;
  ASSERT_FALSE(Bounded.choose(request, Catalog, {}, ClockMs, Start, reason));
  EXPECT_EQ(reason.RetryAfter, 760ms);
}

TEST_F(PlacementTest, AsksSpareServersBeforeItRefuses) {
  for (int i = 6; i < 40; ++i)
    addServer("engines", "e" + std::to_string(i), i % 2 ? "d1" : "d2");
  PlacementSettings defaults;
  for (size_t i = 0; i < defaults.SessionCandidates; ++i) {
    ForwardRequest request = prompt("s");
    Error reason;
    auto choice = Bounded.choose(request, Catalog, {}, ClockMs, Start, reason);
    ASSERT_TRUE(choice);
    Loads.onSent(choice->Order.ServerId, 80'000, Start);
  }
  Error reason;
  EXPECT_TRUE(Bounded.choose(prompt("s"), Catalog, {}, ClockMs, Start, reason));
}

/// A quarter of the engines is lost: prompts run longer, fill the memory of the
/// others, push kept context out, and are read again. Nothing waits to be read
/// here, so that the bound on queues does not see it.
class FullMemory : public PlacementTest {
protected:
  FullMemory() {
    ServingConfig config = Catalog.Config->config();
    config.Services[0].Engine->ContextTokens = 20'000;
    Catalog.Config = std::make_shared<const ConfigIndex>(config);
  }

  /// Running prompts of 3,000 tokens that have been read.
  void run(const std::string &server, int n) {
    for (int i = 0; i < n; ++i) {
      Loads.onSent(server, 3000, Start);
      Loads.onFirstByte(server, 3000, Start);
    }
  }

  std::optional<AttemptChoice> ask(const ForwardRequest &request) {
    Error reason;
    return Bounded.choose(request, Catalog, {}, ClockMs, Start, reason);
  }
};

TEST_F(FullMemory, SendsAPromptElsewhere) {
  std::string home = ask(prompt("s"))->Order.ServerId;
  run(home, 4);
  EXPECT_EQ(ask(prompt("s"))->Order.ServerId, home); // 15,000 of 17,000.
  run(home, 1);
  EXPECT_NE(ask(prompt("s"))->Order.ServerId, home);
  for (int i = 0; i < 5; ++i)
    Loads.onEnded(home, 3000, true, Start);
  EXPECT_EQ(ask(prompt("s"))->Order.ServerId, home);
}

TEST_F(FullMemory, RefusesAtOnceWhereNoServerHasRoom) {
  for (const BackendServer &it : Catalog.Servers["engines"])
    run(it.Id, 5);
  EXPECT_FALSE(ask(prompt("s")));
  ForwardRequest brief = prompt("s");
  brief.Head.PromptTokens = 1500;
  EXPECT_TRUE(ask(brief)); // It still fits.
}

TEST_F(FullMemory, TakesAPromptThatFillsAServerWhereNothingRuns) {
  ForwardRequest whole = prompt("s");
  whole.Head.PromptTokens = 19'000;
  EXPECT_TRUE(ask(whole));
  for (const BackendServer &it : Catalog.Servers["engines"])
    run(it.Id, 1);
  EXPECT_FALSE(ask(whole));
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

/// Long prompts that return through any entry find their context in one
/// server's memory; with a home in each failure domain it was in several, and
/// each server remembered fewer sessions.
TEST_F(PlacementTest, LongPromptsOfASessionMeetAtOneHomeFromEveryDomain) {
  Placement elsewhere{{}, "d2", {Loads, Links, Ejected, Rates, Kept}};
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
  Loads.onPeer("other", {{stableHash(home), 5, 50'000, 50'000}}, 100ms, Start);
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
  request.Via.FirstEventPatience = 3200ms;
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
  Catalog.Wanted["model"] = {{2, Start}};
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
  Catalog.Wanted["model"] = {{2, Start}};
  for (auto &it : Catalog.Servers["engines"]) {
    it.Weights = {{"model", it.Id == "e5" ? 2U : 1U}};
    Loads.onSent(it.Id, it.Id == "e5" ? 300'000 : 120'000, Start + 9400ms);
  }
  EXPECT_NE(choose(prompt("s"), {}, Start + 6s).ServerId, "e5");
  EXPECT_EQ(choose(prompt("s"), {}, Start + 9400ms).ServerId, "e5");
}

TEST_F(PlacementTest, CountsTheAgeOfWeightsFromTheFirstNewerWish) {
  Catalog.Wanted["model"] = {{2, Start}, {3, Start + 11s}};
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
  EXPECT_LE(*order.FetchUntilMs, ClockMs + LongestFetch.count() / 1000);
  ForwardRequest isolated = prompt("s");
  isolated.IsIsolated = true;
  EXPECT_FALSE(choose(isolated).Sources[1]);
}

TEST_F(PlacementTest, ShedsFetchesFromACongestedLinkButNotAll) {
  PartChanges changes{1, 1, false, {}, {}};
  changes.Changes = {{1, true, "shared@1", "system", 500}};
  Kept.apply("store", changes);
  for (int i = 0; i < 60; ++i) {
    Links.observe(Endpoint{"10.9.0.1", 80}, 2000, Start);
    Links.observe(std::nullopt, 20, Start);
  }
  int fetched = 0;
  constexpr int N = 300;
  for (int i = 0; i < N; ++i)
    fetched += choose(prompt(std::to_string(i))).Sources[0] ? 1 : 0;
  EXPECT_GT(fetched, N / 30);
  EXPECT_LT(fetched, N / 5);
}

} // namespace
} // namespace daisytack::direct
