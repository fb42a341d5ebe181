#include "decide/demand.h"

#include <algorithm>
#include <cmath>

namespace daisytack {

namespace {

constexpr Duration Window{10'000'000};
/// With so many the silent ones are looked for at once, not once a window.
constexpr size_t MostOrganisations = 8'192;

double asShare(double micros) {
  return micros / static_cast<double>(Window.count());
}

} // namespace

double DemandTracker::Entry::decayed(TimePoint now) const {
  double age = static_cast<double>((now - At).count());
  return age <= 0 ? Micros : Micros * std::exp(-asShare(age));
}

void DemandTracker::Entry::add(Duration work, TimePoint now) {
  Micros = decayed(now) + static_cast<double>(work.count());
  At = std::max(At, now);
}

void DemandTracker::note(uint64_t organisation, uint32_t weight, Duration work,
                         TimePoint now) {
  All.add(work, now);
  Entry &own = Organisations[organisation];
  own.add(work, now);
  ActiveWeight += static_cast<double>(weight) - own.Weight;
  own.Weight = weight;
  if (now >= ForgotAt + Window || Organisations.size() >= MostOrganisations)
    forgetSilent(now);
}

void DemandTracker::forgetSilent(TimePoint now) {
  ForgotAt = now;
  std::erase_if(Organisations, [&](const auto &it) {
    if (now - it.second.At <= Window)
      return false;
    ActiveWeight -= it.second.Weight;
    return true;
  });
}

double DemandTracker::of(uint64_t organisation, TimePoint now) const {
  auto it = Organisations.find(organisation);
  return it == Organisations.end() ? 0 : asShare(it->second.decayed(now));
}

double DemandTracker::ofOthers(uint64_t organisation, TimePoint now) const {
  return std::max(asShare(All.decayed(now)) - of(organisation, now), 0.0);
}

double DemandTracker::fairShare(uint64_t organisation, uint32_t weight) const {
  double all = ActiveWeight;
  if (!Organisations.contains(organisation))
    all += weight;
  return all > 0 ? std::min(weight / all, 1.0) : 1.0;
}

} // namespace daisytack
