#include "gateway/server_speed_follower.h"

#include <string>
#include <utility>
#include <vector>

namespace daisytack::gateway {

namespace {

/// The catalog may change many times a second, and the list of 10,000 servers
/// takes milliseconds.
constexpr Duration FollowInterval{1'000'000};

} // namespace

void ServerSpeedFollower::onTimer(TimePoint now) {
  if (!State.Options.Speeds.IsEnabled)
    return;
  followCatalog(now);
  for (const balancing::SpeedChange &it : State.Speeds.onTimer(now))
    log(it, now);
}

void ServerSpeedFollower::followCatalog(TimePoint now) {
  if (now < NextFollowAt)
    return;
  NextFollowAt = now + FollowInterval;
  auto catalog = State.catalog();
  if (catalog == Followed)
    return;
  std::vector<balancing::SpeedTarget> targets;
  targets.reserve(catalog->AllServers.size());
  for (const auto &it : catalog->AllServers)
    targets.push_back({it.ref().key(), it.Service});
  State.Speeds.setServers(targets);
  Followed = std::move(catalog);
}

void ServerSpeedFollower::log(const balancing::SpeedChange &change,
                              TimePoint now) {
  std::string id;
  for (const auto &it : State.catalog()->AllServers)
    if (it.ref().key() == change.ServerKey)
      id = it.Id;
  State.Log.write(LogPriority::Notable,
                  change.IsSlow ? "server_slow" : "server_not_slow",
                  {{"server", id},
                   {"pace_percent", change.Pace},
                   {"answers", change.Samples},
                   {"age_ms", change.Age.count() / 1000}},
                  now);
}

} // namespace daisytack::gateway
