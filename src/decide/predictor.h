/// Predicts how long prefills and decodes take on one backend server from
/// earlier measurements. Predictions are at a high percentile, so that few
/// accepted requests take longer than predicted.
#pragma once

#include "daisytack/types.h"

#include <cstdint>

namespace daisytack {

/// Estimates one percentile of a positive quantity by stochastic approximation
/// on a logarithmic scale. It needs constant memory and adapts when the
/// quantity changes. The estimate of a high percentile rises fast and falls
/// slowly.
class QuantileTracker {
public:
  /// The percentile lies in (0, 1). The step limits the change of the
  /// estimate's natural logarithm by one observation. The value is the
  /// initial one until the first observation, which replaces it.
  QuantileTracker(double percentile, double step, double initial);

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
  double Percentile = 0.95; ///< Percentile of the predictions, in (0, 1).
  double Step = 0.2;        ///< See QuantileTracker.
  double Margin = 0.05;     ///< Added to every prediction, as a share of it.
  double PrefillTokensPerSecond = 10'000; ///< Initial estimate.
  double DecodeTokensPerSecond = 50;      ///< Initial estimate for one run.
  double PrefillOverheadTokens = 256; ///< Fixed cost of a prefill, in tokens.
  bool operator==(const PredictorSettings &) const = default;
};

/// Predicts the prefill and decode times of one server. Not thread-safe: it
/// belongs to the server's agent.
class ServerPredictor {
public:
  explicit ServerPredictor(PredictorSettings settings);

  /// Records how long a prefill of the number of tokens took, without its time
  /// in the queue.
  void observePrefill(uint32_t tokens, Duration took);
  /// Records how long the decode of one answer's tokens took, excluding the
  /// first token and its time.
  void observeDecode(uint32_t tokens, Duration took);
  /// Records a prefill that has not ended after the elapsed time. It counts
  /// only if that is longer than predicted, so that a server that has become
  /// slow is noticed before one of its runs ends.
  void observeUnfinishedPrefill(uint32_t tokens, Duration elapsed);
  /// Records a decode that has not ended after the elapsed time, under the same
  /// condition as observeUnfinishedPrefill.
  void observeUnfinishedDecode(uint32_t tokens, Duration elapsed);

  /// Predicted time of a prefill at Settings.Percentile; zero for no tokens.
  Duration prefill(uint32_t tokens) const;
  /// Predicted time to decode the given number of tokens after the first one,
  /// at Settings.Percentile.
  Duration decode(uint32_t tokens) const;
  /// Predicted prefill rate in tokens per second, for LoadReport.
  uint32_t prefillRate() const;

private:
  PredictorSettings Settings;
  QuantileTracker PrefillMicros; ///< Microseconds per token.
  QuantileTracker DecodeMicros;  ///< Microseconds per token.
};

} // namespace daisytack
