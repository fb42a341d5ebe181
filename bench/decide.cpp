/// Time and allocations of each decision in the path of a request, for several
/// numbers of backend servers, organisations and waiting requests. Inputs are
/// deterministic; times depend on the machine.
#include "base/digest.h"
#include "decide/acceptance.h"
#include "decide/ejection.h"
#include "decide/limits.h"
#include "decide/retry_budget.h"
#include "decide/routing.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <new>
#include <string>

namespace {

uint64_t Allocations = 0;

} // namespace

void *operator new(size_t n) {
  ++Allocations;
  if (void *p = std::malloc(n))
    return p;
  throw std::bad_alloc();
}
void operator delete(void *p) noexcept { std::free(p); }
void operator delete(void *p, size_t /*n*/) noexcept { std::free(p); }

namespace daisytack {

namespace {

constexpr uint64_t WarmupCalls = 2'000;
constexpr uint64_t Rounds = 5;
constexpr TimePoint StartTime{Duration{1'000'000'000}};

/// Prints the time per call, as the minimum of several rounds to exclude
/// disturbances by other processes, and the allocations per call over all
/// rounds.
void measure(const char *name, const char *size, uint64_t calls,
             const std::function<void(uint64_t)> &run) {
  using Clock = std::chrono::steady_clock;
  for (uint64_t i = 0; i < std::min(WarmupCalls, calls); ++i)
    run(i);
  double best = 1e18;
  uint64_t before = Allocations;
  for (uint64_t round = 0; round < Rounds; ++round) {
    auto from = Clock::now();
    for (uint64_t i = 0; i < calls; ++i)
      run(round * calls + i);
    std::chrono::duration<double, std::nano> took = Clock::now() - from;
    best = std::min(best, took.count() / static_cast<double>(calls));
  }
  double allocations = static_cast<double>(Allocations - before) /
                       static_cast<double>(calls * Rounds);
  std::printf("| %-28s | %-22s | %10.0f | %8.2f |\n", name, size, best,
              allocations);
}

/// Returns a snapshot with one pool of servers spread over 4 regions and 14
/// failure domains.
std::shared_ptr<Snapshot> makeSnapshot(uint32_t servers) {
  constexpr uint32_t Regions = 4;
  constexpr uint32_t Domains = 14;
  auto out = std::make_shared<Snapshot>();
  Pool pool;
  pool.Name = "model";
  for (uint32_t i = 0; i < servers; ++i) {
    Server server;
    server.Name = "server-" + std::to_string(100'000 + i);
    server.Region = "region" + std::to_string(i % Domains % Regions);
    server.FailureDomain = "domain" + std::to_string(i % Domains);
    server.NameHash = hashName(server.Name);
    out->Servers.push_back(std::move(server));
    pool.Servers.push_back({i});
  }
  out->Pools.push_back(std::move(pool));
  return out;
}

void measureRouting(uint32_t servers) {
  std::string size = std::to_string(servers) + " servers";
  auto snapshot = makeSnapshot(servers);
  RoutingTable table(snapshot);
  LoadView loads({});
  wire::LoadReport report;
  report.PrefillTokensPerSecond = 8'000;
  for (const Server &server : snapshot->Servers) {
    report.WaitMicros = server.NameHash % 1'000'000;
    loads.observe(server.NameHash, report, StartTime);
  }
  std::vector<PieceKey> pieces(2);
  uint64_t sink = 0;
  auto keyOf = [&](uint64_t i) {
    for (size_t b = 0; b < sizeof i; ++b)
      pieces[0].Bytes[b] = static_cast<uint8_t>(i >> (8 * b));
    return makeRouteKey(7, "model", pieces, i);
  };
  measure("route: key and candidates", size.c_str(), 20'000, [&](uint64_t i) {
    sink += table.candidates("model", false, keyOf(i), "region0").Count;
  });
  measure("route: whole decision", size.c_str(), 20'000, [&](uint64_t i) {
    RouteKey key = keyOf(i);
    CandidateList list = table.candidates("model", false, key, "region0");
    sink += rankCandidates(list, *snapshot, loads, {}, 9'000, key, "region0",
                           StartTime)
                .Count;
  });
  measure("route: build the table", size.c_str(), 20, [&](uint64_t) {
    sink += RoutingTable(snapshot).snapshot().Servers.size();
  });
  auto fewer = std::make_shared<Snapshot>(*snapshot);
  fewer->Pools[0].Servers.pop_back();
  RoutingTable other(fewer);
  measure("route: rebuild, one changed", size.c_str(), 20, [&](uint64_t) {
    sink += RoutingTable(snapshot, other).snapshot().Servers.size();
  });
  measure("route: rebuild, none changed", size.c_str(), 20, [&](uint64_t) {
    sink += RoutingTable(snapshot, table).snapshot().Servers.size();
  });
  if (sink == 0)
    std::abort();
}

RunRequest makeRun(uint64_t i, uint64_t organisations) {
  RunRequest out;
  out.Id = {1, i};
  out.AttemptNumber = 1;
  out.Organisation = mix64(i % organisations);
  out.Priority = static_cast<uint8_t>(4 + i % 3);
  out.Deadline = StartTime + Duration(60'000'000 + mix64(i) % 60'000'000);
  out.ContextReady = StartTime;
  out.Prefill = Duration(100'000);
  out.Decode = Duration(500'000);
  return out;
}

void measureQueue(uint64_t waiting) {
  std::string size = std::to_string(waiting) + " waiting";
  RunQueueSettings settings;
  RunQueue queue(settings);
  uint64_t n = 0;
  for (; n < settings.Slots; ++n) {
    queue.push(makeRun(n, 10), StartTime);
    queue.start(StartTime);
  }
  for (uint64_t i = 0; i < waiting; ++i)
    queue.push(makeRun(n++, 10), StartTime);
  uint64_t sink = 0;
  AcceptanceSettings acceptance;
  measure("accept: decision", size.c_str(), 5'000, [&](uint64_t i) {
    sink +=
        decideAcceptance(queue, settings, acceptance, makeRun(i, 10), StartTime)
            .accepted();
  });
  measure("queue: push and cancel", size.c_str(), 5'000, [&](uint64_t i) {
    RunRequest run = makeRun(1'000'000 + i, 10);
    queue.push(run, StartTime);
    sink += queue.cancel(run.Id, run.AttemptNumber);
  });
  uint64_t oldest = 0;
  measure("queue: finish, start, push", size.c_str(), 5'000, [&](uint64_t) {
    queue.finish({1, oldest}, 1);
    if (auto run = queue.start(StartTime))
      oldest = run->Id.Lo;
    queue.push(makeRun(n++, 10), StartTime);
    sink += queue.waiting();
  });
  if (sink == 0)
    std::abort();
}

void measureLimits(uint64_t organisations) {
  std::string size = std::to_string(organisations) + " organisations";
  constexpr size_t Entries = 1'300;
  std::vector<Organisation> all(organisations);
  for (uint64_t i = 0; i < organisations; ++i) {
    all[i].Name = "organisation-" + std::to_string(i);
    all[i].RequestsPerSecond = 1e6;
  }
  OrganisationLimits limits(1, {});
  QuotaOwner owner({});
  RetryBudget budget({});
  uint64_t sink = 0;
  measure("limit: admit and finish", size.c_str(), 20'000, [&](uint64_t i) {
    const Organisation &organisation = all[mix64(i) % organisations];
    TimePoint now = StartTime + Duration(static_cast<int64_t>(i) * 7'000);
    LimitDecision out = limits.admit(organisation, Entries, now);
    sink += out.Verdict == LimitVerdict::Admitted;
    limits.releaseSlot(hashName(organisation.Name));
  });
  measure("limit: owner's grant", size.c_str(), 20'000, [&](uint64_t i) {
    const Organisation &organisation = all[mix64(i) % organisations];
    TimePoint now = StartTime + Duration(static_cast<int64_t>(i) * 7'000);
    QuotaRequest request;
    request.Organisation = hashName(organisation.Name);
    request.Entry = mix64(i % Entries);
    request.Requests = 1;
    sink += owner.grant(organisation, request, now).Requests;
  });
  measure("retry: budget", size.c_str(), 20'000, [&](uint64_t) {
    budget.onRequest();
    sink += budget.tryRetry();
  });
  if (sink == 0)
    std::abort();
}

void measureAll() {
  std::printf("| decision                     | size                   | "
              "        ns | allocs   |\n|---|---|---|---|\n");
  for (uint32_t servers : {10U, 100U, 1'250U, 10'000U})
    measureRouting(servers);
  for (uint64_t waiting : {0ULL, 16ULL, 64ULL, 256ULL})
    measureQueue(waiting);
  for (uint64_t organisations : {10ULL, 1'000ULL, 7'900ULL})
    measureLimits(organisations);
}

} // namespace

} // namespace daisytack

int main() {
  daisytack::measureAll();
  return 0;
}
