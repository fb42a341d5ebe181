/// Backoff between attempts at a request: exponential with full jitter, and
/// limited by the deadline.
#pragma once

#include "daisytack/types.h"

#include <optional>

namespace daisytack {

struct BackoffSettings {
  Duration BaseDelay{10'000};   ///< Upper bound of the first delay.
  Duration MaxDelay{2'000'000}; ///< Upper bound of every delay.
  bool operator==(const BackoffSettings &) const = default;
};

/// The delay between the given attempt (numbered from 1) and the next one: the
/// server's retryAfter (zero if it gave none) plus a jitter drawn uniformly
/// from zero to BaseDelay, which is doubled for each earlier retry up to
/// MaxDelay. Returns nullopt if the next attempt, which takes the time needed,
/// could not end within the time remaining until the deadline.
std::optional<Duration> retryDelay(Attempt attempt, Duration retryAfter,
                                   Duration remaining, Duration needed,
                                   const BackoffSettings &settings,
                                   const RandomSource &random);

} // namespace daisytack
