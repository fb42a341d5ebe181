/// The three measures of a deployment, summed from its processes' metrics.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace daisytack::query {

/// One model and class.
struct ServingMeasure {
  std::map<double, uint64_t> FirstTokenBuckets; ///< Cumulative counts by upper
                                                ///< edge, seconds.
  uint64_t PromptTokens = 0;
  uint64_t RecomputedTokens = 0;

  /// Upper edge of the bin in which the quantile falls; 0 without requests.
  double firstTokenQuantile(double quantile) const;
  uint64_t requests() const;
  /// 0..1; 0 without prompt tokens.
  double recomputedShare() const;
};

struct Measures {
  std::map<std::pair<std::string, std::string>, ServingMeasure> Serving;
  std::map<std::string, uint64_t> LinkBytes; ///< By direction.
  size_t Processes = 0;                      ///< That answered.

  /// Adds what one process shows on /metrics.
  void add(std::string_view prometheusText);
};

} // namespace daisytack::query
