#include "direct/placement.h"

#include "direct/rendezvous.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace daisytack::direct {

namespace {

constexpr uint32_t LowestPriority = 9; ///< 0 is the most urgent.

/// Key that determines the session's home server: the id of the longest prefix
/// that is shared with other requests, which ends with the last part but one.
/// Without shared parts, the request's only part or the request itself.
std::string_view affinityKey(const CallerHead &head) {
  if (head.Parts.size() >= 2)
    return head.Parts[head.Parts.size() - 2].Id;
  return head.Parts.empty() ? std::string_view(head.RequestId)
                            : std::string_view(head.Parts.front().Id);
}

/// Servers in rendezvous order for a key. Kept in a heap rather than sorted,
/// since only a few of many servers are needed.
class RankedServers {
public:
  RankedServers(std::string_view key, const Candidates &servers) {
    uint64_t hash = stableHash(key);
    Heap.reserve(servers.size());
    for (const Candidate &it : servers)
      Heap.emplace_back(rendezvousRank(hash, it.Server->Id), &it);
    std::make_heap(Heap.begin(), Heap.end());
  }

  /// The next server; null when none is left.
  const Candidate *next() {
    if (Heap.empty())
      return nullptr;
    std::pop_heap(Heap.begin(), Heap.end());
    const Candidate *out = Heap.back().second;
    Heap.pop_back();
    return out;
  }

private:
  /// Max-heap of the remaining servers by rank.
  std::vector<std::pair<uint64_t, const Candidate *>> Heap;
};

} // namespace

Placement::Placement(PlacementSettings settings, Locality locality,
                     PlacementInputs inputs)
    : Settings(settings), EntryLocality(std::move(locality)),
      Rates(inputs.Rates),
      Cost(settings, EntryLocality.FailureDomain, inputs.Rates, inputs.Kept),
      Eligible(
          settings, EntryLocality,
          {inputs.Loads, inputs.Ejected, inputs.ColdServers, inputs.Limits},
          Cost),
      AdmissionControl(settings, Cost),
      Planner(settings, EntryLocality, inputs.Links, inputs.Kept, Cost) {}

Candidates Placement::sessionCandidates(const ForwardRequest &request,
                                        const Candidates &servers) const {
  Candidates out;
  size_t currentCount = 0;
  RankedServers ranked(affinityKey(request.Head), servers);
  while (const Candidate *it = ranked.next()) {
    bool isCurrent = it->OutdatedFor == Duration::zero();
    bool isFull = out.size() >= Settings.SessionCandidates;
    if (isFull && currentCount >= Settings.CurrentCandidates)
      break;
    if (isFull && !isCurrent)
      continue;
    currentCount += isCurrent ? 1 : 0;
    out.push_back(*it);
  }
  return out;
}

Candidates Placement::spareCandidates(const ForwardRequest &request,
                                      const Candidates &servers) const {
  Candidates out;
  RankedServers ranked(request.Head.RequestId, servers);
  while (out.size() < Settings.SpareCandidates) {
    const Candidate *it = ranked.next();
    if (!it)
      break;
    out.push_back(*it);
  }
  return out;
}

const Candidate &Placement::cheapest(const ForwardRequest &request,
                                     const Candidates &servers,
                                     const BackendServer *home,
                                     ReusableContext &context) const {
  size_t bestIndex = 0;
  double leastCost = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < servers.size(); ++i) {
    double cost = Cost.costMs(request, servers[i], home, context);
    if (cost >= leastCost)
      continue;
    bestIndex = i;
    leastCost = cost;
  }
  return servers[bestIndex];
}

std::optional<Placement::Choice>
Placement::selectServer(const ForwardRequest &request, const Catalog &catalog,
                        const Candidates &servers, double limitFactor,
                        TimePoint now, Refusal &refusal) const {
  Choice out;
  ReusableContext context{catalog.Config->contextGroup(request.Organisation),
                          {}};
  if (request.Head.Parts.empty()) {
    out.Server = cheapest(request, servers, nullptr, context);
  } else {
    Candidates candidates = sessionCandidates(request, servers);
    out.Home = candidates.front().Server;
    out.Server = cheapest(request, candidates, out.Home, context);
  }
  auto busyState = [&] {
    return AdmissionControl.busyState(request, catalog, out.Server.Load,
                                      limitFactor, now);
  };
  admission::BusyState busy = busyState();
  if (busy.isBusy()) {
    out.Server =
        cheapest(request, spareCandidates(request, servers), out.Home, context);
    busy = busyState();
  }
  if (!busy.isBusy())
    return out;
  refusal.Busy = busy;
  refusal.Reason = {ErrorKind::Overloaded,
                    "every backend server that may be asked is too busy",
                    AdmissionControl.retryAfter(request, catalog,
                                                out.Server.Load, limitFactor)};
  return std::nullopt;
}

bool Placement::canChoose(const ForwardRequest &request, const Catalog &catalog,
                          const ServerCriteria &criteria, TimePoint now) const {
  Refusal unused;
  Candidates servers =
      Eligible.servers(request, catalog, criteria, now, unused.Reason);
  return !servers.empty() && selectServer(request, catalog, servers,
                                          criteria.LimitFactor, now, unused);
}

std::optional<TimePoint>
Placement::beginLimit(const ForwardRequest &request, const Catalog &catalog,
                      const AttemptOrder &order) const {
  if (order.WeightVersion == 0)
    return std::nullopt;
  std::optional<TimePoint> since =
      catalog.outdatedSince(request.Head.Model, order.WeightVersion);
  return since ? std::optional(*since + Settings.OldWeightsLimit)
               : std::nullopt;
}

std::optional<AttemptChoice>
Placement::choose(const ForwardRequest &request, const Catalog &catalog,
                  const ServerCriteria &criteria,
                  std::optional<int64_t> serversClockMs, TimePoint now,
                  Error &reason) {
  Refusal refusal;
  std::optional<AttemptChoice> out =
      choose(request, catalog, criteria, serversClockMs, now, refusal);
  if (!out)
    reason = std::move(refusal.Reason);
  return out;
}

std::optional<AttemptChoice>
Placement::choose(const ForwardRequest &request, const Catalog &catalog,
                  const ServerCriteria &criteria,
                  std::optional<int64_t> serversClockMs, TimePoint now,
                  Refusal &refusal) {
  // Another thread may use up this entry's quota for the chosen server in the
  // meantime. Then the remaining servers are considered again.
  for (;;) {
    Candidates servers =
        Eligible.servers(request, catalog, criteria, now, refusal.Reason);
    if (servers.empty())
      return std::nullopt;
    std::optional<Choice> choice = selectServer(
        request, catalog, servers, criteria.LimitFactor, now, refusal);
    if (!choice)
      return std::nullopt;
    if (!Eligible.tryAcquire(choice->Server, catalog, now))
      continue;
    return AttemptChoice{
        orderFor(request, catalog, *choice, servers, serversClockMs, now)};
  }
}

AttemptOrder Placement::orderFor(const ForwardRequest &request,
                                 const Catalog &catalog, const Choice &choice,
                                 const Candidates &eligible,
                                 std::optional<int64_t> serversClockMs,
                                 TimePoint now) {
  const Candidate &candidate = choice.Server;
  const BackendServer &server = *candidate.Server;
  AttemptOrder out;
  out.ServerId = server.Id;
  out.StartedMs = server.StartedMs;
  out.SoftwareVersion = server.SoftwareVersion;
  out.Address = server.Address;
  out.Organisation = request.Organisation;
  out.OutdatedFor = candidate.OutdatedFor;
  out.EligibleServers = static_cast<uint32_t>(eligible.size());
  out.CurrentServers = static_cast<uint32_t>(
      std::count_if(eligible.begin(), eligible.end(), [](const Candidate &it) {
        return it.OutdatedFor == Duration::zero();
      }));
  const Service *service = catalog.Config->findService(request.Service);
  const CallerHead &head = request.Head;
  if (!service || !service->Engine || head.Model.empty())
    return out;
  out.Priority = std::min(request.Priority, LowestPriority);
  out.WeightVersion = server.versionOf(head.Model);
  // Taken from the configuration in force now, which may be newer than the one
  // that the request arrived under.
  out.CacheScope = cacheScope(
      catalog.Config->contextGroup(request.Organisation), out.WeightVersion);
  out.QueuedTokens = head.PromptTokens;
  out.TokensAhead =
      admission::tokensAhead(Settings.Queue, candidate.Load, request.Priority);
  out.RunningTokens = candidate.Load.HeldTokens;
  out.PrefillTokensPerMs = Rates.tokensPerMs(request.Service);
  if (service->Engine->HasManagedContext && head.Parts.size() >= 2)
    Planner.plan(request, candidate, *choice.Home, serversClockMs, now, out);
  out.PredictedFirstTokenMs =
      Cost.firstTokenMs(request, candidate.Load, out.QueuedTokens);
  return out;
}

} // namespace daisytack::direct
