/// Bounded ring of typed events, and the hybrid logical clock that stamps them.
#pragma once

#include "daisytack/event.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

namespace daisytack {

/// Hybrid logical clock. Thread-safe.
class HybridClock {
public:
  /// Time of a local event.
  HybridTime tick(WallTime now);
  /// Merges the time of a received message.
  void observe(const HybridTime &remote, WallTime now);

private:
  std::mutex Lock;
  HybridTime Last;
};

/// The latest events of one process. Thread-safe; the oldest are overwritten.
class EventRing {
public:
  /// The wall clock is a dependency, so that tests decide the time.
  EventRing(size_t capacity, std::function<WallTime()> clock);

  /// Stamps and keeps the event.
  void record(Event event);

  /// Merges a received hybrid time, so that later events here sort after its
  /// cause.
  void observe(const HybridTime &remote);
  /// Current hybrid time, for a message about to be sent.
  HybridTime stamp();

  /// A page of events; Sequence numbers are consecutive, so a gap shows what
  /// was overwritten.
  struct Page {
    uint64_t FirstSequence = 0; ///< Of Events.front().
    uint64_t NextSequence = 0;  ///< To ask for next.
    std::vector<Event> Events;
  };
  /// Events from the sequence number on, or from the oldest kept one; at most
  /// the limit.
  Page read(uint64_t fromSequence, size_t limit) const;

private:
  std::function<WallTime()> Clock;
  HybridClock Hybrid;
  mutable std::mutex Lock;
  std::vector<Event> Slots;
  uint64_t Next = 0;
};

} // namespace daisytack
