#include "decide/reuse_estimate.h"

#include <algorithm>

namespace daisytack {

namespace {

/// Weight of one answer.
constexpr double Step = 0.02;

} // namespace

ReuseEstimate::ReuseEstimate(double home, double next) {
  for (std::atomic<double> &it : Shares) {
    it.store(home, std::memory_order_relaxed);
    home *= next;
  }
}

void ReuseEstimate::observe(uint32_t place, uint32_t promptTokens,
                            uint32_t recomputed) {
  if (place >= MaxCandidates || promptTokens == 0)
    return;
  double reused =
      1.0 - std::min(1.0, static_cast<double>(recomputed) / promptTokens);
  double before = Shares[place].load(std::memory_order_relaxed);
  Shares[place].store(before + Step * (reused - before),
                      std::memory_order_relaxed);
}

std::array<double, MaxCandidates> ReuseEstimate::shares() const {
  std::array<double, MaxCandidates> out{};
  for (size_t i = 0; i < out.size(); ++i)
    out[i] = Shares[i].load(std::memory_order_relaxed);
  return out;
}

} // namespace daisytack
