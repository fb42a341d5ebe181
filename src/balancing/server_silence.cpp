#include "balancing/server_silence.h"

#include "base/duration.h"

#include <algorithm>

namespace daisytack::balancing {

Duration maxSilence(const SilenceSettings &settings, Duration target,
                    Duration predicted) {
  if (settings.Share <= 0 || target <= Duration::zero())
    return Duration::zero();
  return predicted + std::clamp(scaled(target, settings.Share),
                                settings.MinWait, settings.MaxWait);
}

bool ServerProbing::isOwnFault(const BusyServers &servers,
                               TimePoint now) const {
  return servers.Silent.size() >= Settings.MinOwnFault &&
         servers.Silent.size() * 2 > servers.Busy &&
         now >= servers.HeardAt + Settings.OwnFaultTime;
}

std::vector<uint64_t> ServerProbing::onTimer(const BusyServers &servers,
                                             TimePoint now) {
  std::vector<uint64_t> out;
  std::erase_if(Probes, [&](const auto &it) {
    return !it.second.IsRunning &&
           now >= it.second.StartedAt + Settings.ProbeInterval;
  });
  if (Settings.Share <= 0 || isOwnFault(servers, now))
    return out;
  for (uint64_t server : servers.Silent)
    if (Probes.try_emplace(server, Probe{now, 0, true}).second)
      out.push_back(server);
  return out;
}

bool ServerProbing::onProbed(uint64_t server, ProbeResult result) {
  auto it = Probes.find(server);
  if (it == Probes.end())
    return false;
  Probe &probe = it->second;
  bool hasTimedOut = result == ProbeResult::TimedOut;
  probe.TimedOut = hasTimedOut ? probe.TimedOut + 1 : 0;
  probe.IsRunning = hasTimedOut && probe.TimedOut < Settings.ProbeAttempts;
  return probe.IsRunning;
}

bool ServerProbing::takeLost(uint64_t server, const BusyServers &servers,
                             TimePoint now) {
  auto it = Probes.find(server);
  if (it == Probes.end() || it->second.IsRunning ||
      it->second.TimedOut < Settings.ProbeAttempts)
    return false;
  it->second.TimedOut = 0;
  return !isOwnFault(servers, now) &&
         std::find(servers.Silent.begin(), servers.Silent.end(), server) !=
             servers.Silent.end();
}

} // namespace daisytack::balancing
