/// Metric names and series shared by several processes, defined once so that
/// they agree; listed in docs/METRICS.md.
#pragma once

#include "base/metrics.h"

#include <map>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <utility>

namespace daisytack {

/// Names of metrics in the output of /metrics.
namespace metric {
constexpr const char *FirstToken = "daisytack_first_token_seconds";
constexpr const char *PromptTokens = "daisytack_prompt_tokens_total";
constexpr const char *RecomputedTokens =
    "daisytack_prompt_tokens_recomputed_total";
constexpr const char *LinkBytes = "daisytack_link_bytes_total";
constexpr const char *ProcessCpu = "daisytack_process_cpu_microseconds_total";
constexpr const char *ProcessMemory = "daisytack_process_resident_bytes";
constexpr const char *ProcessMemoryPeak =
    "daisytack_process_peak_resident_bytes";
constexpr const char *ProcessMemoryLimit =
    "daisytack_process_memory_limit_bytes";
constexpr const char *CpuBudget =
    "daisytack_control_cpu_microseconds_per_second_budget";
constexpr const char *MemoryBudget = "daisytack_control_memory_bytes_budget";
constexpr const char *BytesBudget = "daisytack_control_bytes_per_second_budget";
} // namespace metric

/// Time to first token and prompt token counts of one model and class.
struct ServingSeries {
  Distribution &FirstToken;
  Counter &PromptTokens;
  Counter &RecomputedTokens;
};

/// Looks up the series of a model and class. Thread-safe. The names come from
/// configuration; pairs beyond MaxPairs share the pair "other", so that the
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
  std::map<Pair, ServingSeries> Series;
};

/// Bytes transferred between engines and stores.
struct LinkMetrics {
  /// The direction is "fetch" or "export".
  static Counter &bytes(Metrics &metrics, const std::string &direction);
};

/// Resource usage of a process as reported by the operating system.
struct ProcessUsage {
  uint64_t CpuMicros = 0;
  uint64_t ResidentBytes = 0;
  /// Highest resident memory since the start.
  uint64_t PeakResidentBytes = 0;
};

/// Processor and memory usage of a process, with gauges for the budget of the
/// control plane on a node: 4.8% of a core, 128 MB and 5 KB/s.
class ProcessMetrics {
public:
  explicit ProcessMetrics(Metrics &metrics);
  /// Sets the series. Call before the metrics are exported. Thread-safe.
  void update(const ProcessUsage &usage);

private:
  std::mutex Lock;
  Counter &Cpu;
  Gauge &Memory;
};

} // namespace daisytack
