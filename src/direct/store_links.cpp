#include "direct/store_links.h"

#include <algorithm>
#include <cmath>

namespace daisytack::direct {

double StoreLinks::faded(const Delay &delay, TimePoint now) const {
  double halvings = static_cast<double>((now - delay.At).count()) /
                    static_cast<double>(Settings.HalfLife.count());
  return delay.Ms * std::exp2(-std::max(halvings, 0.0));
}

void StoreLinks::observe(const std::optional<Endpoint> &store, double lateMs,
                         TimePoint now) {
  double seen = std::clamp(lateMs, 0.0, Settings.MostMs);
  std::lock_guard guard(Lock);
  Delay &delay = Delays[store];
  delay.Ms = faded(delay, now) * (1 - Settings.Weight) + seen * Settings.Weight;
  delay.At = now;
}

double StoreLinks::excessMs(const Endpoint &store, TimePoint now) const {
  std::lock_guard guard(Lock);
  auto it = Delays.find(store);
  if (it == Delays.end())
    return 0;
  double own = faded(it->second, now);
  double least = own;
  for (const auto &[other, delay] : Delays)
    least = std::min(least, faded(delay, now));
  return own - least;
}

} // namespace daisytack::direct
