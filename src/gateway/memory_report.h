/// Reports the memory of this process as metrics, and in the log when it comes
/// near the limit.
#pragma once

#include "base/decision_log.h"
#include "base/standard_metrics.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace daisytack::gateway {

/// A threshold of the memory limit that memory use has passed, or has come back
/// below.
struct MemoryChange {
  unsigned Percent = 0; ///< Threshold in percent of the limit.
  bool IsAbove = false;
  bool operator==(const MemoryChange &) const = default;
};

/// Decides when a change of memory use is worth a log line.
class MemoryThresholds {
public:
  /// Memory use has come back when it is this far below the threshold, in
  /// percent of the limit. Use that varies around a threshold then gives two
  /// lines and not many.
  static constexpr unsigned ReturnMargin = 5;

  explicit MemoryThresholds(uint64_t limitBytes) : Limit(limitBytes) {}
  /// Returns the highest threshold that was passed since the last call, or the
  /// lowest one below which memory use came back.
  std::optional<MemoryChange> onUsage(uint64_t residentBytes);

private:
  uint64_t Limit;
  unsigned Passed = 0; ///< Highest threshold passed, in percent; 0: none.
};

class MemoryReport {
public:
  /// Returns log fields that count what holds memory.
  using HolderCounts = std::function<DecisionLog::Fields()>;

  MemoryReport(uint64_t limitBytes, HolderCounts countHolders, Metrics &metrics,
               DecisionLog &log);
  /// Call several times per second.
  void onUsage(const ProcessUsage &usage, TimePoint now);

private:
  uint64_t Limit;
  HolderCounts CountHolders;
  DecisionLog &Log;
  MemoryThresholds Thresholds;
  Gauge &Resident;
  Gauge &Peak;
};

} // namespace daisytack::gateway
