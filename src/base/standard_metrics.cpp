#include "base/standard_metrics.h"

namespace daisytack {

namespace {

constexpr const char *OtherName = "other";

// Resource budget of the control plane on one node at the deployment's full
// size.
constexpr int64_t CpuMicrosPerSecondBudget = 48'000;
constexpr int64_t MemoryBytesBudget = 128'000'000;
constexpr int64_t BytesPerSecondBudget = 5'000;

} // namespace

ServingSeries ServingMetrics::of(const std::string &model,
                                 const std::string &requestClass) {
  Pair pair{model, requestClass};
  {
    std::shared_lock guard(Lock);
    auto it = Series.find(pair);
    if (it != Series.end())
      return it->second;
  }
  std::unique_lock guard(Lock);
  if (Series.size() >= MaxPairs && !Series.contains(pair))
    pair = {OtherName, OtherName};
  auto it = Series.find(pair);
  if (it == Series.end())
    it = Series.emplace(pair, make(pair)).first;
  return it->second;
}

ServingSeries ServingMetrics::make(const Pair &pair) {
  std::vector<Label> labels{{"model", pair.first}, {"class", pair.second}};
  return {Owner.distribution(metric::FirstToken,
                             "From a request's arrival to its first token.",
                             Distribution::Unit::Seconds, labels),
          Owner.counter(metric::PromptTokens, "Prompt tokens of whole answers.",
                        labels),
          Owner.counter(metric::RecomputedTokens,
                        "Prompt tokens prefilled rather than reused.", labels)};
}

Counter &LinkMetrics::bytes(Metrics &metrics, const std::string &direction) {
  return metrics.counter(metric::LinkBytes,
                         "Bytes of kept context between engines and stores.",
                         {{"direction", direction}});
}

ProcessMetrics::ProcessMetrics(Metrics &metrics)
    : Cpu(metrics.counter(metric::ProcessCpu,
                          "Processor time of the whole process.")),
      Memory(metrics.gauge(metric::ProcessMemory,
                           "Resident memory of the whole process.")) {
  metrics.gauge(metric::CpuBudget, "Processor time that control may take.")
      .set(CpuMicrosPerSecondBudget);
  metrics.gauge(metric::MemoryBudget, "Memory that control may take.")
      .set(MemoryBytesBudget);
  metrics.gauge(metric::BytesBudget, "Bytes that control may send and receive.")
      .set(BytesPerSecondBudget);
}

void ProcessMetrics::update(const ProcessUsage &usage) {
  std::lock_guard guard(Lock);
  uint64_t reported = Cpu.get();
  if (usage.CpuMicros > reported)
    Cpu.add(usage.CpuMicros - reported);
  Memory.set(static_cast<int64_t>(usage.ResidentBytes));
}

} // namespace daisytack
