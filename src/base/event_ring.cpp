#include "base/event_ring.h"

#include <algorithm>

namespace daisytack {

namespace {

/// A remote time further ahead than this is ignored as coming from a faulty
/// clock; otherwise one instance could move the timeline of the whole fleet
/// into another year.
constexpr Duration MaxClockLead{3'600'000'000};

uint64_t microsOf(WallTime time) {
  return static_cast<uint64_t>(
      std::max<int64_t>(time.time_since_epoch().count(), 0));
}

} // namespace

HybridTime HybridClock::tick(WallTime now) {
  std::lock_guard guard(Lock);
  uint64_t wall = microsOf(now);
  if (wall > Last.Wall)
    Last = {wall, 0};
  else
    ++Last.Logical;
  return Last;
}

void HybridClock::observe(const HybridTime &remote, WallTime now) {
  if (remote.Wall > microsOf(now + MaxClockLead))
    return;
  std::lock_guard guard(Lock);
  Last = std::max(Last, remote);
}

EventRing::EventRing(size_t capacity, std::function<WallTime()> clock)
    : Clock(std::move(clock)), Slots(std::max<size_t>(capacity, 1)) {}

void EventRing::record(Event event) {
  WallTime now = Clock();
  std::lock_guard guard(Lock);
  event.At = Hybrid.tick(now);
  Slots[Next % Slots.size()] = std::move(event);
  ++Next;
}

void EventRing::observe(const HybridTime &remote) {
  Hybrid.observe(remote, Clock());
}

HybridTime EventRing::stamp() { return Hybrid.tick(Clock()); }

EventRing::Page EventRing::read(uint64_t fromSequence, size_t limit) const {
  std::lock_guard guard(Lock);
  uint64_t oldest = Next - std::min<uint64_t>(Next, Slots.size());
  Page out;
  out.FirstSequence = std::clamp(fromSequence, oldest, Next);
  out.NextSequence =
      out.FirstSequence + std::min<uint64_t>(limit, Next - out.FirstSequence);
  out.Events.reserve(out.NextSequence - out.FirstSequence);
  for (uint64_t i = out.FirstSequence; i < out.NextSequence; ++i)
    out.Events.push_back(Slots[i % Slots.size()]);
  return out;
}

} // namespace daisytack
