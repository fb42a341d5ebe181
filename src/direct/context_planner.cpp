#include "direct/context_planner.h"

#include "base/duration.h"
#include "direct/rendezvous.h"

#include <algorithm>

namespace daisytack::direct {

ContextPlanner::ContextPlanner(PlacementSettings settings,
                               const Locality &locality,
                               const StoreLinks &links, KeptContext &kept,
                               const PlacementCost &cost)
    : Settings(settings), EntryLocality(locality), Links(links), Kept(kept),
      Cost(cost) {}

bool ContextPlanner::shedsFetch(const ForwardRequest &request, double excessMs,
                                double budgetMs) const {
  // Once the delay exceeds half of the budget, the share of requests that avoid
  // the link grows with the delay: enough for its queue to shrink, but not all
  // requests at once.
  double share =
      std::clamp(2 * excessMs / budgetMs - 1, 0.0, 1 - Settings.ProbeShare);
  return unitHash(request.Head.RequestId) < share;
}

double ContextPlanner::fetchBudgetMs(const ForwardRequest &request) const {
  double target = millisecondsOf(request.MatchedRoute.TargetLatency);
  // The wait in the server's queue is not subtracted: computing parts that
  // could be fetched would only make that queue longer.
  double remaining = target * Settings.FetchShare - Settings.MinFirstTokenMs -
                     Cost.prefillMs(request, request.Head.PromptTokens);
  return std::max(remaining,
                  Cost.prefillMs(request, sharedTokens(request.Head)));
}

double ContextPlanner::maxFetchMs(const ForwardRequest &request,
                                  const Candidate &server,
                                  double budgetMs) const {
  double out = std::min(std::max(budgetMs, Settings.MinFetchMs),
                        millisecondsOf(MaxFetchTime));
  std::optional<Duration> slack = Cost.outdatedSlack(request, server);
  return slack ? std::min(out, millisecondsOf(*slack)) : out;
}

void ContextPlanner::plan(const ForwardRequest &request,
                          const Candidate &candidate, const BackendServer &home,
                          std::optional<int64_t> serversClockMs, TimePoint now,
                          AttemptOrder &order) {
  const CallerHead &head = request.Head;
  const BackendServer &server = *candidate.Server;
  auto isAllowed = [&](const ContextStoreTraits &store) {
    return EntryLocality.allows(request.Regions, store.FailureDomain);
  };
  order.Sources.resize(head.Parts.size());
  order.Destinations.resize(head.Parts.size());
  double budget = fetchBudgetMs(request);
  double maxFetch = maxFetchMs(request, candidate, budget);
  bool mayFetch = serversClockMs && maxFetch > 0;
  int64_t fetchUntil = 0;
  int64_t minFetchUntil = 0;
  if (mayFetch) {
    fetchUntil = *serversClockMs + static_cast<int64_t>(maxFetch);
    minFetchUntil =
        *serversClockMs +
        static_cast<int64_t>(std::min(maxFetch, Settings.MinFetchLeaseMs));
  }
  double longestTransfer = -1;
  uint64_t fetchedTokens = 0;
  uint64_t unreadTokens = 0;
  bool isOutdated = candidate.OutdatedFor > Duration::zero();
  // The session's own part will be fetched by its home server, the other parts
  // by any server.
  size_t sessionPart = head.Parts.size() - 2;
  for (size_t i = 0; i + 1 < head.Parts.size(); ++i) {
    const PromptPart &part = head.Parts[i];
    std::optional<KeptSource> source;
    if (mayFetch)
      source = Kept.find(order.CacheScope, part, server.FailureDomain,
                         isAllowed, minFetchUntil);
    if (source) {
      const ContextStoreTraits &store = source->Store;
      double excess = Links.excessMs(store.Address, now);
      if (shedsFetch(request, excess, std::min(budget, maxFetch)))
        break; // Parts after a missing part can't be used.
      order.Sources[i] = store.Address;
      order.FetchExcessMs = std::max(order.FetchExcessMs, excess);
      fetchUntil = std::min(fetchUntil, *source->FetchUntilMs);
      fetchedTokens += part.Tokens;
      double transfer = part.Tokens / std::max(store.LinkMbps, 1.0);
      if (transfer > longestTransfer) {
        longestTransfer = transfer;
        order.SlowestSource = store.Address;
      }
    } else if (part.Tokens < Settings.MinPartTokens || isOutdated) {
      continue; // Context of outdated weights is not worth storing.
    } else if (auto destination = Kept.planSave(
                   order.CacheScope, part,
                   i == sessionPart ? home.FailureDomain : std::string(), now,
                   isAllowed)) {
      order.Destinations[i] = destination->Address;
      unreadTokens += part.Tokens;
    }
  }
  if (unreadTokens > 0)
    order.PrefillTokens = unreadTokens + head.Parts.back().Tokens;
  order.QueuedTokens -= static_cast<uint64_t>(
      static_cast<double>(fetchedTokens) * (1 - Settings.FetchedWeight));
  if (order.SlowestSource)
    order.FetchUntilMs = fetchUntil;
}

} // namespace daisytack::direct
