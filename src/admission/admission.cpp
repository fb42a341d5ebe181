#include "admission/admission.h"

#include "base/duration.h"

#include <algorithm>

namespace daisytack::admission {

Admission::Admission(direct::PlacementSettings settings,
                     const direct::PlacementCost &cost)
    : Settings(settings), Cost(cost) {}

bool Admission::hasMemory(const direct::ForwardRequest &request,
                          const direct::Catalog &catalog,
                          const balancing::ServerLoadView &load) const {
  const direct::Service *service = catalog.Config->findService(request.Service);
  if (!service || !service->Engine || service->Engine->ContextTokens == 0)
    return true;
  double capacity = static_cast<double>(service->Engine->ContextTokens) *
                    Settings.MemoryShare;
  uint64_t needed = load.HeldTokens + request.Head.PromptTokens;
  // A server without running requests accepts prompts of any length: the
  // longest would fit nowhere else.
  return load.HeldTokens == 0 || static_cast<double>(needed) <= capacity;
}

std::optional<double>
Admission::maxQueueMs(const direct::ForwardRequest &request,
                      const direct::Catalog &catalog) const {
  return queueLimitMs(Settings.Queue,
                      {request.MatchedRoute.TargetLatency,
                       catalog.Config->minTargetLatency(request.Service)},
                      request.Priority);
}

double Admission::queueMs(const direct::ForwardRequest &request,
                          const balancing::ServerLoadView &load) const {
  return Cost.prefillMs(request, static_cast<double>(tokensAhead(
                                     Settings.Queue, load, request.Priority)));
}

bool Admission::isTooBusy(const direct::ForwardRequest &request,
                          const direct::Catalog &catalog,
                          const balancing::ServerLoadView &load,
                          TimePoint now) const {
  if (request.Head.Model.empty())
    return false;
  if (!hasMemory(request, catalog, load))
    return true;
  std::optional<double> maxMs = maxQueueMs(request, catalog);
  if (maxMs && queueMs(request, load) > *maxMs)
    return true;
  Duration waitLimit = request.Deadline - now;
  if (request.MatchedRoute.MaxFirstEventWait > Duration::zero())
    waitLimit = std::min(waitLimit, request.MatchedRoute.MaxFirstEventWait);
  if (waitLimit <= Duration::zero())
    return false;
  double earliestMs = Cost.firstTokenMs(request, load, 0);
  return earliestMs * 1000 >
         static_cast<double>(waitLimit.count()) * Settings.PatienceShare;
}

Duration Admission::retryAfter(const direct::ForwardRequest &request,
                               const direct::Catalog &catalog,
                               const balancing::ServerLoadView &load) const {
  Duration minDelay =
      scaled(request.MatchedRoute.TargetLatency, Settings.OverloadRetryShare);
  std::optional<double> maxMs = maxQueueMs(request, catalog);
  if (!maxMs)
    return minDelay;
  double excessMs = queueMs(request, load) - *maxMs;
  return std::max(minDelay, Duration(static_cast<int64_t>(excessMs * 1000)));
}

} // namespace daisytack::admission
