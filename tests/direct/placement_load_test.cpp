/// Patterns of load that deployments met: what each does to the placement of
/// prompts, and what is decided then.
#include "direct/placement_fixture.h"

#include <array>
#include <map>

namespace daisytack::direct {
namespace {

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
    return BoundedPlace.choose(request, Catalog, {}, ClockMs, Start, reason);
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

/// A quarter of the servers goes dark: they take no connection, so that each
/// request which tries one waits for the limit on connecting, and finds out by
/// itself what the one before it found out. Seen: 1,350 attempts in six seconds
/// to servers of a day with a quarter of them lost.
TEST_F(PlacementTest, TriesServersThatTakeNoConnectionSeldom) {
  for (int i = 6; i < 40; ++i)
    addServer("engines", "e" + std::to_string(i), i % 2 ? "d1" : "d2");
  auto isDark = [](const std::string &id) {
    return std::stoi(id.substr(1)) % 4 == 0;
  };
  std::map<std::string, int> attempts;
  constexpr int PerSecond = 100;
  constexpr int Seconds = 10;
  for (int i = 0; i < PerSecond * Seconds; ++i) {
    TimePoint now = Start + i * Duration(1'000'000 / PerSecond);
    AttemptOrder order = choose(prompt(std::to_string(i % 97)), {}, now);
    if (!isDark(order.ServerId))
      continue;
    ++attempts[order.ServerId];
    Loads.onRejected(order.server(), now);
  }
  // One at once, and then after 0.25, 0.5, 1 and each further 2 seconds.
  for (const auto &[id, n] : attempts)
    EXPECT_LE(n, 3 + Seconds / 2 + 1) << id;
}

/// Long prompts of which one part lies at a fast store and one at a slow one,
/// as where the smallest parts go to the fastest links. One of two slow links
/// turns four times slower: by arithmetic it then carries a third of what is
/// asked of it (75% of its rate before), and each fetch waits for seconds.
class TwoLinks : public PlacementTest {
protected:
  TwoLinks() {
    ServingConfig config = Catalog.Config->config();
    config.Services[1].Store->LinkMbps = 80'000;
    for (const std::string name : {"large1", "large2"}) {
      Service store = config.Services[1];
      store.Name = name;
      store.Store->Address = {name == "large1" ? "10.9.0.2" : "10.9.0.3", 80};
      store.Store->LinkMbps = 32'000;
      config.Services.push_back(store);
    }
    Catalog.Config = std::make_shared<const ConfigIndex>(config);
    Kept.setStores(config.Services);
    for (const std::string name : {"large1", "large2"})
      Kept.apply(name, PartChanges{1, 0, false, {}, {}});
    keep("store", "system", 500);
  }

  void keep(const std::string &store, const std::string &part, uint32_t n) {
    PartChanges changes{1, ++Next[store], false, {}, {}};
    changes.Changes = {{Next[store], true, "shared@1", part, n}};
    Kept.apply(store, changes);
  }

  /// Answers the request late if it waits for the slow link; what was ordered
  /// tells whose delay it was.
  void answer(const ForwardRequest &request) {
    AttemptOrder order = choose(request);
    bool isSlow = order.Sources[1] == Endpoint{"10.9.0.2", 80};
    Links.observe(order.SlowestSource, isSlow ? 1500 : 20, Start);
  }

  std::map<std::string, uint64_t> Next;
};

TEST_F(TwoLinks, PutsTheDelayDownToTheLinkThatIsBusyForLongest) {
  keep("large1", "s", 8600);
  AttemptOrder order = choose(prompt("s"));
  EXPECT_EQ(order.Sources[0], (Endpoint{"10.9.0.1", 80}));
  EXPECT_EQ(order.Sources[1], (Endpoint{"10.9.0.2", 80}));
  EXPECT_EQ(order.SlowestSource, order.Sources[1]);
}

TEST_F(TwoLinks, ReadsInsteadOfWaitingForTheSlowLinkAlone) {
  constexpr int Sessions = 200;
  for (int i = 0; i < Sessions; ++i)
    keep(i % 2 ? "large1" : "large2", "s" + std::to_string(i), 8600);
  for (int i = 0; i < 60; ++i) // Of either store's sessions.
    answer(prompt("s" + std::to_string(i)));
  std::array<int, 2> fetched{};
  for (int i = 0; i < Sessions; ++i)
    fetched[i % 2] +=
        choose(prompt("s" + std::to_string(i))).Sources[1] ? 1 : 0;
  EXPECT_EQ(fetched[0], Sessions / 2);
  EXPECT_LT(fetched[1], Sessions / 10);
  EXPECT_GT(fetched[1], 0); // Some go on, so that its recovery is seen.
}

/// Long prompts of many sessions keep the links of two large stores busy three
/// quarters of the time; two thirds of the transfers crossed domains, and so
/// took twice as long.
TEST_F(TwoLinks, KeepsASessionsContextWhereItsHomeIs) {
  ServingConfig config = Catalog.Config->config();
  config.Services.back().Store->FailureDomain = "d2"; // large2
  Catalog.Config = std::make_shared<const ConfigIndex>(config);
  Kept.setStores(config.Services);
  for (int i = 0; i < 12; ++i) {
    ForwardRequest request = prompt("n" + std::to_string(i));
    request.Head.Parts[1].Tokens = 8600; // Too large for the fast store.
    AttemptOrder order = choose(request);
    Endpoint near{server(order.ServerId).FailureDomain == "d1" ? "10.9.0.2"
                                                               : "10.9.0.3",
                  80};
    EXPECT_EQ(order.Destinations[1], near);
  }
}

/// A fetch that waits no longer than reading would take costs nothing.
TEST_F(TwoLinks, GoesOnFetchingWhileReadingWouldTakeLonger) {
  keep("large1", "s", 60'000);
  ForwardRequest longest = prompt("s");
  longest.Head.PromptTokens = 61'000;
  longest.Head.Parts[1].Tokens = 60'000; // 536 ms to read, of 600 in budget.
  for (int i = 0; i < 40; ++i)
    Links.observe(Endpoint{"10.9.0.2", 80}, 250, Start);
  Links.observe(std::nullopt, 0, Start);
  EXPECT_TRUE(choose(longest).Sources[1]);
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
