/// The only place where a process reads its clocks. Decision code receives the
/// result as an argument.
#pragma once

#include "daisytack/types.h"

#include <chrono>

namespace daisytack {

/// Never goes back, and counts the time for which the machine was suspended:
/// leases, confirmations and deadlines run on meanwhile for everybody else. The
/// standard library's steady clock stands still.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // NOLINTNEXTLINE(readability-identifier-naming): the standard's name.
  static constexpr bool is_steady = true;
  static time_point now() noexcept;
};

/// Monotonic time since an unspecified start, by the clock above.
TimePoint monotonicNow();
/// Wall-clock time since the Unix epoch.
WallTime wallNow();

} // namespace daisytack
