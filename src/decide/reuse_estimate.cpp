#include "decide/reuse_estimate.h"

#include <algorithm>

namespace daisytack {

namespace {

/// Weight of a new observation in the moving average.
constexpr double ObservationWeight = 0.02;

} // namespace

ReuseEstimate::ReuseEstimate(double homeShare, double nextRatio) {
  for (std::atomic<double> &it : Shares) {
    it.store(homeShare, std::memory_order_relaxed);
    homeShare *= nextRatio;
  }
}

void ReuseEstimate::observe(uint32_t position, uint32_t promptTokens,
                            uint32_t recomputed) {
  if (position >= MaxCandidates || promptTokens == 0)
    return;
  double reused =
      1.0 - std::min(1.0, static_cast<double>(recomputed) / promptTokens);
  double before = Shares[position].load(std::memory_order_relaxed);
  Shares[position].store(before + ObservationWeight * (reused - before),
                         std::memory_order_relaxed);
}

std::array<double, MaxCandidates> ReuseEstimate::shares() const {
  std::array<double, MaxCandidates> out{};
  for (size_t i = 0; i < out.size(); ++i)
    out[i] = Shares[i].load(std::memory_order_relaxed);
  return out;
}

} // namespace daisytack
