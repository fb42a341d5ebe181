/// Estimate of how fast the engines of each service prefill prompts, learned
/// from the time to first byte of prompts that certainly had to be prefilled.
///
/// A rate from data sheets holds for one type of machine only. Queue limits in
/// tokens that fit it would let the queues of engines half as fast grow beyond
/// their latency targets.
#pragma once

#include "daisytack/types.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace daisytack::balancing {

struct PrefillRateSettings {
  /// Initial estimate, used until prompts were observed.
  double InitialTokensPerMs = 112;
  /// Part of the time to first byte, in milliseconds, that is not prefill: the
  /// network round trip, the engine's setup and its first decoding step.
  double BaseMs = 50;
  /// Shorter prompts are not observed: their time to first byte depends more on
  /// other delays than on prefill.
  uint32_t MinTokens = 4000;
  /// The estimate follows this quantile of the observed times per token.
  /// Below the median, since most disturbances delay the first byte (queues
  /// that this entry does not know of, slow links), so that quick observations
  /// are more reliable. Queues still lower the estimate: at 0.25, engines of 55
  /// tokens per millisecond are estimated at 52 to 55 without congestion and at
  /// 37 while queues are half a second long.
  double Quantile = 0.25;
  /// Relative change of the estimate by one observation, at first and later. An
  /// initial estimate that is off by a factor of two is corrected after about
  /// ten prompts, and one slow second changes the estimate by a few percent.
  double InitialStep = 0.25;
  double MinStep = 0.02;
  bool operator==(const PrefillRateSettings &) const = default;
};

/// Thread-safe.
class PrefillRate {
public:
  explicit PrefillRate(PrefillRateSettings settings) : Settings(settings) {}

  /// Records that an answer's first byte arrived after `firstByte`, that
  /// `unreadTokens` of its prompt certainly had to be prefilled, and that
  /// `tokensBefore` were queued ahead of it.
  void observe(std::string_view service, uint64_t unreadTokens,
               uint64_t tokensBefore, Duration firstByte);
  /// Tokens per millisecond; the initial estimate until a prompt was observed.
  double tokensPerMs(std::string_view service) const;

private:
  struct Estimate {
    double MsPerToken = 0;
    uint32_t Samples = 0;
  };

  PrefillRateSettings Settings;
  mutable std::mutex Lock;
  std::map<std::string, Estimate, std::less<>> Estimates; ///< By service.
};

} // namespace daisytack::balancing
