#include "direct/store_timing.h"

#include "direct/context_planner.h"

#include <algorithm>

namespace daisytack::direct {

StoreTiming storeTiming(const CallPacing &pacing, const StoreCalls &calls) {
  Duration fetch = MaxFetchTime + calls.TimeoutMargin;
  // The interval first falls with the number of callers, as calls become
  // shorter, and then grows: it is longest at one of the two ends.
  Duration longest =
      std::max(pacing.maxInterval(1, calls.Slots),
               pacing.maxInterval(2 * calls.Entries, calls.Slots));
  return {fetch + pacing.maxInterval(calls.Entries, calls.Slots),
          fetch + longest};
}

} // namespace daisytack::direct
