#include "decide/predictor.h"

#include <algorithm>
#include <cmath>

namespace daisytack {

namespace {

constexpr double MicrosPerSecond = 1e6;
/// Lower bound of a tracked value: the estimate changes by factors, so that it
/// could never leave zero.
constexpr double MinMicros = 1e-3;

Duration toDuration(double micros) {
  return Duration(static_cast<int64_t>(std::ceil(micros)));
}

} // namespace

QuantileTracker::QuantileTracker(double percentile, double step, double initial)
    : Percentile(percentile), Step(step), Value(std::max(initial, MinMicros)) {}

void QuantileTracker::observe(double value) {
  value = std::max(value, MinMicros);
  ++Count;
  if (Count == 1) {
    Value = value;
    return;
  }
  if (value > Value)
    Value = std::min(value, Value * std::exp(Step * Percentile));
  else if (value < Value)
    Value = std::max(value, Value * std::exp(-Step * (1.0 - Percentile)));
}

ServerPredictor::ServerPredictor(PredictorSettings settings)
    : Settings(settings),
      PrefillMicros(settings.Percentile, settings.Step,
                    MicrosPerSecond / settings.PrefillTokensPerSecond),
      DecodeMicros(settings.Percentile, settings.Step,
                   MicrosPerSecond / settings.DecodeTokensPerSecond) {}

void ServerPredictor::observePrefill(uint32_t tokens, Duration took) {
  if (tokens == 0)
    return;
  PrefillMicros.observe(static_cast<double>(took.count()) /
                        (tokens + Settings.PrefillOverheadTokens));
}

void ServerPredictor::observeDecode(uint32_t tokens, Duration took) {
  if (tokens == 0)
    return;
  DecodeMicros.observe(static_cast<double>(took.count()) / tokens);
}

void ServerPredictor::observeUnfinishedPrefill(uint32_t tokens,
                                               Duration elapsed) {
  if (elapsed > prefill(tokens))
    observePrefill(tokens, elapsed);
}

void ServerPredictor::observeUnfinishedDecode(uint32_t tokens,
                                              Duration elapsed) {
  if (elapsed > decode(tokens))
    observeDecode(tokens, elapsed);
}

Duration ServerPredictor::prefill(uint32_t tokens) const {
  if (tokens == 0)
    return Duration{0};
  return toDuration((tokens + Settings.PrefillOverheadTokens) *
                    PrefillMicros.value() * (1.0 + Settings.Margin));
}

Duration ServerPredictor::decode(uint32_t tokens) const {
  return toDuration(tokens * DecodeMicros.value() * (1.0 + Settings.Margin));
}

uint32_t ServerPredictor::prefillRate() const {
  double rate =
      MicrosPerSecond / (PrefillMicros.value() * (1.0 + Settings.Margin));
  return static_cast<uint32_t>(std::clamp(rate, 1.0, 4e9));
}

} // namespace daisytack
