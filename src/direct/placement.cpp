#include "direct/placement.h"

#include "direct/rendezvous.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace daisytack::direct {

namespace {

constexpr uint32_t LeastUrgent = 9;

/// The part that prompts of one session or subject have in common: all but the
/// last belong to more than one request.
std::string_view homeKey(const CallerHead &head) {
  if (head.Parts.size() >= 2)
    return head.Parts[head.Parts.size() - 2].Id;
  return head.Parts.empty() ? std::string_view(head.RequestId)
                            : std::string_view(head.Parts.front().Id);
}

/// Servers by rendezvous for a key, the first one first. Few of many are
/// wanted, so that they are not sorted.
class RankedServers {
public:
  RankedServers(std::string_view key, const Candidates &servers) {
    uint64_t hash = stableHash(key);
    Rest.reserve(servers.size());
    for (const Candidate &it : servers)
      Rest.emplace_back(rendezvousRank(hash, it.Server->Id), &it);
    std::make_heap(Rest.begin(), Rest.end());
  }

  /// Null when there is none left.
  const Candidate *next() {
    if (Rest.empty())
      return nullptr;
    std::pop_heap(Rest.begin(), Rest.end());
    const Candidate *out = Rest.back().second;
    Rest.pop_back();
    return out;
  }

private:
  std::vector<std::pair<uint64_t, const Candidate *>> Rest; ///< A heap.
};

} // namespace

Placement::Placement(PlacementSettings settings, Locality where,
                     PlacementInputs view)
    : Settings(settings), Where(std::move(where)), Rates(view.Rates),
      Cost(settings, Where.FailureDomain, view.Rates, view.Kept),
      Eligible(settings, Where,
               {view.Loads, view.Ejected, view.ColdServers, view.Limits}, Cost),
      Admit(settings, Cost),
      Contexts(settings, Where, view.Links, view.Kept, Cost) {}

Candidates Placement::ofSession(const ForwardRequest &request,
                                const Candidates &servers) const {
  Candidates out;
  size_t current = 0;
  RankedServers ranked(homeKey(request.Head), servers);
  while (const Candidate *it = ranked.next()) {
    bool isCurrent = it->OutdatedFor == Duration::zero();
    bool hasAll = out.size() >= Settings.SessionCandidates;
    if (hasAll && current >= Settings.CurrentCandidates)
      break;
    if (hasAll && !isCurrent)
      continue;
    current += isCurrent ? 1 : 0;
    out.push_back(*it);
  }
  return out;
}

Candidates Placement::spares(const ForwardRequest &request,
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
                                     const BackendServer *home) const {
  PlacementCost::UnsavedTokens unsaved;
  size_t best = 0;
  double least = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < servers.size(); ++i) {
    double cost = Cost.costMs(request, servers[i], home, unsaved);
    if (cost >= least)
      continue;
    best = i;
    least = cost;
  }
  return servers[best];
}

std::optional<Placement::Choice>
Placement::best(const ForwardRequest &request, const Catalog &catalog,
                const Candidates &servers, TimePoint now, Error &reason) const {
  Choice out;
  if (request.Head.Parts.empty()) {
    out.Server = cheapest(request, servers, nullptr);
  } else {
    Candidates few = ofSession(request, servers);
    out.Home = few.front().Server;
    out.Server = cheapest(request, few, out.Home);
  }
  if (Admit.isTooBusy(request, catalog, out.Server.Load, now))
    out.Server = cheapest(request, spares(request, servers), out.Home);
  if (!Admit.isTooBusy(request, catalog, out.Server.Load, now))
    return out;
  reason = {ErrorKind::Overloaded,
            "every backend server that may be asked is too busy",
            Admit.retryAfter(request, catalog, out.Server.Load)};
  return std::nullopt;
}

bool Placement::canChoose(const ForwardRequest &request, const Catalog &catalog,
                          const std::vector<std::string> &tried,
                          TimePoint now) const {
  Error unused;
  Candidates servers = Eligible.servers(request, catalog, tried, now, unused);
  return !servers.empty() && best(request, catalog, servers, now, unused);
}

std::optional<AttemptChoice>
Placement::choose(const ForwardRequest &request, const Catalog &catalog,
                  const std::vector<std::string> &tried,
                  std::optional<int64_t> serversClockMs, TimePoint now,
                  Error &reason) {
  // Another thread may take the last request of a server's share meanwhile;
  // then the others are looked at anew.
  for (;;) {
    Candidates servers = Eligible.servers(request, catalog, tried, now, reason);
    if (servers.empty())
      return std::nullopt;
    std::optional<Choice> choice = best(request, catalog, servers, now, reason);
    if (!choice)
      return std::nullopt;
    if (!Eligible.tryAcquire(choice->Server, catalog, now))
      continue;
    return AttemptChoice{orderFor(request, catalog, choice->Server,
                                  choice->Home, serversClockMs, now)};
  }
}

AttemptOrder
Placement::orderFor(const ForwardRequest &request, const Catalog &catalog,
                    const Candidate &candidate, const BackendServer *home,
                    std::optional<int64_t> serversClockMs, TimePoint now) {
  const BackendServer &server = *candidate.Server;
  AttemptOrder out;
  out.ServerId = server.Id;
  out.StartedMs = server.StartedMs;
  out.Address = server.Address;
  out.Organisation = request.Organisation;
  const Service *service = catalog.Config->findService(request.Service);
  const CallerHead &head = request.Head;
  if (!service || !service->Engine || head.Model.empty())
    return out;
  out.Priority = std::min(request.Priority, LeastUrgent);
  out.WeightVersion = server.versionOf(head.Model);
  out.CacheScope =
      cacheScope(request.Organisation, request.IsIsolated, out.WeightVersion);
  out.QueuedTokens = head.PromptTokens;
  out.TokensAhead = candidate.Load.WaitingTokens;
  out.RunningTokens = candidate.Load.HeldTokens;
  out.PrefillTokensPerMs = Rates.tokensPerMs(request.Service);
  if (service->Engine->HasManagedContext && head.Parts.size() >= 2)
    Contexts.plan(request, candidate, *home, serversClockMs, now, out);
  out.PredictedFirstTokenMs =
      Cost.firstTokenMs(request, candidate.Load, out.QueuedTokens);
  return out;
}

} // namespace daisytack::direct
