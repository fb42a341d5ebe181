/// How long work takes on one backend server, learned from what it took. All
/// answers are at a high percentile, so that a promise made on them holds.
#pragma once

#include "daisytack/types.h"

#include <cstdint>

namespace daisytack {

/// Follows one percentile of a positive quantity by stochastic approximation on
/// a logarithmic scale: constant memory, and it adapts when the quantity
/// changes. Rises fast and falls slowly.
class QuantileTracker {
public:
  /// The percentile lies in (0, 1); the step is the largest change of the
  /// logarithm by one observation.
  QuantileTracker(double percentile, double step, double first);

  void observe(double value);
  double value() const { return Value; }
  uint64_t observations() const { return Count; }

private:
  double Percentile;
  double Step;
  double Value;
  uint64_t Count = 0;
};

struct PredictorSettings {
  double Percentile = 0.95;
  double Step = 0.2;
  double Margin = 0.05; ///< Added to every prediction, as a share of it.
  double PrefillTokensPerSecond = 10'000; ///< Until learned.
  double DecodeTokensPerSecond = 50;      ///< Of one run, until learned.
  double TokensOfOverhead = 256; ///< A prefill costs as if it had so many
                                 ///< tokens more.
  bool operator==(const PredictorSettings &) const = default;
};

/// Prefill and decode times of one server. Not thread-safe: the agent that owns
/// the server owns this.
class ServerPredictor {
public:
  explicit ServerPredictor(PredictorSettings settings);

  /// A prefill of so many tokens took so long, queueing excluded.
  void observePrefill(uint32_t tokens, Duration took);
  /// So many tokens of one answer took so long, the first one excluded.
  void observeDecode(uint32_t tokens, Duration took);
  /// A prefill or decode is not yet over after so long. Counts only when that
  /// is longer than predicted: a server that has become slow is noticed before
  /// anything of it ends.
  void observeUnfinishedPrefill(uint32_t tokens, Duration elapsed);
  void observeUnfinishedDecode(uint32_t tokens, Duration elapsed);

  /// Predicted time of a prefill, at the percentile.
  Duration prefill(uint32_t tokens) const;
  /// Predicted time of an answer after its first token, at the percentile.
  Duration decode(uint32_t tokens) const;
  /// Tokens a second by these predictions, for LoadReport.
  uint32_t prefillRate() const;

private:
  PredictorSettings Settings;
  QuantileTracker PrefillMicros; ///< Per token.
  QuantileTracker DecodeMicros;  ///< Per token.
};

} // namespace daisytack
