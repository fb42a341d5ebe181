/// Measures of a deployment, summed from the metrics of its processes: time to
/// first token, share of recomputed prompt tokens and number of bytes
/// transferred between engines and stores.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace daisytack::query {

/// Measures of requests for one model and class.
struct ServingMeasure {
  std::map<double, uint64_t> FirstTokenBuckets; ///< Cumulative request counts
                                                ///< by upper bound, in seconds.
  uint64_t PromptTokens = 0;
  uint64_t RecomputedTokens = 0;

  /// Upper bound, in seconds, of the bucket that contains the quantile of the
  /// time to first token; 0 without requests.
  double firstTokenQuantile(double quantile) const;
  uint64_t requests() const;
  /// Recomputed prompt tokens divided by all prompt tokens; 0 without prompt
  /// tokens.
  double recomputedShare() const;
};

struct Measures {
  /// By model and class.
  std::map<std::pair<std::string, std::string>, ServingMeasure> Serving;
  std::map<std::string, uint64_t> LinkBytes; ///< By direction.
  size_t Processes = 0;                      ///< Number of processes added.

  /// Adds the metrics of one process, in the Prometheus text format.
  void add(std::string_view prometheusText);
};

} // namespace daisytack::query
