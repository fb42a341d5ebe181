/// How much of a prompt's prefill each candidate saves, learned from answers:
/// what a request loses when it leaves its home.
#pragma once

#include "daisytack/limits.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace daisytack {

/// Thread-safe and lock-free; of two answers at once one may be lost.
class ReuseEstimate {
public:
  /// The home's share until learned, and that of each further candidate as a
  /// share of the one before.
  ReuseEstimate(double home, double next);

  /// A server that stood at this place of the candidate list recomputed so many
  /// of the prompt's tokens.
  void observe(uint32_t place, uint32_t promptTokens, uint32_t recomputed);
  /// Shares by place.
  std::array<double, MaxCandidates> shares() const;

private:
  std::array<std::atomic<double>, MaxCandidates> Shares;
};

} // namespace daisytack
