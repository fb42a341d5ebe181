/// Counts every call of a process to the platform's key-value service and
/// instance list, and limits their rate.
#pragma once

#include "base/metrics.h"
#include "edge/instance_list.h"
#include "edge/kv.h"

#include <functional>
#include <memory>
#include <mutex>

namespace daisytack::edge {

/// Token bucket for calls. Thread-safe.
class CallBudget {
public:
  /// Maximum number of calls in a burst.
  static constexpr double Burst = 20;

  CallBudget(double callsPerSecond, std::function<TimePoint()> clock,
             Metrics &metrics);

  /// Purpose of a call. Writes, which include calls for leases, may use the
  /// whole bucket; reads leave a quarter of it to them.
  enum class Use : uint8_t { Read, Write };
  /// Counts the call and returns true, or returns false when the call is over
  /// budget.
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

/// Wraps the hooks so that each call is charged to the budget. A call over
/// budget fails with Unavailable and BudgetSpent before the hook returns.
KvStore withBudget(KvStore store, std::shared_ptr<CallBudget> budget);
InstanceList withBudget(InstanceList list, std::shared_ptr<CallBudget> budget);

} // namespace daisytack::edge
