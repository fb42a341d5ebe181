#include "direct/drain_plan.h"

#include <algorithm>

namespace daisytack::direct {

namespace {

/// The limit minus the lead; TimePoint::max() means no limit and stays.
TimePoint before(TimePoint limit, Duration lead) {
  return limit == TimePoint::max() ? limit : limit - lead;
}

/// The end of the process, earlier by the time from the sending of the signal
/// until the stalled process handled it, but not before it was handled.
TimePoint adjustedEnd(TimePoint sent, TimePoint seen, TimePoint end) {
  return std::max(before(end, std::max(seen - sent, Duration::zero())), seen);
}

} // namespace

DrainPlan::DrainPlan(DrainSettings settings, TimePoint sent, TimePoint seen,
                     TimePoint end)
    : SignalSeen(seen), End(adjustedEnd(sent, seen, end)),
      FinalAnswersAt(std::max(before(End, settings.FinalAnswerLead), seen)),
      AttemptsUntil(
          std::max(before(FinalAnswersAt, settings.MinAttemptTime), seen)),
      AcceptsUntil(
          std::min(seen + settings.NoticePeriod + settings.LateRequestGrace,
                   AttemptsUntil)),
      CloseAt(std::min(seen + settings.NoticePeriod, FinalAnswersAt)) {}

} // namespace daisytack::direct
