#include "gateway/memory_report.h"

#include <algorithm>
#include <array>
#include <utility>

namespace daisytack::gateway {

namespace {

constexpr std::array<unsigned, 2> ThresholdPercents{80, 95};
constexpr uint64_t BytesPerMb = 1'000'000;
constexpr uint64_t WholePercent = 100;

} // namespace

std::optional<MemoryChange> MemoryThresholds::onUsage(uint64_t residentBytes) {
  uint64_t used = residentBytes * WholePercent;
  unsigned before = Passed;
  for (unsigned percent : ThresholdPercents)
    if (used >= percent * Limit)
      Passed = std::max(Passed, percent);
  if (Passed > before)
    return MemoryChange{Passed, true};
  // From the highest threshold down, so that the lowest one is left.
  std::optional<MemoryChange> out;
  for (auto it = ThresholdPercents.rbegin(); it != ThresholdPercents.rend();
       ++it) {
    if (Passed < *it)
      continue;
    if (used >= (*it - ReturnMargin) * Limit)
      break;
    out = MemoryChange{*it, false};
    Passed = std::next(it) == ThresholdPercents.rend() ? 0 : *std::next(it);
  }
  return out;
}

MemoryReport::MemoryReport(uint64_t limitBytes, HolderCounts countHolders,
                           Metrics &metrics, DecisionLog &log)
    : Limit(limitBytes), CountHolders(std::move(countHolders)), Log(log),
      Thresholds(limitBytes),
      Resident(metrics.gauge(metric::ProcessMemory,
                             "Resident memory of the whole process")),
      Peak(metrics.gauge(metric::ProcessMemoryPeak,
                         "Highest resident memory since the start")) {
  metrics
      .gauge(
          metric::ProcessMemoryLimit,
          "Memory of the instance, above which the platform ends the process")
      .set(static_cast<int64_t>(limitBytes));
}

void MemoryReport::onUsage(const ProcessUsage &usage, TimePoint now) {
  Resident.set(static_cast<int64_t>(usage.ResidentBytes));
  Peak.set(static_cast<int64_t>(usage.PeakResidentBytes));
  auto change = Thresholds.onUsage(usage.ResidentBytes);
  if (!change)
    return;
  DecisionLog::Fields fields = CountHolders();
  fields["percent"] = change->Percent;
  fields["resident_mb"] = usage.ResidentBytes / BytesPerMb;
  fields["peak_mb"] = usage.PeakResidentBytes / BytesPerMb;
  fields["limit_mb"] = Limit / BytesPerMb;
  Log.write(LogPriority::Notable,
            change->IsAbove ? "memory_high" : "memory_fell", std::move(fields),
            now);
}

} // namespace daisytack::gateway
