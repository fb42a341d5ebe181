/// Deterministic queue of timed actions on a simulated clock. Actions due at
/// the same time run in the order in which they were scheduled.
#pragma once

#include "daisytack/types.h"

#include <functional>
#include <map>
#include <utility>

namespace daisytack::matrix {

class EventQueue {
public:
  using Action = std::function<void()>;

  TimePoint now() const { return Now; }
  void schedule(Duration delay, Action action) {
    Events.emplace(std::pair(Now + delay, ++Scheduled), std::move(action));
  }
  /// Runs all actions due up to and including end, then sets the clock to it.
  void runUntil(TimePoint end) {
    while (!Events.empty() && Events.begin()->first.first <= end) {
      auto it = Events.begin();
      Now = it->first.first;
      Action action = std::move(it->second);
      Events.erase(it);
      action();
    }
    Now = end;
  }

private:
  TimePoint Now{Duration(1'000'000)};
  uint64_t Scheduled = 0;
  std::map<std::pair<TimePoint, uint64_t>, Action> Events;
};

} // namespace daisytack::matrix
