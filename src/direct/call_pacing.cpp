#include "direct/call_pacing.h"

#include "base/duration.h"

#include <algorithm>

namespace daisytack::direct {

namespace {

/// Steps of the random number that are told apart.
constexpr uint64_t RandomSteps = 1024;

} // namespace

double CallPacing::timeShare(size_t processes, uint32_t places) const {
  double fair = Settings.ShareUsed *
                static_cast<double>(std::max<uint32_t>(places, 1)) /
                static_cast<double>(std::max<size_t>(processes, 1));
  return std::min(fair, Settings.MostTime);
}

Duration CallPacing::wait(size_t processes, uint32_t places) const {
  double share = timeShare(processes, places);
  return std::clamp(scaled(Settings.LeastPause, share / (1 - share)),
                    Settings.LeastWait, Settings.LongestWait);
}

Duration CallPacing::pauseAfter(Duration call, size_t processes,
                                uint32_t places, uint64_t random) const {
  double share = timeShare(processes, places);
  Duration pause =
      std::max(Settings.LeastPause, scaled(call, (1 - share) / share));
  double unit = static_cast<double>(random % RandomSteps) /
                static_cast<double>(RandomSteps - 1);
  return scaled(pause, 1 + Settings.Jitter * (2 * unit - 1));
}

} // namespace daisytack::direct
