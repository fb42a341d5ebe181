#include "decide/load_view.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace daisytack {

namespace {

/// A longer reported wait, an hour, is taken for this.
constexpr uint64_t MostMicros = 3'600'000'000ULL;

int64_t microsOf(TimePoint t) { return t.time_since_epoch().count(); }

} // namespace

LoadView::LoadView(LoadViewSettings settings)
    : Settings(settings),
      SetMask(std::bit_ceil(std::max(settings.Capacity, SetSize)) / SetSize -
              1),
      Slots((SetMask + 1) * SetSize) {}

const LoadView::Slot *LoadView::find(uint64_t server) const {
  const Slot *set = &Slots[(server & SetMask) * SetSize];
  for (size_t i = 0; i < SetSize; ++i)
    if (set[i].Server.load(std::memory_order_acquire) == server)
      return &set[i];
  return nullptr;
}

LoadView::Slot &LoadView::claim(uint64_t server, TimePoint now) {
  Slot *set = &Slots[(server & SetMask) * SetSize];
  Slot *oldest = set;
  for (size_t i = 0; i < SetSize; ++i) {
    uint64_t owner = set[i].Server.load(std::memory_order_acquire);
    if (owner == server)
      return set[i];
    if (owner == 0) {
      oldest = &set[i];
      break;
    }
    if (set[i].At.load(std::memory_order_relaxed) <
        oldest->At.load(std::memory_order_relaxed))
      oldest = &set[i];
  }
  oldest->WaitMicros.store(0, std::memory_order_relaxed);
  oldest->PrefillRate.store(0, std::memory_order_relaxed);
  oldest->Leaving.store(false, std::memory_order_relaxed);
  oldest->NewSince.store(NeverNew, std::memory_order_relaxed);
  oldest->At.store(microsOf(now), std::memory_order_relaxed);
  oldest->Server.store(server, std::memory_order_release);
  return *oldest;
}

Duration LoadView::decayed(const Slot &slot, TimePoint now) const {
  int64_t age = microsOf(now) - slot.At.load(std::memory_order_relaxed);
  auto wait =
      static_cast<double>(slot.WaitMicros.load(std::memory_order_relaxed));
  if (age <= 0 || wait <= 0)
    return Duration(static_cast<int64_t>(std::max(wait, 0.0)));
  // A queue of so much work lasts for about as long: a short wait is soon
  // gone, a long one tells for longer.
  double halfLife =
      std::clamp(wait, static_cast<double>(Settings.ShortestHalfLife.count()),
                 static_cast<double>(Settings.LongestHalfLife.count()));
  double halvings = static_cast<double>(age) / halfLife;
  return Duration(static_cast<int64_t>(wait * std::exp2(-halvings)));
}

void LoadView::observe(uint64_t server, const wire::LoadReport &report,
                       TimePoint now) {
  Slot &slot = claim(server, now);
  slot.WaitMicros.store(
      static_cast<int64_t>(std::min(report.WaitMicros, MostMicros)),
      std::memory_order_relaxed);
  slot.PrefillRate.store(report.PrefillTokensPerSecond,
                         std::memory_order_relaxed);
  slot.Leaving.store(report.Leaving, std::memory_order_relaxed);
  slot.At.store(microsOf(now), std::memory_order_relaxed);
}

void LoadView::charge(uint64_t server, Duration work, TimePoint now) {
  Slot &slot = claim(server, now);
  Duration wait = decayed(slot, now) + work;
  slot.WaitMicros.store(wait.count(), std::memory_order_relaxed);
  slot.At.store(microsOf(now), std::memory_order_relaxed);
}

void LoadView::markNew(uint64_t server, TimePoint now) {
  claim(server, now).NewSince.store(microsOf(now), std::memory_order_relaxed);
}

LoadEstimate LoadView::estimate(uint64_t server, TimePoint now) const {
  LoadEstimate out;
  out.PrefillRate = Settings.DefaultPrefillRate;
  const Slot *slot = find(server);
  if (slot == nullptr)
    return out;
  out.Known = true;
  out.Leaving = slot->Leaving.load(std::memory_order_relaxed);
  out.Wait = decayed(*slot, now);
  if (uint32_t rate = slot->PrefillRate.load(std::memory_order_relaxed))
    out.PrefillRate = rate;
  int64_t since = slot->NewSince.load(std::memory_order_relaxed);
  if (since == NeverNew)
    return out;
  double ramp = static_cast<double>(microsOf(now) - since) /
                static_cast<double>(Settings.SlowStart.count());
  out.Share = std::clamp(ramp, Settings.SlowStartFloor, 1.0);
  return out;
}

} // namespace daisytack
