/// Time to choose a backend server, for several numbers of servers and of other
/// entries that have reported their loads. Inputs are deterministic; times
/// depend on the machine.
#include "direct/placement.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>

namespace daisytack::direct {

namespace {

using namespace std::chrono_literals;

constexpr int Rounds = 5;
constexpr int CallsPerRound = 2'000;
constexpr int Sessions = 500;
const TimePoint Start{Duration(1'000'000'000)};

ServingConfig makeConfig() {
  Service engines;
  engines.Name = "engines";
  engines.Engine = EngineTraits{};
  engines.Engine->HasManagedContext = true;
  Service plain;
  plain.Name = "plain";
  Route route;
  route.Shares = {{"engines", 1}};
  route.HasPrompt = true;
  route.TargetLatency = 400ms;
  ServingConfig out;
  out.Services = {engines, plain};
  out.Routes = {route};
  return out;
}

Catalog makeCatalog(int servers) {
  Catalog out;
  out.Config = std::make_shared<const ConfigIndex>(makeConfig());
  for (int i = 0; i < servers; ++i) {
    BackendServer server;
    server.Id = "i-" + std::to_string(100'000 + i);
    server.Service = i % 16 == 0 ? "plain" : "engines";
    server.Address = {"10.1.0.1", 80};
    server.FailureDomain = "d" + std::to_string(i % 3);
    if (server.Service == "engines")
      server.Weights = {{"model", 1}};
    out.Servers[server.Service].push_back(server);
    out.AllServers.push_back(server);
  }
  return out;
}

ForwardRequest makeRequest(int number, bool hasPrompt) {
  ForwardRequest out;
  out.Head.RequestId = "r" + std::to_string(number);
  out.Service = hasPrompt ? "engines" : "plain";
  out.MatchedRoute.Kind = RouteKind::Stream;
  out.MatchedRoute.TargetLatency = 800ms;
  out.Arrived = Start;
  out.Deadline = Start + 15s;
  if (!hasPrompt)
    return out;
  out.Head.Model = "model";
  out.Head.PromptTokens = 12'000;
  out.Head.Parts = {{"system", 512},
                    {"s" + std::to_string(number % Sessions), 8610},
                    {"own" + std::to_string(number), 2878}};
  return out;
}

struct Fixture {
  explicit Fixture(int servers) : CurrentCatalog(makeCatalog(servers)) {}

  balancing::ServerLoads Loads{{}};
  StoreLinks Links{{}};
  balancing::PrefillRate Rates{{}};
  Ejector ServerEjector{{1, 4, 5s, 300s, 60s, 600s, true}};
  KeptContext StoredContext{{}};
  Catalog CurrentCatalog;
  balancing::SlowStart ColdServers{{}, {"10.0.0.1", 7000}, TimePoint()};
  balancing::RequestLimits Limits{{}, {"10.0.0.1", 7000}, TimePoint()};
  Placement Placer{
      {},
      {"d0"},
      {Loads, Links, ServerEjector, Rates, StoredContext, ColdServers, Limits}};
};

void measure(int servers, int entries, bool hasPrompt) {
  Fixture fixture(servers);
  for (int i = 0; i < entries; ++i) {
    std::vector<balancing::LoadShare> shares;
    for (int n = 0; n < 40; ++n) {
      size_t at = static_cast<size_t>(i * 40 + n) %
                  fixture.CurrentCatalog.AllServers.size();
      shares.push_back(
          {fixture.CurrentCatalog.AllServers[at].ref().key(), 1, 100, 100});
    }
    fixture.Loads.onPeerReport("e" + std::to_string(i), shares, 10s, Start);
  }
  std::vector<ForwardRequest> requests;
  for (int i = 0; i < CallsPerRound; ++i)
    requests.push_back(makeRequest(i, hasPrompt));
  double best = 1e18;
  for (int round = 0; round < Rounds; ++round) {
    using Clock = std::chrono::steady_clock;
    auto from = Clock::now();
    Error reason;
    int calls = servers > 1000 ? CallsPerRound / 20 : CallsPerRound;
    for (int i = 0; i < calls; ++i)
      fixture.Placer.choose(requests[static_cast<size_t>(i)],
                            fixture.CurrentCatalog, {}, 1000, Start, reason);
    std::chrono::duration<double, std::micro> took = Clock::now() - from;
    best = std::min(best, took.count() / calls);
  }
  std::printf("| %8d | %8d | %-6s | %10.1f |\n", servers, entries,
              hasPrompt ? "prompt" : "call", best);
}

} // namespace

} // namespace daisytack::direct

int main() {
  std::puts("| servers  | entries  | of     | us a choice |");
  std::puts("|---:|---:|---|---:|");
  for (bool hasPrompt : {true, false}) {
    daisytack::direct::measure(50, 26, hasPrompt);
    daisytack::direct::measure(850, 297, hasPrompt);
    daisytack::direct::measure(10'000, 1300, hasPrompt);
  }
  return 0;
}
