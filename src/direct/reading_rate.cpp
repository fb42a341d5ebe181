#include "direct/reading_rate.h"

#include "base/duration.h"

#include <algorithm>
#include <cmath>

namespace daisytack::direct {

void ReadingRate::observe(std::string_view service, uint64_t unread,
                          uint64_t before, Duration firstByte) {
  double readMs = millisecondsOf(firstByte) - Settings.BaseMs;
  if (unread < Settings.LeastTokens || readMs <= 0)
    return;
  double seen = readMs / static_cast<double>(unread + before);
  std::lock_guard guard(Lock);
  auto it = Estimates.find(service);
  if (it == Estimates.end())
    it = Estimates.emplace(service, Estimate{1 / Settings.PriorTokensPerMs, 0})
             .first;
  Estimate &estimate = it->second;
  // Follows the quantile: it rests where that share of observations is below.
  double step = std::max(Settings.FirstStep / (1 + 0.1 * estimate.Observed),
                         Settings.LeastStep);
  bool isSlower = seen > estimate.MsPerToken;
  double move = isSlower ? Settings.Quantile : Settings.Quantile - 1;
  double most = std::abs(std::log(seen / estimate.MsPerToken));
  estimate.MsPerToken *= std::exp(std::clamp(2 * step * move, -most, most));
  ++estimate.Observed;
}

double ReadingRate::of(std::string_view service) const {
  std::lock_guard guard(Lock);
  auto it = Estimates.find(service);
  return it == Estimates.end() ? Settings.PriorTokensPerMs
                               : 1 / it->second.MsPerToken;
}

} // namespace daisytack::direct
