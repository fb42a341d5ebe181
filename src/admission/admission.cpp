#include "admission/admission.h"

#include "base/duration.h"

#include <algorithm>

namespace daisytack::admission {

std::string_view busyReasonName(BusyReason reason) {
  switch (reason) {
  case BusyReason::None:
    return "none";
  case BusyReason::Memory:
    return "memory";
  case BusyReason::Queue:
    return "queue";
  case BusyReason::Patience:
    return "patience";
  case BusyReason::Withheld:
    return "withheld";
  }
  return "unknown";
}

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
                      const direct::Catalog &catalog,
                      double limitFactor) const {
  std::optional<double> out =
      queueLimitMs(Settings.Queue,
                   {request.MatchedRoute.TargetLatency,
                    catalog.Config->minTargetLatency(request.Service)},
                   request.Priority);
  return out ? std::optional(*out * limitFactor) : std::nullopt;
}

double Admission::queueMs(const direct::ForwardRequest &request,
                          const balancing::ServerLoadView &load) const {
  return Cost.prefillMs(request, static_cast<double>(tokensAhead(
                                     Settings.Queue, load, request.Priority)));
}

BusyState Admission::busyStateWithin(const direct::ForwardRequest &request,
                                     const direct::Catalog &catalog,
                                     const balancing::ServerLoadView &load,
                                     double limitFactor, TimePoint now) const {
  BusyState out;
  if (request.Head.Model.empty())
    return out;
  out.QueueMs = queueMs(request, load);
  out.QueueLimitMs = maxQueueMs(request, catalog, limitFactor);
  Duration waitLimit = request.Deadline - now;
  if (request.MatchedRoute.MaxFirstEventWait > Duration::zero())
    waitLimit = std::min(waitLimit, request.MatchedRoute.MaxFirstEventWait);
  double maxFirstTokenMs = millisecondsOf(waitLimit) * Settings.PatienceShare;
  if (!hasMemory(request, catalog, load))
    out.Reason = BusyReason::Memory;
  else if (out.QueueLimitMs && out.QueueMs > *out.QueueLimitMs)
    out.Reason = BusyReason::Queue;
  else if (waitLimit > Duration::zero() &&
           Cost.firstTokenMs(request, load, 0) > maxFirstTokenMs)
    out.Reason = BusyReason::Patience;
  return out;
}

BusyState Admission::busyState(const direct::ForwardRequest &request,
                               const direct::Catalog &catalog,
                               const balancing::ServerLoadView &load,
                               double limitFactor, TimePoint now) const {
  BusyState out = busyStateWithin(request, catalog, load, limitFactor, now);
  if (out.isBusy() && limitFactor < 1 &&
      !busyStateWithin(request, catalog, load, 1, now).isBusy())
    out.Reason = BusyReason::Withheld;
  return out;
}

Duration Admission::retryAfter(const direct::ForwardRequest &request,
                               const direct::Catalog &catalog,
                               const balancing::ServerLoadView &load,
                               double limitFactor) const {
  Duration minDelay =
      scaled(request.MatchedRoute.TargetLatency, Settings.OverloadRetryShare);
  std::optional<double> maxMs = maxQueueMs(request, catalog, limitFactor);
  if (!maxMs)
    return minDelay;
  double excessMs = queueMs(request, load) - *maxMs;
  return std::max(minDelay, Duration(static_cast<int64_t>(excessMs * 1000)));
}

} // namespace daisytack::admission
