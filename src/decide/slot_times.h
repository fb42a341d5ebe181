/// Simulates the slots of one server: when a run would start, given those
/// before it.
#pragma once

#include "daisytack/types.h"
#include "decide/run_request.h"

#include <boost/container/small_vector.hpp>

#include <algorithm>
#include <cstddef>
#include <functional>

namespace daisytack {

/// Up to so many slots a plan allocates nothing.
constexpr size_t UsualSlots = 64;

/// Times at which the slots become free, as a binary heap with the earliest
/// first, and, for an engine that prefills one run after another, the time at
/// which it has done the prefills before. Runs go in the order given, also when
/// one waits for its context: then no run that takes less time than predicted
/// makes another one later.
class SlotTimes {
public:
  SlotTimes(bool serial, TimePoint now) : Serial(serial), Prefilling(now) {}

  /// One more slot, busy until then.
  void add(TimePoint t) {
    Times.push_back(t);
    std::push_heap(Times.begin(), Times.end(), std::greater<>());
  }
  /// The engine prefills until then.
  void prefillUntil(TimePoint t) { Prefilling = std::max(Prefilling, t); }
  /// Runs a request on the earliest slot; its start is returned.
  TimePoint run(const RunRequest &request) {
    TimePoint start = std::max(earliest(), request.Ready);
    if (Serial)
      Prefilling = start + request.Prefill;
    replaceEarliest(start + request.service());
    return start;
  }
  /// When the next run could start.
  TimePoint earliest() const {
    return Serial ? std::max(Times[0], Prefilling) : Times[0];
  }

private:
  /// One pass down the heap.
  void replaceEarliest(TimePoint t) {
    size_t at = 0;
    for (size_t child = 1; child < Times.size(); child = 2 * at + 1) {
      if (child + 1 < Times.size() && Times[child + 1] < Times[child])
        ++child;
      if (t <= Times[child])
        break;
      Times[at] = Times[child];
      at = child;
    }
    Times[at] = t;
  }

  boost::container::small_vector<TimePoint, UsualSlots> Times;
  bool Serial;
  TimePoint Prefilling;
};

} // namespace daisytack
