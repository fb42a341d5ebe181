#include "decide/backoff.h"

#include <algorithm>

namespace daisytack {

namespace {

/// Keeps the shift below from overflowing; after this many doublings the delay
/// is at its upper bound.
constexpr uint32_t MaxDoublings = 20;

} // namespace

std::optional<Duration> retryDelay(Attempt attempt, Duration retryAfter,
                                   Duration remaining, Duration needed,
                                   const BackoffSettings &settings,
                                   const RandomSource &random) {
  uint32_t doublings = std::min(attempt > 0 ? attempt - 1 : 0, MaxDoublings);
  int64_t maxJitter = std::min(settings.BaseDelay.count() << doublings,
                               settings.MaxDelay.count());
  auto jitter = static_cast<int64_t>(
      random() % static_cast<uint64_t>(std::max<int64_t>(maxJitter, 0) + 1));
  Duration delay = std::max(retryAfter, Duration{0}) + Duration(jitter);
  if (delay + needed > remaining)
    return std::nullopt;
  return delay;
}

} // namespace daisytack
