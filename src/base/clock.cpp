#include "base/clock.h"

#include <ctime>

namespace daisytack {

BootClock::time_point BootClock::now() noexcept {
  timespec read{};
  ::clock_gettime(CLOCK_BOOTTIME, &read);
  return time_point(std::chrono::seconds(read.tv_sec) +
                    std::chrono::nanoseconds(read.tv_nsec));
}

TimePoint monotonicNow() {
  auto since = BootClock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(since));
}

WallTime wallNow() {
  auto since = std::chrono::system_clock::now().time_since_epoch();
  return WallTime(std::chrono::duration_cast<Duration>(since));
}

} // namespace daisytack
