#include "direct/drain_plan.h"

#include <algorithm>

namespace daisytack::direct {

namespace {

/// The time so long before; a limit that is never reached stays so.
TimePoint before(TimePoint limit, Duration lead) {
  return limit == TimePoint::max() ? limit : limit - lead;
}

/// The process stood still until it saw the signal: of its time to end, that
/// much is gone.
TimePoint endOf(TimePoint sent, TimePoint seen, TimePoint end) {
  return std::max(before(end, std::max(seen - sent, Duration::zero())), seen);
}

} // namespace

DrainPlan::DrainPlan(DrainSettings settings, TimePoint sent, TimePoint seen,
                     TimePoint end)
    : Seen(seen), End(endOf(sent, seen, end)),
      LastWordAt(std::max(before(End, settings.FinalAnswerLead), seen)),
      AttemptsUntil(std::max(before(LastWordAt, settings.LeastAttempt), seen)),
      TakesUntil(
          std::min(seen + settings.NoticePeriod + settings.LateRequestGrace,
                   AttemptsUntil)),
      CloseAt(std::max(TakesUntil - settings.LateRequestGrace, seen)) {}

} // namespace daisytack::direct
