/// Counts every call of a process to the platform's key-value service and
/// instance list, and holds them to a budget.
#pragma once

#include "base/metrics.h"
#include "edge/instance_list.h"
#include "edge/kv.h"

#include <functional>
#include <memory>
#include <mutex>

namespace daisytack::edge {

/// Token bucket. Thread-safe.
class CallBudget {
public:
  /// Calls that may come at once after a pause.
  static constexpr double Burst = 20;

  CallBudget(double callsPerSecond, std::function<TimePoint()> clock,
             Metrics &metrics);

  /// What a call is for: leases and writes may use up the bucket, reads leave a
  /// quarter of it to them.
  enum class Use : uint8_t { Read, Write };
  /// Counts the call and returns true, or returns false when it must wait.
  bool take(Use use);
  uint64_t calls() const { return Calls.get(); }

private:
  double PerSecond;
  std::function<TimePoint()> Clock;
  Counter &Calls;
  Counter &Refused;
  std::mutex Lock;
  double Tokens = Burst;
  TimePoint Last;
};

/// The same hooks, each call drawn from the budget. A call beyond it ends with
/// Unavailable and BudgetSpent before the hook returns.
KvStore withBudget(KvStore store, std::shared_ptr<CallBudget> budget);
InstanceList withBudget(InstanceList list, std::shared_ptr<CallBudget> budget);

} // namespace daisytack::edge
