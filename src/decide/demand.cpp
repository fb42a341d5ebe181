#include "decide/demand.h"

#include <algorithm>
#include <cmath>

namespace daisytack {

namespace {

constexpr Duration TimeConstant{10'000'000};
/// From this number of organisations on, idle ones are searched for at every
/// request instead of once per time constant.
constexpr size_t EvictionThreshold = 8'192;

double inTimeConstants(double micros) {
  return micros / static_cast<double>(TimeConstant.count());
}

} // namespace

double DemandTracker::DecayedDemand::decayed(TimePoint now) const {
  double age = static_cast<double>((now - UpdatedAt).count());
  return age <= 0 ? WorkMicros : WorkMicros * std::exp(-inTimeConstants(age));
}

void DemandTracker::DecayedDemand::add(Duration work, TimePoint now) {
  WorkMicros = decayed(now) + static_cast<double>(work.count());
  UpdatedAt = std::max(UpdatedAt, now);
}

void DemandTracker::record(uint64_t organisation, uint32_t weight,
                           Duration work, TimePoint now) {
  Total.add(work, now);
  DecayedDemand &own = Organisations[organisation];
  own.add(work, now);
  ActiveWeight += static_cast<double>(weight) - own.Weight;
  own.Weight = weight;
  if (now >= LastEvictionAt + TimeConstant ||
      Organisations.size() >= EvictionThreshold)
    evictIdle(now);
}

void DemandTracker::evictIdle(TimePoint now) {
  LastEvictionAt = now;
  std::erase_if(Organisations, [&](const auto &it) {
    if (now - it.second.UpdatedAt <= TimeConstant)
      return false;
    ActiveWeight -= it.second.Weight;
    return true;
  });
}

double DemandTracker::demandOf(uint64_t organisation, TimePoint now) const {
  auto it = Organisations.find(organisation);
  return it == Organisations.end() ? 0
                                   : inTimeConstants(it->second.decayed(now));
}

double DemandTracker::demandOfOthers(uint64_t organisation,
                                     TimePoint now) const {
  return std::max(
      inTimeConstants(Total.decayed(now)) - demandOf(organisation, now), 0.0);
}

double DemandTracker::fairShare(uint64_t organisation, uint32_t weight) const {
  double all = ActiveWeight;
  if (!Organisations.contains(organisation))
    all += weight;
  return all > 0 ? std::min(weight / all, 1.0) : 1.0;
}

} // namespace daisytack
