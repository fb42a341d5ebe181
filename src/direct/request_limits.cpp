#include "direct/request_limits.h"

#include <algorithm>

namespace daisytack::direct {

LimitChange RequestLimits::onAnswer(ServerRef server,
                                    std::optional<double> perSecond,
                                    TimePoint now) {
  std::lock_guard guard(Lock);
  auto it = Servers.find(server.key());
  bool wasLimited = it != Servers.end() && it->second.PerSecond;
  if (!perSecond && it == Servers.end())
    return LimitChange::None;
  Servers[server.key()] = {perSecond, now};
  if (perSecond)
    return wasLimited ? LimitChange::None : LimitChange::Named;
  return wasLimited ? LimitChange::Lifted : LimitChange::None;
}

size_t RequestLimits::limited() const {
  std::lock_guard guard(Lock);
  return static_cast<size_t>(
      std::count_if(Servers.begin(), Servers.end(), [](const auto &it) {
        return it.second.PerSecond.has_value();
      }));
}

void RequestLimits::forgetIdle(TimePoint heardBefore) {
  std::lock_guard guard(Lock);
  std::erase_if(
      Servers, [&](const auto &it) { return it.second.HeardAt < heardBefore; });
}

} // namespace daisytack::direct
