/// The only module that reads the clocks of a process. Decision code receives
/// the current time as an argument.
#pragma once

#include "daisytack/types.h"

#include <chrono>

namespace daisytack {

/// Never goes back, and includes the time during which the machine was
/// suspended, since leases, confirmations and deadlines continue to run for all
/// other processes. The standard library's steady clock stops during a suspend.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // NOLINTNEXTLINE(readability-identifier-naming): the standard's name.
  static constexpr bool is_steady = true;
  static time_point now() noexcept;
};

/// Monotonic time since an unspecified start, read from BootClock.
TimePoint monotonicNow();
/// Wall-clock time since the Unix epoch.
WallTime wallNow();

} // namespace daisytack
