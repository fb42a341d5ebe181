/// How fast the engines of a service read prompts, learned from how long
/// prompts that certainly had to be read waited for their first byte.
///
/// Data sheets say it for one machine; another deployment's engines read half
/// as fast, and bounds in tokens that suit the one let queues of the other grow
/// past its targets.
#pragma once

#include "daisytack/types.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace daisytack::direct {

struct PrefillRateSettings {
  /// Of the engines first in use, by their data sheet; believed until prompts
  /// were observed.
  double InitialTokensPerMs = 112;
  /// Part of the first byte's wait that is not reading: the trip, the engine's
  /// set-up and its first step.
  double BaseMs = 50;
  /// Shorter prompts say more of the rest of the wait than of reading.
  uint32_t LeastTokens = 4000;
  /// Share of observations that read faster than the estimate is too slow by:
  /// most of what goes wrong makes a first byte late (queues that were not
  /// heard of, slow links), so the quicker ones are believed. A quantile of
  /// 0.25 gave 52 to 55 tokens a millisecond for engines of 55 in each four
  /// seconds without congestion, and 37 with queues of half a second.
  double Quantile = 0.25;
  /// Factor by which one observation moves the estimate, at first and later: a
  /// prior that is wrong by two is corrected after some ten prompts, and a slow
  /// second moves it by a few hundredths.
  double FirstStep = 0.25;
  double LeastStep = 0.02;
  bool operator==(const PrefillRateSettings &) const = default;
};

/// Thread-safe.
class PrefillRate {
public:
  explicit PrefillRate(PrefillRateSettings settings) : Settings(settings) {}

  /// The first byte of an answer came after so long. Of its prompt so many
  /// tokens had certainly to be read, and so many waited before it.
  void observe(std::string_view service, uint64_t unread, uint64_t before,
               Duration firstByte);
  /// Tokens a millisecond; the prior while nothing was observed.
  double tokensPerMs(std::string_view service) const;

private:
  struct Estimate {
    double MsPerToken = 0;
    uint32_t Observed = 0;
  };

  PrefillRateSettings Settings;
  mutable std::mutex Lock;
  std::map<std::string, Estimate, std::less<>> Estimates;
};

} // namespace daisytack::direct
