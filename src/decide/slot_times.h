/// Simulates the slots of one server to predict when each run starts, given the
/// runs before it.
#pragma once

#include "daisytack/types.h"
#include "decide/run_request.h"

#include <boost/container/small_vector.hpp>

#include <algorithm>
#include <cstddef>
#include <functional>

namespace daisytack {

/// Number of slots up to which SlotTimes needs no heap allocation.
constexpr size_t InlineSlots = 64;

/// Times at which the slots become free, as a binary heap with the earliest
/// first. For an engine that prefills one run after another, also the time at
/// which it has finished the earlier prefills. Runs are simulated in the given
/// order, even if one waits for its context, so that a run that takes less time
/// than predicted never delays another one.
class SlotTimes {
public:
  /// isSerialPrefill says whether the engine prefills one run after another.
  SlotTimes(bool isSerialPrefill, TimePoint now)
      : IsSerialPrefill(isSerialPrefill), PrefillBusyUntil(now) {}

  /// Adds a slot that is busy until t.
  void addSlot(TimePoint t) {
    FreeAt.push_back(t);
    std::push_heap(FreeAt.begin(), FreeAt.end(), std::greater<>());
  }
  /// Notes that the engine is busy with a prefill until t.
  void prefillUntil(TimePoint t) {
    PrefillBusyUntil = std::max(PrefillBusyUntil, t);
  }
  /// Simulates a run of the request on the earliest free slot and returns its
  /// start.
  TimePoint schedule(const RunRequest &request) {
    TimePoint start = std::max(earliestStart(), request.ContextReady);
    if (IsSerialPrefill)
      PrefillBusyUntil = start + request.Prefill;
    replaceEarliestSlot(start + request.service());
    return start;
  }
  /// Earliest time at which another run could start. There must be a slot.
  TimePoint earliestStart() const {
    return IsSerialPrefill ? std::max(FreeAt[0], PrefillBusyUntil) : FreeAt[0];
  }

private:
  /// Replaces the root of the heap, moving down the heap once.
  void replaceEarliestSlot(TimePoint t) {
    size_t at = 0;
    for (size_t child = 1; child < FreeAt.size(); child = 2 * at + 1) {
      if (child + 1 < FreeAt.size() && FreeAt[child + 1] < FreeAt[child])
        ++child;
      if (t <= FreeAt[child])
        break;
      FreeAt[at] = FreeAt[child];
      at = child;
    }
    FreeAt[at] = t;
  }

  boost::container::small_vector<TimePoint, InlineSlots> FreeAt;
  bool IsSerialPrefill;
  TimePoint PrefillBusyUntil;
};

} // namespace daisytack
