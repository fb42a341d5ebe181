#include "base/clock.h"

namespace daisytack {

TimePoint monotonicNow() {
  auto since = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(since));
}

WallTime wallNow() {
  auto since = std::chrono::system_clock::now().time_since_epoch();
  return WallTime(std::chrono::duration_cast<Duration>(since));
}

} // namespace daisytack
