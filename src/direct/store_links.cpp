#include "direct/store_links.h"

#include "direct/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace daisytack::direct {

double StoreLinks::faded(const Delay &delay, TimePoint now) const {
  double halvings = static_cast<double>((now - delay.At).count()) /
                    static_cast<double>(Settings.HalfLife.count());
  return delay.Ms * std::exp2(-std::max(halvings, 0.0));
}

uint64_t StoreLinks::nameOf(const std::optional<Endpoint> &store) {
  return store ? stableHash(toString(*store)) : 0;
}

void StoreLinks::observe(const std::optional<Endpoint> &store, double lateMs,
                         TimePoint now) {
  double seen = std::clamp(lateMs, 0.0, Settings.MostMs);
  uint64_t name = nameOf(store);
  std::lock_guard guard(Lock);
  learn(name, seen, now);
  if (News.size() >= Settings.MostNews)
    News.erase(News.begin());
  News.push_back({name, static_cast<uint32_t>(seen)});
}

void StoreLinks::onPeerDelays(const std::vector<LinkDelay> &delays,
                              TimePoint now) {
  std::lock_guard guard(Lock);
  for (const LinkDelay &it : delays)
    learn(it.Store, std::min<double>(it.LateMs, Settings.MostMs), now);
}

std::vector<LinkDelay> StoreLinks::takeGossip() {
  std::lock_guard guard(Lock);
  return std::exchange(News, {});
}

void StoreLinks::learn(uint64_t store, double seen, TimePoint now) {
  std::erase_if(Delays, [&](const auto &it) {
    return now >= it.second.At + Settings.ForgottenAfter;
  });
  Delay &delay = Delays[store];
  delay.Ms = faded(delay, now) * (1 - Settings.Weight) + seen * Settings.Weight;
  delay.At = now;
}

double StoreLinks::excessMs(const Endpoint &store, TimePoint now) const {
  uint64_t name = nameOf(store);
  std::lock_guard guard(Lock);
  auto it = Delays.find(name);
  if (it == Delays.end())
    return 0;
  double own = faded(it->second, now);
  double least = own;
  for (const auto &[other, delay] : Delays)
    if (now < delay.At + Settings.ComparedFor)
      least = std::min(least, faded(delay, now));
  return own - least;
}

} // namespace daisytack::direct
