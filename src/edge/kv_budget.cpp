#include "edge/kv_budget.h"

#include <algorithm>
#include <utility>

namespace daisytack::edge {

namespace {

constexpr double ReadReserve = CallBudget::Burst / 4;
constexpr double MicrosPerSecond = 1e6;

Error budgetSpent() {
  return {ErrorKind::BudgetSpent,
          "calls to the platform's service are over this process's budget"};
}

/// An asynchronous hook of the key-value service or the instance list.
template <class Argument, class Result>
using Hook =
    std::function<void(Argument, Duration, std::function<void(Result)>)>;

template <class Argument, class Result>
Hook<Argument, Result> limited(Hook<Argument, Result> hook,
                               std::shared_ptr<CallBudget> budget,
                               CallBudget::Use use) {
  return [hook = std::move(hook), budget = std::move(budget),
          use](Argument argument, Duration timeout,
               std::function<void(Result)> done) {
    if (budget->take(use))
      return hook(std::move(argument), timeout, std::move(done));
    Result out;
    if constexpr (requires { out.Header; })
      out.Header.Reason = budgetSpent();
    else
      out.Reason = budgetSpent();
    done(std::move(out));
  };
}

} // namespace

CallBudget::CallBudget(double callsPerSecond, std::function<TimePoint()> clock,
                       Metrics &metrics)
    : PerSecond(callsPerSecond), Clock(std::move(clock)),
      Calls(metrics.counter("daisytack_platform_calls_total",
                            "Calls to the key-value service and the list")),
      Refused(metrics.counter(
          "daisytack_platform_calls_over_budget_total",
          "Calls to the platform that were not made: budget spent")),
      Last(Clock()) {}

bool CallBudget::take(Use use) {
  std::lock_guard guard(Lock);
  TimePoint now = Clock();
  double seconds = static_cast<double>((now - Last).count()) / MicrosPerSecond;
  Last = std::max(Last, now);
  Tokens = std::min(Burst, Tokens + std::max(seconds, 0.0) * PerSecond);
  double least = use == Use::Read ? 1 + ReadReserve : 1;
  if (Tokens < least) {
    Refused.add();
    return false;
  }
  Tokens -= 1;
  Calls.add();
  return true;
}

KvStore withBudget(KvStore store, std::shared_ptr<CallBudget> budget) {
  using Use = CallBudget::Use;
  KvStore out;
  out.Range = limited(store.Range, budget, Use::Read);
  out.Commit = limited(store.Commit, budget, Use::Write);
  out.GrantLease = limited(store.GrantLease, budget, Use::Write);
  out.KeepLease = limited(store.KeepLease, budget, Use::Write);
  out.RevokeLease = limited(store.RevokeLease, budget, Use::Write);
  out.Watch = [watch = std::move(store.Watch),
               budget](std::string begin, std::string end,
                       uint64_t fromRevision, KvWatchHooks hooks) -> KvCancel {
    if (budget->take(Use::Read))
      return watch(std::move(begin), std::move(end), fromRevision,
                   std::move(hooks));
    KvHeader header;
    header.Reason = budgetSpent();
    hooks.Ended(header, 0);
    return [] {};
  };
  // No call: the store remembers the era of its last answer.
  out.LatestEra = std::move(store.LatestEra);
  return out;
}

InstanceList withBudget(InstanceList list, std::shared_ptr<CallBudget> budget) {
  InstanceList out;
  out.Poll =
      limited(std::move(list.Poll), std::move(budget), CallBudget::Use::Read);
  return out;
}

} // namespace daisytack::edge
