#include "direct/admission.h"

#include "base/duration.h"

#include <algorithm>

namespace daisytack::direct {

Admission::Admission(PlacementSettings settings, const PlacementCost &cost)
    : Settings(settings), Cost(cost) {}

bool Admission::hasMemory(const ForwardRequest &request, const Catalog &catalog,
                          const ServerLoadView &load) const {
  const Service *service = catalog.Config->findService(request.Service);
  if (!service || !service->Engine || service->Engine->ContextTokens == 0)
    return true;
  double room = static_cast<double>(service->Engine->ContextTokens) *
                Settings.MemoryShare;
  uint64_t wanted = load.HeldTokens + request.Head.PromptTokens;
  // The longest prompts fit only where nothing else runs.
  return load.HeldTokens == 0 || static_cast<double>(wanted) <= room;
}

std::optional<double> Admission::mostQueueMs(const ForwardRequest &request,
                                             const Catalog &catalog) const {
  Duration target = catalog.Config->minTargetLatency(request.Service);
  if (Settings.QueueShare <= 0 || target <= Duration::zero())
    return std::nullopt;
  double out = millisecondsOf(target) * Settings.QueueShare;
  return request.Priority == 0 ? out * Settings.UrgentQueueFactor : out;
}

bool Admission::isTooBusy(const ForwardRequest &request, const Catalog &catalog,
                          const ServerLoadView &load, TimePoint now) const {
  if (request.Head.Model.empty())
    return false;
  if (!hasMemory(request, catalog, load))
    return true;
  std::optional<double> most = mostQueueMs(request, catalog);
  if (most &&
      Cost.prefillMs(request, static_cast<double>(load.WaitingTokens)) > *most)
    return true;
  Duration patience = request.Deadline - now;
  if (request.MatchedRoute.MaxFirstEventWait > Duration::zero())
    patience = std::min(patience, request.MatchedRoute.MaxFirstEventWait);
  if (patience <= Duration::zero())
    return false;
  double least = Cost.firstTokenMs(request, load, 0);
  return least * 1000 >
         static_cast<double>(patience.count()) * Settings.PatienceShare;
}

Duration Admission::retryAfter(const ForwardRequest &request,
                               const Catalog &catalog,
                               const ServerLoadView &load) const {
  Duration soon =
      scaled(request.MatchedRoute.TargetLatency, Settings.OverloadRetryShare);
  std::optional<double> most = mostQueueMs(request, catalog);
  if (!most)
    return soon;
  double excessMs =
      Cost.prefillMs(request, static_cast<double>(load.WaitingTokens)) - *most;
  return std::max(soon, Duration(static_cast<int64_t>(excessMs * 1000)));
}

} // namespace daisytack::direct
