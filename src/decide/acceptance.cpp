#include "decide/acceptance.h"

#include "base/duration.h"

#include <algorithm>
#include <cmath>

namespace daisytack {

namespace {

/// Lower priorities find the queue full earlier.
Duration waitBound(const RunQueueSettings &queue,
                   const AcceptanceSettings &settings, uint8_t priority) {
  double rise = (1.0 - settings.LowestPriorityBound) * priority / MaxPriority;
  return scaled(queue.MaxWait, settings.LowestPriorityBound + rise);
}

/// Time by which other organisations' requests are expected to delay this one
/// beyond its predicted wait: the mean of what comes while it waits, and twice
/// the deviation of a random stream.
Duration shareHeadroom(const RunQueue &queue,
                       const AcceptanceSettings &settings,
                       const RunRequest &request, Duration wait,
                       TimePoint now) {
  double others = std::clamp(queue.demand().ofOthers(request.Organisation, now),
                             settings.LeastDemand, settings.MostDemand);
  double stretched = static_cast<double>(wait.count()) / (1.0 - others);
  double run = static_cast<double>(queue.serverTime(request).count());
  double mean = others * stretched;
  double deviation = std::sqrt(mean * run);
  return Duration(static_cast<int64_t>(mean + settings.Deviations * deviation));
}

/// Work by which the organisation would exceed its part of the queue. Alone it
/// may fill half of it; the more others have waiting, the less.
Duration partExceeded(const RunQueue &queue, const RunQueueSettings &settings,
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
  if (request.Patience > Duration{0} && out.Wait > request.Patience) {
    out.Reason.Kind = ErrorKind::Overloaded;
    out.Reason.RetryAfter = out.Wait - request.Patience;
    return out;
  }
  Duration headroom{0};
  if (plan.OverShare)
    headroom = shareHeadroom(queue, settings, request, out.Wait, now);
  Duration bound = waitBound(queueSettings, settings, request.Priority);
  Duration late = headroom - out.Slack;
  Duration excess = out.Wait - bound;
  if (late > Duration{0} || excess > Duration{0}) {
    out.Reason.Kind = ErrorKind::Overloaded;
    out.Reason.RetryAfter = std::max({late, excess, Duration{1}});
    return out;
  }
  if (plan.OverShare) {
    Duration excessWork = partExceeded(queue, queueSettings, request);
    if (excessWork > Duration{0}) {
      out.Reason.Kind = ErrorKind::OrganisationLimit;
      out.Reason.RetryAfter = excessWork / queueSettings.Slots;
      return out;
    }
  }
  if (plan.BreaksAccepted) {
    out.Reason.Kind = ErrorKind::Overloaded;
    out.Reason.RetryAfter = std::max(queue.backlog(now), Duration{1});
    out.Broken = plan.Broken;
  }
  return out;
}

Duration rerunReserve(bool idempotent, Duration remaining,
                      Duration undisturbed) {
  if (!idempotent)
    return Duration{0};
  return std::clamp(undisturbed, Duration{0},
                    std::max(remaining / 2, Duration{0}));
}

} // namespace daisytack
