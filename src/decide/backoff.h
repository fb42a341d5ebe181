/// Waits between attempts: exponential, with full jitter, never past the
/// deadline.
#pragma once

#include "daisytack/types.h"

#include <optional>

namespace daisytack {

struct BackoffSettings {
  Duration Base{10'000}; ///< Upper end of the first wait.
  Duration Most{2'000'000};
  bool operator==(const BackoffSettings &) const = default;
};

/// The wait before the attempt after the given one (from 1), drawn evenly from
/// zero to Base doubled per attempt. A server's RetryAfter is waited for first.
/// Nothing when the attempt could then not end before the deadline: it needs
/// the given time.
std::optional<Duration> retryDelay(Attempt attempt, Duration retryAfter,
                                   Duration remaining, Duration needed,
                                   const BackoffSettings &settings,
                                   const RandomSource &random);

} // namespace daisytack
