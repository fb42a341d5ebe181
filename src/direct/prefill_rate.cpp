#include "direct/prefill_rate.h"

#include "base/duration.h"

#include <algorithm>
#include <cmath>

namespace daisytack::direct {

void PrefillRate::observe(std::string_view service, uint64_t unread,
                          uint64_t before, Duration firstByte) {
  double prefillMs = millisecondsOf(firstByte) - Settings.BaseMs;
  if (unread < Settings.LeastTokens || prefillMs <= 0)
    return;
  double seen = prefillMs / static_cast<double>(unread + before);
  std::lock_guard guard(Lock);
  auto it = Estimates.find(service);
  if (it == Estimates.end())
    it =
        Estimates.emplace(service, Estimate{1 / Settings.InitialTokensPerMs, 0})
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

double PrefillRate::tokensPerMs(std::string_view service) const {
  std::lock_guard guard(Lock);
  auto it = Estimates.find(service);
  return it == Estimates.end() ? Settings.InitialTokensPerMs
                               : 1 / it->second.MsPerToken;
}

} // namespace daisytack::direct
