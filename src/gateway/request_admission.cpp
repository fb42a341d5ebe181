#include "gateway/request_admission.h"

#include <cmath>
#include <utility>

namespace daisytack::gateway {

namespace {

using admission::BusyReason;

Counter *refusalCounter(GatewayMetrics &stats, BusyReason reason) {
  switch (reason) {
  case BusyReason::None:
    return nullptr;
  case BusyReason::Memory:
    return &stats.RefusedForMemory;
  case BusyReason::Queue:
    return &stats.RefusedForQueue;
  case BusyReason::Patience:
    return &stats.RefusedForPatience;
  case BusyReason::Share:
    return &stats.RefusedForShare;
  }
  return nullptr;
}

} // namespace

direct::ServerCriteria withLimitFactor(GatewayState &state,
                                       const direct::ForwardRequest &request,
                                       direct::ServerCriteria criteria,
                                       TimePoint now) {
  if (!request.Head.Model.empty())
    criteria.LimitFactor =
        state.Shares.factor(request.Service, request.Organisation, now);
  return criteria;
}

void recordAdmission(GatewayState &state, const direct::ForwardRequest &request,
                     bool wasAdmitted, const direct::Refusal &refusal,
                     TimePoint now) {
  if (request.Head.Model.empty() || (!wasAdmitted && !refusal.Busy))
    return;
  state.Shares.onDecision(request.Service, request.Organisation,
                          request.Head.PromptTokens, wasAdmitted, now);
  if (wasAdmitted)
    return;
  if (Counter *counter = refusalCounter(state.Stats, refusal.Busy->Reason))
    counter->add();
}

std::string loadDetail(const direct::Refusal &refusal, double limitFactor) {
  if (!refusal.Busy)
    return {};
  const admission::BusyState &busy = *refusal.Busy;
  auto text = [](double ms) { return std::to_string(std::lround(ms)); };
  std::string out = "; the best: cause " +
                    std::string(busyReasonName(busy.Reason)) + ", queue_ms " +
                    text(busy.QueueMs);
  if (busy.QueueLimitMs)
    out += ", queue_limit_ms " + text(*busy.QueueLimitMs);
  return out + ", share_percent " + text(limitFactor * 100);
}

} // namespace daisytack::gateway
