#include "direct/call_pacing.h"

#include "base/duration.h"

#include <algorithm>

namespace daisytack::direct {

namespace {

/// Number of distinct values that jitter can take.
constexpr uint64_t RandomSteps = 1024;

} // namespace

double CallPacing::timeShare(size_t processes, uint32_t slots) const {
  double fairShare = Settings.SlotUtilization *
                     static_cast<double>(std::max<uint32_t>(slots, 1)) /
                     static_cast<double>(std::max<size_t>(processes, 1));
  return std::min(fairShare, Settings.MaxTimeShare);
}

Duration CallPacing::wait(size_t processes, uint32_t slots) const {
  double share = timeShare(processes, slots);
  return std::clamp(scaled(Settings.MinPause, share / (1 - share)),
                    Settings.MinWait, Settings.MaxWait);
}

Duration CallPacing::meanPause(Duration call, size_t processes,
                               uint32_t slots) const {
  double share = timeShare(processes, slots);
  return std::max(Settings.MinPause, scaled(call, (1 - share) / share));
}

Duration CallPacing::pauseAfter(Duration call, size_t processes, uint32_t slots,
                                uint64_t random) const {
  Duration pause = meanPause(call, processes, slots);
  double unit = static_cast<double>(random % RandomSteps) /
                static_cast<double>(RandomSteps - 1);
  return scaled(pause, 1 + Settings.Jitter * (2 * unit - 1));
}

Duration CallPacing::maxInterval(size_t processes, uint32_t slots) const {
  Duration call = wait(processes, slots);
  return call + scaled(meanPause(call, processes, slots), 1 + Settings.Jitter);
}

} // namespace daisytack::direct
