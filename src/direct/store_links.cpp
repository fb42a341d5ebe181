#include "direct/store_links.h"

#include "direct/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace daisytack::direct {

double StoreLinks::decayedMs(const Delay &delay, TimePoint now) const {
  double halvings = static_cast<double>((now - delay.At).count()) /
                    static_cast<double>(Settings.HalfLife.count());
  return delay.Ms * std::exp2(-std::max(halvings, 0.0));
}

uint64_t StoreLinks::keyOf(const std::optional<Endpoint> &store) {
  return store ? stableHash(toString(*store)) : 0;
}

void StoreLinks::observe(const std::optional<Endpoint> &store, double lateMs,
                         TimePoint now) {
  double sampleMs = std::clamp(lateMs, 0.0, Settings.MaxDelayMs);
  uint64_t key = keyOf(store);
  std::lock_guard guard(Lock);
  update(key, sampleMs, now);
  if (PendingGossip.size() >= Settings.MaxGossipDelays)
    PendingGossip.erase(PendingGossip.begin());
  PendingGossip.push_back({key, static_cast<uint32_t>(sampleMs)});
}

void StoreLinks::onPeerDelays(const std::vector<LinkDelay> &delays,
                              TimePoint now) {
  std::lock_guard guard(Lock);
  for (const LinkDelay &it : delays)
    if (Delays.size() < Settings.MaxLinks || Delays.contains(it.StoreKey))
      update(it.StoreKey, std::min<double>(it.LateMs, Settings.MaxDelayMs),
             now);
}

std::vector<LinkDelay> StoreLinks::takeGossip() {
  std::lock_guard guard(Lock);
  return std::exchange(PendingGossip, {});
}

void StoreLinks::update(uint64_t store, double sampleMs, TimePoint now) {
  std::erase_if(Delays, [&](const auto &it) {
    return now >= it.second.At + Settings.DropAfter;
  });
  Delay &delay = Delays[store];
  delay.Ms = decayedMs(delay, now) * (1 - Settings.SampleWeight) +
             sampleMs * Settings.SampleWeight;
  delay.At = now;
}

double StoreLinks::excessMs(const Endpoint &store, TimePoint now) const {
  uint64_t key = keyOf(store);
  std::lock_guard guard(Lock);
  auto it = Delays.find(key);
  if (it == Delays.end())
    return 0;
  double ownMs = decayedMs(it->second, now);
  double baselineMs = ownMs;
  for (const auto &[other, delay] : Delays)
    if (now < delay.At + Settings.BaselineMaxAge)
      baselineMs = std::min(baselineMs, decayedMs(delay, now));
  return ownMs - baselineMs;
}

} // namespace daisytack::direct
