#include "gateway/request_admission.h"

#include "direct/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <optional>
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
  case BusyReason::Withheld:
    return &stats.RefusedWithheld;
  }
  return nullptr;
}

/// Share of the queue limit that is kept for refused callers who are to return
/// now.
double reservedShare(GatewayState &state, const direct::ForwardRequest &request,
                     TimePoint now) {
  if (state.Returns.isEmpty())
    return 0;
  uint64_t tokens = state.Returns.dueTokens(request.Service, now);
  auto catalog = state.catalog();
  std::optional<double> limitMs = admission::queueLimitMs(
      state.Options.Placement.Queue,
      {request.MatchedRoute.TargetLatency,
       catalog->Config->minTargetLatency(request.Service)},
      request.Priority);
  size_t servers = catalog->serversOf(request.Service).size();
  if (tokens == 0 || !limitMs || *limitMs <= 0 || servers == 0)
    return 0;
  double queuedMs = static_cast<double>(tokens) /
                    state.PrefillRates.tokensPerMs(request.Service) /
                    static_cast<double>(servers);
  return std::min(queuedMs / *limitMs,
                  state.Returns.settings().MaxReservedShare);
}

} // namespace

uint32_t contentHash(const direct::ForwardRequest &request, size_t bodyBytes) {
  uint64_t out = direct::stableHash(request.Organisation, bodyBytes);
  out = direct::stableHash(request.MatchedRoute.Name, out);
  for (const auto &it : request.Head.Parts)
    out = direct::stableHash(it.Id, out);
  return static_cast<uint32_t>(out);
}

direct::ServerCriteria withLimitFactor(GatewayState &state,
                                       const direct::ForwardRequest &request,
                                       direct::ServerCriteria criteria,
                                       bool isReturn, TimePoint now) {
  if (request.Head.Model.empty())
    return criteria;
  criteria.LimitFactor =
      state.Shares.factor(request.Service, request.Organisation, now);
  if (!isReturn)
    criteria.LimitFactor *= 1 - reservedShare(state, request, now);
  return criteria;
}

bool takeReturn(GatewayState &state, const direct::ForwardRequest &request,
                size_t bodyBytes, TimePoint now) {
  if (request.Head.Parts.empty() || state.Returns.isEmpty())
    return false;
  return state.Returns.takeReturn(request.Service,
                                  contentHash(request, bodyBytes), now);
}

Duration scheduleReturn(GatewayState &state,
                        const direct::ForwardRequest &request,
                        const direct::Refusal &refusal, size_t bodyBytes,
                        TimePoint now) {
  Duration out =
      admission::returnDelay(state.Returns.settings(),
                             {request.MatchedRoute.TargetLatency,
                              request.Deadline - now, refusal.Reason.RetryAfter,
                              state.Shares.shortageAge(request.Service, now),
                              direct::unitHash(request.Head.RequestId)});
  // Without parts, the content of a request isn't known.
  bool hasTicket = !request.Head.Parts.empty() &&
                   refusal.Busy->Reason != BusyReason::Patience;
  if (hasTicket)
    state.Returns.onRefused(request.Service, contentHash(request, bodyBytes),
                            request.Head.PromptTokens, out, now);
  return out;
}

void recordAdmission(GatewayState &state, const direct::ForwardRequest &request,
                     bool wasAdmitted, const direct::Refusal &refusal,
                     TimePoint now) {
  if (request.Head.Model.empty() || (!wasAdmitted && !refusal.Busy))
    return;
  // A caller with too little patience is no sign of a shortage.
  if (!wasAdmitted && refusal.Busy->Reason == BusyReason::Patience)
    return state.Stats.RefusedForPatience.add();
  admission::AdmissionOutcome outcome = admission::AdmissionOutcome::Admitted;
  if (!wasAdmitted)
    outcome = refusal.Busy->Reason == BusyReason::Withheld
                  ? admission::AdmissionOutcome::Withheld
                  : admission::AdmissionOutcome::Refused;
  state.Shares.onDecision(request.Service, request.Organisation,
                          request.Head.PromptTokens, outcome, now);
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
