/// Bounded ring buffer of typed events, and the hybrid logical clock that
/// timestamps them.
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
  /// Returns the time of a new local event, later than all times returned or
  /// merged before.
  HybridTime tick(WallTime now);
  /// Merges the time of a received message, unless it is too far ahead of now.
  void observe(const HybridTime &remote, WallTime now);

private:
  std::mutex Lock;
  HybridTime Last;
};

/// The latest events of one process. Thread-safe; when full, the oldest are
/// overwritten.
class EventRing {
public:
  /// The wall clock is injected, so that tests control the time.
  EventRing(size_t capacity, std::function<WallTime()> clock);

  /// Timestamps and stores the event.
  void record(Event event);

  /// Merges a received hybrid time, so that later local events sort after the
  /// event that caused them.
  void observe(const HybridTime &remote);
  /// Hybrid time for a message that is about to be sent.
  HybridTime stamp();

  /// A page of events. Sequence numbers are consecutive, so a gap shows how
  /// many events were overwritten.
  struct Page {
    uint64_t FirstSequence = 0; ///< Sequence number of Events.front().
    uint64_t NextSequence = 0;  ///< Start of the next page.
    std::vector<Event> Events;
  };
  /// Events from the sequence number on, or from the oldest stored one if that
  /// is later; at most limit.
  Page read(uint64_t fromSequence, size_t limit) const;

private:
  std::function<WallTime()> Clock;
  HybridClock Hybrid;
  mutable std::mutex Lock;
  std::vector<Event> Slots;
  uint64_t Next = 0;
};

} // namespace daisytack
