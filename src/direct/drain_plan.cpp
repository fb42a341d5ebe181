#include "direct/drain_plan.h"

#include <algorithm>

namespace daisytack::direct {

namespace {

/// The process stood still until it saw the signal: of its time to end, that
/// much is gone.
TimePoint endOf(TimePoint sent, TimePoint seen, TimePoint end) {
  if (end == TimePoint::max())
    return end;
  return end - std::max(seen - sent, Duration::zero());
}

} // namespace

DrainPlan::DrainPlan(DrainSettings settings, TimePoint sent, TimePoint seen,
                     TimePoint end)
    : Seen(seen), End(std::max(endOf(sent, seen, end), seen)),
      LastWordAt(End == TimePoint::max()
                     ? End
                     : std::max(End - settings.LastWord, seen)),
      CloseAt(std::min(seen + settings.Notice, LastWordAt)) {}

} // namespace daisytack::direct
