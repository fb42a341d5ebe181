/// Names and series that several processes share, so that they agree; listed in
/// docs/METRICS.md.
#pragma once

#include "base/metrics.h"

#include <map>
#include <shared_mutex>
#include <string>
#include <utility>

namespace daisytack {

/// Names of the three measures, as on /metrics.
namespace metric {
constexpr const char *FirstToken = "daisytack_first_token_seconds";
constexpr const char *PromptTokens = "daisytack_prompt_tokens_total";
constexpr const char *RecomputedTokens =
    "daisytack_prompt_tokens_recomputed_total";
constexpr const char *LinkBytes = "daisytack_link_bytes_total";
constexpr const char *ControlBytes = "daisytack_control_bytes_total";
constexpr const char *ControlBytesBudget =
    "daisytack_control_bytes_per_second_budget";
constexpr const char *ControlCpu = "daisytack_control_cpu_microseconds_total";
constexpr const char *ControlCpuBudget =
    "daisytack_control_cpu_microseconds_per_second_budget";
} // namespace metric

/// Processor time that control may take: 4.8% of a core.
constexpr int64_t ControlCpuMicrosPerSecond = 48'000;

/// Time to first token and share recomputed, for one model and class.
struct ServingSeries {
  Distribution &FirstToken;
  Counter &PromptTokens;
  Counter &RecomputedTokens;
};

/// Looks up the series of a model and class. Thread-safe; the names come from
/// configuration, and pairs beyond MaxPairs share the pair "other", so that the
/// number of series stays bounded.
class ServingMetrics {
public:
  static constexpr size_t MaxPairs = 256;

  explicit ServingMetrics(Metrics &metrics) : Owner(metrics) {}
  ServingSeries of(const std::string &model, const std::string &requestClass);

private:
  using Pair = std::pair<std::string, std::string>;

  ServingSeries make(const Pair &pair);

  Metrics &Owner;
  std::shared_mutex Lock;
  std::map<Pair, ServingSeries> Known;
};

/// Bytes over the links between store tiers and engines.
struct LinkMetrics {
  /// Tier: "memory" or "disk". Direction: "fetch" or "export".
  static Counter &bytes(Metrics &metrics, const std::string &tier,
                        const std::string &direction);
};

/// Control's use of bytes and processor, and the budgets beside them.
struct ControlMetrics {
  explicit ControlMetrics(Metrics &metrics, int64_t bytesPerSecondBudget);

  Counter &BytesSent;
  Counter &BytesReceived;
  Counter &CpuMicros;
};

} // namespace daisytack
