#include "balancing/prefill_rate.h"

#include "base/duration.h"

#include <algorithm>
#include <cmath>

namespace daisytack::balancing {

void PrefillRate::observe(std::string_view service, uint64_t unreadTokens,
                          uint64_t tokensBefore, Duration firstByte) {
  double prefillMs = millisecondsOf(firstByte) - Settings.BaseMs;
  if (unreadTokens < Settings.MinTokens || prefillMs <= 0)
    return;
  double observed =
      prefillMs / static_cast<double>(unreadTokens + tokensBefore);
  std::lock_guard guard(Lock);
  auto it = Estimates.find(service);
  if (it == Estimates.end())
    it =
        Estimates.emplace(service, Estimate{1 / Settings.InitialTokensPerMs, 0})
            .first;
  Estimate &estimate = it->second;
  // Quantile tracking: the estimate is stable where that share of observations
  // is below it.
  double step = std::max(Settings.InitialStep / (1 + 0.1 * estimate.Samples),
                         Settings.MinStep);
  bool isSlower = observed > estimate.MsPerToken;
  double direction = isSlower ? Settings.Quantile : Settings.Quantile - 1;
  double maxChange = std::abs(std::log(observed / estimate.MsPerToken));
  estimate.MsPerToken *=
      std::exp(std::clamp(2 * step * direction, -maxChange, maxChange));
  ++estimate.Samples;
}

double PrefillRate::tokensPerMs(std::string_view service) const {
  std::lock_guard guard(Lock);
  auto it = Estimates.find(service);
  return it == Estimates.end() ? Settings.InitialTokensPerMs
                               : 1 / it->second.MsPerToken;
}

} // namespace daisytack::balancing
