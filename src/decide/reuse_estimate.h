/// Estimates how much of a prompt's prefill each routing candidate saves by
/// reusing cached context. Routing weighs this against the candidates' load.
#pragma once

#include "daisytack/limits.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace daisytack {

/// For each position in the candidate list, a moving average of the share of
/// prompt tokens that were reused. Thread-safe and lock-free; one of two
/// concurrent observations of a position may be lost.
class ReuseEstimate {
public:
  /// Sets the initial shares: that of the home, which is the first candidate,
  /// and that of each further candidate as a multiple of the previous one's.
  ReuseEstimate(double homeShare, double nextRatio);

  /// Records how many of a prompt's tokens were recomputed by the server at the
  /// given position of the candidate list. Positions beyond the list are
  /// ignored.
  void observe(uint32_t position, uint32_t promptTokens, uint32_t recomputed);
  /// Reused shares of the prompt, from 0 to 1, by position in the candidate
  /// list.
  std::array<double, MaxCandidates> shares() const;

private:
  std::array<std::atomic<double>, MaxCandidates> Shares;
};

} // namespace daisytack
