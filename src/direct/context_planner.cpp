#include "direct/context_planner.h"

#include "base/duration.h"
#include "direct/rendezvous.h"

#include <algorithm>

namespace daisytack::direct {

ContextPlanner::ContextPlanner(PlacementSettings settings,
                               const Locality &where, const StoreLinks &links,
                               KeptContext &kept, const PlacementCost &cost)
    : Settings(settings), Where(where), Links(links), Kept(kept), Cost(cost) {}

bool ContextPlanner::shedsFetch(const ForwardRequest &request, double excessMs,
                                double budgetMs) const {
  // From half of the budget on, in proportion: enough go elsewhere to let the
  // queue shrink, and not all of them at once.
  double share =
      std::clamp(2 * excessMs / budgetMs - 1, 0.0, 1 - Settings.ProbeShare);
  return unitHash(request.Head.RequestId) < share;
}

double ContextPlanner::fetchBudgetMs(const ForwardRequest &request) const {
  double target = millisecondsOf(request.MatchedRoute.TargetLatency);
  // The queue's wait is left out: reading what could be fetched would only
  // lengthen it.
  double left = target * Settings.FetchShare - Settings.MinFirstTokenMs -
                Cost.prefillMs(request, request.Head.PromptTokens);
  return std::max(left, Cost.prefillMs(request, sharedTokens(request.Head)));
}

void ContextPlanner::plan(const ForwardRequest &request,
                          const Candidate &candidate, const BackendServer &home,
                          std::optional<int64_t> serversClockMs, TimePoint now,
                          AttemptOrder &order) {
  const CallerHead &head = request.Head;
  const BackendServer &server = *candidate.Server;
  auto mayUse = [&](const ContextStoreTraits &store) {
    return Where.allows(request.Regions, store.FailureDomain);
  };
  order.Sources.resize(head.Parts.size());
  order.Destinations.resize(head.Parts.size());
  double budget = fetchBudgetMs(request);
  double longest = -1;
  uint64_t sourced = 0;
  uint64_t unread = 0;
  bool isOld = candidate.OutdatedFor > Duration::zero();
  // The home will fetch what is the session's own; the rest all servers will.
  size_t ofSession = head.Parts.size() - 2;
  for (size_t i = 0; i + 1 < head.Parts.size(); ++i) {
    const PromptPart &part = head.Parts[i];
    std::optional<ContextStoreTraits> store;
    if (serversClockMs)
      store = Kept.find(order.CacheScope, part, server.FailureDomain, mayUse);
    if (store) {
      double excess = Links.excessMs(store->Address, now);
      if (shedsFetch(request, excess, budget))
        break; // What follows a part that is missing can't be used.
      order.Sources[i] = store->Address;
      order.FetchExcessMs = std::max(order.FetchExcessMs, excess);
      sourced += part.Tokens;
      double transfer = part.Tokens / std::max(store->LinkMbps, 1.0);
      if (transfer > longest) {
        longest = transfer;
        order.SlowestSource = store->Address;
      }
    } else if (part.Tokens < Settings.MinPartTokens || isOld) {
      continue; // Context of weights that are about to go is not worth room.
    } else if (auto place = Kept.planSave(order.CacheScope, part,
                                          i == ofSession ? home.FailureDomain
                                                         : std::string(),
                                          now, mayUse)) {
      order.Destinations[i] = place->Address;
      unread += part.Tokens;
    }
  }
  if (unread > 0)
    order.PrefillTokens = unread + head.Parts.back().Tokens;
  order.QueuedTokens -= static_cast<uint64_t>(static_cast<double>(sourced) *
                                              (1 - Settings.FetchedWeight));
  if (order.SlowestSource && serversClockMs)
    order.FetchUntilMs =
        *serversClockMs +
        std::min(static_cast<int64_t>(std::max(budget, Settings.MinFetchMs)),
                 MaxFetchTime.count() / 1000);
}

} // namespace daisytack::direct
