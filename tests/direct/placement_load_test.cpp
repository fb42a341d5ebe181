/// Load patterns that occur in production, and how prompts are placed under
/// them.
#include "direct/placement_fixture.h"

#include <array>
#include <map>

namespace daisytack::direct {
namespace {

/// A quarter of the engines is lost: prompts run longer, fill the memory of the
/// other engines, evict kept context, and are prefilled again. No prompt is
/// queued for prefill, so the queue limit does not apply.
class FullMemory : public PlacementTest {
protected:
  FullMemory() {
    ServingConfig config = Catalog.Config->config();
    config.Services[0].Engine->ContextTokens = 20'000;
    Catalog.Config = std::make_shared<const ConfigIndex>(config);
  }

  /// Adds running requests whose prompts of 3,000 tokens have been prefilled.
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

TEST_F(FullMemory, SendsAPromptToAnotherServer) {
  std::string home = ask(prompt("s"))->Order.ServerId;
  run(home, 4);
  EXPECT_EQ(ask(prompt("s"))->Order.ServerId, home); // 15,000 of 17,000 tokens.
  run(home, 1);
  EXPECT_NE(ask(prompt("s"))->Order.ServerId, home);
  for (int i = 0; i < 5; ++i)
    Loads.onEnded(home, 3000, true, Start);
  EXPECT_EQ(ask(prompt("s"))->Order.ServerId, home);
}

TEST_F(FullMemory, RefusesAPromptWhenNoServerHasMemory) {
  for (const BackendServer &it : Catalog.Servers["engines"])
    run(it.Id, 5);
  EXPECT_FALSE(ask(prompt("s")));
  ForwardRequest shorter = prompt("s");
  shorter.Head.PromptTokens = 1500;
  EXPECT_TRUE(ask(shorter)); // It still fits.
}

TEST_F(FullMemory, AcceptsAPromptThatFillsAnIdleServer) {
  ForwardRequest largest = prompt("s");
  largest.Head.PromptTokens = 19'000;
  EXPECT_TRUE(ask(largest));
  for (const BackendServer &it : Catalog.Servers["engines"])
    run(it.Id, 1);
  EXPECT_FALSE(ask(largest));
}

/// A quarter of the servers accept no connections, so each request that tries
/// one waits for the connection timeout. Guards against every request finding
/// this out by itself: that caused 1,350 attempts at such servers within six
/// seconds.
TEST_F(PlacementTest, SeldomTriesServersThatRefuseConnections) {
  for (int i = 6; i < 40; ++i)
    addServer("engines", "e" + std::to_string(i), i % 2 ? "d1" : "d2");
  auto isUnreachable = [](const std::string &id) {
    return std::stoi(id.substr(1)) % 4 == 0;
  };
  std::map<std::string, int> attempts;
  constexpr int PerSecond = 100;
  constexpr int Seconds = 10;
  for (int i = 0; i < PerSecond * Seconds; ++i) {
    TimePoint now = Start + i * Duration(1'000'000 / PerSecond);
    AttemptOrder order = choose(prompt(std::to_string(i % 97)), {}, now);
    if (!isUnreachable(order.ServerId))
      continue;
    ++attempts[order.ServerId];
    Loads.onRejected(order.server(), now);
  }
  // One attempt at once, then after 0.25, 0.5 and 1 s, and every 2 s after
  // that.
  for (const auto &[id, n] : attempts)
    EXPECT_LE(n, 3 + Seconds / 2 + 1) << id;
}

/// Long prompts with one part in a store with a fast link and one in a store
/// with a slow link, as the smallest parts go to the fastest links. One of two
/// slow links then drops to a quarter of its rate. With a load of 75% before,
/// it can carry only a third of the load, and each fetch waits for seconds.
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
      Kept.apply(name, PartChanges{1, 0, false, ClockMs, {}}, {}, Start - 1h);
    addKeptPart("store", "system", 500);
  }

  void addKeptPart(const std::string &store, const std::string &part,
                   uint32_t n) {
    PartChanges changes{1, ++NextNumber[store], false, {}, {}};
    changes.Changes = {{NextNumber[store], true, "shared@1", part, n}};
    Kept.apply(store, changes, {}, Start - 1h);
  }

  /// Records the delay of the request's first byte, which is late if the
  /// request fetches over the slow link.
  void observeDelay(const ForwardRequest &request) {
    AttemptOrder order = choose(request);
    bool isSlow = order.Sources[1] == Endpoint{"10.9.0.2", 80};
    Links.observe(order.SlowestSource, isSlow ? 1500 : 20, Start);
  }

  std::map<std::string, uint64_t> NextNumber;
};

TEST_F(TwoLinks, AttributesTheDelayToTheLinkThatIsBusyLongest) {
  addKeptPart("large1", "s", 8600);
  AttemptOrder order = choose(prompt("s"));
  EXPECT_EQ(order.Sources[0], (Endpoint{"10.9.0.1", 80}));
  EXPECT_EQ(order.Sources[1], (Endpoint{"10.9.0.2", 80}));
  EXPECT_EQ(order.SlowestSource, order.Sources[1]);
}

TEST_F(TwoLinks, PrefillsInsteadOfFetchingOverTheSlowLinkOnly) {
  constexpr int Sessions = 200;
  for (int i = 0; i < Sessions; ++i)
    addKeptPart(i % 2 ? "large1" : "large2", "s" + std::to_string(i), 8600);
  for (int i = 0; i < 60; ++i) // Sessions of both stores.
    observeDelay(prompt("s" + std::to_string(i)));
  std::array<int, 2> fetched{};
  for (int i = 0; i < Sessions; ++i)
    fetched[i % 2] +=
        choose(prompt("s" + std::to_string(i))).Sources[1] ? 1 : 0;
  EXPECT_EQ(fetched[0], Sessions / 2);
  EXPECT_LT(fetched[1], Sessions / 10);
  EXPECT_GT(fetched[1], 0); // Some probe for recovery.
}

/// Long prompts of many sessions keep the links of two large stores busy three
/// quarters of the time. Guards against transfers between domains, which take
/// twice as long, and were two thirds of all transfers.
TEST_F(TwoLinks, SavesASessionsContextInTheDomainOfItsHomeServer) {
  ServingConfig config = Catalog.Config->config();
  config.Services.back().Store->FailureDomain = "d2"; // large2
  Catalog.Config = std::make_shared<const ConfigIndex>(config);
  Kept.setStores(config.Services);
  for (int i = 0; i < 12; ++i) {
    ForwardRequest request = prompt("n" + std::to_string(i));
    request.Head.Parts[1].Tokens = 8600; // Too large for the fast store.
    AttemptOrder order = choose(request);
    Endpoint sameDomain{
        server(order.ServerId).FailureDomain == "d1" ? "10.9.0.2" : "10.9.0.3",
        80};
    EXPECT_EQ(order.Destinations[1], sameDomain);
  }
}

/// A fetch that takes no longer than prefill has no cost.
TEST_F(TwoLinks, KeepsFetchingWhilePrefillWouldTakeLonger) {
  addKeptPart("large1", "s", 60'000);
  ForwardRequest longest = prompt("s");
  longest.Head.PromptTokens = 61'000;
  // 536 ms of prefill; with its fetches it may take 600 ms.
  longest.Head.Parts[1].Tokens = 60'000;
  for (int i = 0; i < 40; ++i)
    Links.observe(Endpoint{"10.9.0.2", 80}, 250, Start);
  Links.observe(std::nullopt, 0, Start);
  EXPECT_TRUE(choose(longest).Sources[1]);
}

TEST_F(PlacementTest, ShedsFetchesFromACongestedLinkButNotAll) {
  PartChanges changes{1, 1, false, {}, {}};
  changes.Changes = {{1, true, "shared@1", "system", 500}};
  Kept.apply("store", changes, {}, Start - 1h);
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
