/// A deterministic queue of things to happen: in order of time, then of entry.
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
  void after(Duration delay, Action action) {
    Waiting.emplace(std::pair(Now + delay, ++Entered), std::move(action));
  }
  /// Runs everything up to the time.
  void runUntil(TimePoint end) {
    while (!Waiting.empty() && Waiting.begin()->first.first <= end) {
      auto it = Waiting.begin();
      Now = it->first.first;
      Action action = std::move(it->second);
      Waiting.erase(it);
      action();
    }
    Now = end;
  }

private:
  TimePoint Now{Duration(1'000'000)};
  uint64_t Entered = 0;
  std::map<std::pair<TimePoint, uint64_t>, Action> Waiting;
};

} // namespace daisytack::matrix
