#include "decide/acceptance.h"

#include "base/duration.h"

#include <algorithm>
#include <cmath>

namespace daisytack {

namespace {

/// The longest predicted wait at which a request of the priority is accepted.
/// Under overload, lower priorities are refused first.
Duration maxWaitFor(const RunQueueSettings &queue,
                    const AcceptanceSettings &settings, uint8_t priority) {
  double rise =
      (1.0 - settings.LowestPriorityWaitShare) * priority / MaxPriority;
  return scaled(queue.MaxWait, settings.LowestPriorityWaitShare + rise);
}

/// Time by which later requests of other organisations are expected to delay
/// this one beyond its predicted wait: the mean of the work that arrives while
/// it waits, plus settings.HeadroomDeviations standard deviations of a Poisson
/// stream.
Duration fairShareHeadroom(const RunQueue &queue,
                           const AcceptanceSettings &settings,
                           const RunRequest &request, Duration wait,
                           TimePoint now) {
  double others =
      std::clamp(queue.demand().demandOfOthers(request.Organisation, now),
                 settings.MinDemand, settings.MaxDemand);
  double delayedWait = static_cast<double>(wait.count()) / (1.0 - others);
  double requestTime = static_cast<double>(queue.serverTime(request).count());
  double mean = others * delayedWait;
  double deviation = std::sqrt(mean * requestTime);
  return Duration(
      static_cast<int64_t>(mean + settings.HeadroomDeviations * deviation));
}

/// Work by which the organisation would exceed the part of the queue that it
/// may fill; zero or negative when the request fits. An organisation's queued
/// work may be at most the free capacity: half of the queue if only this
/// organisation has requests waiting, and less the more others have.
Duration queueShareExcess(const RunQueue &queue,
                          const RunQueueSettings &settings,
                          const RunRequest &request) {
  Duration capacity = settings.MaxWait * settings.Slots;
  Duration free = capacity - queue.waitingWork();
  return queue.waitingWork(request.Organisation) + request.service() - free;
}

} // namespace

AcceptanceDecision decideAcceptance(const RunQueue &queue,
                                    const RunQueueSettings &queueSettings,
                                    const AcceptanceSettings &settings,
                                    const RunRequest &request, TimePoint now) {
  AcceptanceDecision out;
  RunPlan plan = queue.plan(request, now);
  out.Wait = plan.Start - now;
  out.Prefill = request.Prefill;
  out.Decode = request.Decode;
  out.FirstToken = plan.FirstToken - now;
  out.Completion = plan.Finish - now;
  out.Slack = request.Deadline - plan.Finish;
  if (now + request.service() > request.Deadline) {
    out.Reason.Kind = ErrorKind::DeadlineTooShort;
    return out;
  }
  if (request.WaitLimit > Duration{0} && out.Wait > request.WaitLimit) {
    out.Reason.Kind = ErrorKind::Overloaded;
    out.Reason.RetryAfter = out.Wait - request.WaitLimit;
    return out;
  }
  Duration headroom{0};
  if (plan.ExceedsFairShare)
    headroom = fairShareHeadroom(queue, settings, request, out.Wait, now);
  Duration maxWait = maxWaitFor(queueSettings, settings, request.Priority);
  Duration slackShortfall = headroom - out.Slack;
  Duration waitExcess = out.Wait - maxWait;
  if (slackShortfall > Duration{0} || waitExcess > Duration{0}) {
    out.Reason.Kind = ErrorKind::Overloaded;
    out.Reason.RetryAfter = std::max({slackShortfall, waitExcess, Duration{1}});
    return out;
  }
  if (plan.ExceedsFairShare) {
    Duration excessWork = queueShareExcess(queue, queueSettings, request);
    if (excessWork > Duration{0}) {
      out.Reason.Kind = ErrorKind::OrganisationLimit;
      out.Reason.RetryAfter = excessWork / queueSettings.Slots;
      return out;
    }
  }
  if (plan.MakesAcceptedLate) {
    out.Reason.Kind = ErrorKind::Overloaded;
    out.Reason.RetryAfter = std::max(queue.backlog(now), Duration{1});
    out.LateRequest = plan.LateRequest;
  }
  return out;
}

Duration rerunReserve(bool idempotent, Duration remaining,
                      Duration idleServerTime) {
  if (!idempotent)
    return Duration{0};
  return std::clamp(idleServerTime, Duration{0},
                    std::max(remaining / 2, Duration{0}));
}

} // namespace daisytack
