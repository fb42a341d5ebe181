#include "decide/load_view.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace daisytack {

namespace {

/// Upper bound of a reported wait: one hour.
constexpr uint64_t MaxWaitMicros = 3'600'000'000ULL;

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

LoadView::Slot &LoadView::findOrAssign(uint64_t server, TimePoint now) {
  Slot *set = &Slots[(server & SetMask) * SetSize];
  Slot *candidate = set;
  for (size_t i = 0; i < SetSize; ++i) {
    uint64_t assigned = set[i].Server.load(std::memory_order_acquire);
    if (assigned == server)
      return set[i];
    if (assigned == 0) {
      candidate = &set[i];
      break;
    }
    if (set[i].UpdatedAt.load(std::memory_order_relaxed) <
        candidate->UpdatedAt.load(std::memory_order_relaxed))
      candidate = &set[i];
  }
  candidate->WaitMicros.store(0, std::memory_order_relaxed);
  candidate->PrefillRate.store(0, std::memory_order_relaxed);
  candidate->Leaving.store(false, std::memory_order_relaxed);
  candidate->SlowStartSince.store(NoSlowStart, std::memory_order_relaxed);
  candidate->UpdatedAt.store(microsOf(now), std::memory_order_relaxed);
  candidate->Server.store(server, std::memory_order_release);
  return *candidate;
}

Duration LoadView::decayedWait(const Slot &slot, TimePoint now) const {
  int64_t age = microsOf(now) - slot.UpdatedAt.load(std::memory_order_relaxed);
  auto wait =
      static_cast<double>(slot.WaitMicros.load(std::memory_order_relaxed));
  if (age <= 0 || wait <= 0)
    return Duration(static_cast<int64_t>(std::max(wait, 0.0)));
  // A queue takes about as long as its wait to empty, so a short wait becomes
  // outdated sooner than a long one.
  double halfLife =
      std::clamp(wait, static_cast<double>(Settings.ShortestHalfLife.count()),
                 static_cast<double>(Settings.LongestHalfLife.count()));
  double halvings = static_cast<double>(age) / halfLife;
  return Duration(static_cast<int64_t>(wait * std::exp2(-halvings)));
}

void LoadView::observe(uint64_t server, const wire::LoadReport &report,
                       TimePoint now) {
  Slot &slot = findOrAssign(server, now);
  slot.WaitMicros.store(
      static_cast<int64_t>(std::min(report.WaitMicros, MaxWaitMicros)),
      std::memory_order_relaxed);
  slot.PrefillRate.store(report.PrefillTokensPerSecond,
                         std::memory_order_relaxed);
  slot.Leaving.store(report.Leaving, std::memory_order_relaxed);
  slot.UpdatedAt.store(microsOf(now), std::memory_order_relaxed);
}

void LoadView::addWork(uint64_t server, Duration work, TimePoint now) {
  Slot &slot = findOrAssign(server, now);
  Duration wait = decayedWait(slot, now) + work;
  slot.WaitMicros.store(wait.count(), std::memory_order_relaxed);
  slot.UpdatedAt.store(microsOf(now), std::memory_order_relaxed);
}

void LoadView::startSlowStart(uint64_t server, TimePoint now) {
  findOrAssign(server, now)
      .SlowStartSince.store(microsOf(now), std::memory_order_relaxed);
}

LoadEstimate LoadView::estimate(uint64_t server, TimePoint now) const {
  LoadEstimate out;
  out.PrefillRate = Settings.DefaultPrefillRate;
  const Slot *slot = find(server);
  if (slot == nullptr)
    return out;
  out.HasData = true;
  out.Leaving = slot->Leaving.load(std::memory_order_relaxed);
  out.Wait = decayedWait(*slot, now);
  if (uint32_t rate = slot->PrefillRate.load(std::memory_order_relaxed))
    out.PrefillRate = rate;
  int64_t since = slot->SlowStartSince.load(std::memory_order_relaxed);
  if (since == NoSlowStart)
    return out;
  double ramp = static_cast<double>(microsOf(now) - since) /
                static_cast<double>(Settings.SlowStart.count());
  out.TrafficShare = std::clamp(ramp, Settings.SlowStartFloor, 1.0);
  return out;
}

} // namespace daisytack
