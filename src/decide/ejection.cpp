#include "decide/ejection.h"

#include <algorithm>

namespace daisytack {

namespace {

constexpr uint32_t MaxDoublings = 16;

int64_t microsOf(TimePoint t) { return t.time_since_epoch().count(); }

} // namespace

size_t ejectionCap(size_t poolSize) {
  return std::max<size_t>(poolSize / 3, 1);
}

Ejector::Ejector(EjectionSettings settings) : Settings(settings) {}

bool Ejector::isAllowed(PoolState &pool, size_t poolSize,
                        const ServerState &server, TimePoint now) const {
  while (!pool.Recent.empty() && pool.Recent.front() + Settings.Window <= now)
    pool.Recent.pop_front();
  if (!Settings.Capped)
    return true;
  if (poolSize <= 1 && now < server.FailingSince + Settings.LastServerDelay)
    return false;
  return pool.Recent.size() < ejectionCap(poolSize);
}

EjectionVerdict Ejector::onFailure(uint64_t pool, size_t poolSize,
                                   uint64_t server, TimePoint now) {
  std::lock_guard guard(Lock);
  ServerState &state = Servers[server];
  if (state.Until > now)
    return EjectionVerdict::None;
  if (state.Failures++ == 0)
    state.FailingSince = now;
  if (state.Failures < Settings.Failures)
    return EjectionVerdict::None;
  PoolState &group = Pools[pool];
  if (!isAllowed(group, poolSize, state, now))
    return EjectionVerdict::HeldBack;
  group.Recent.push_back(now);
  uint32_t doublings = std::min(state.Ejections, MaxDoublings);
  state.Until =
      now + std::min<Duration>(Settings.FirstTime * (1LL << doublings),
                               Settings.LongestTime);
  ++state.Ejections;
  state.Failures = 0;
  LatestReturn.store(std::max(LatestReturn.load(std::memory_order_relaxed),
                              microsOf(state.Until)),
                     std::memory_order_release);
  return EjectionVerdict::Ejected;
}

EjectionVerdict Ejector::onAnswer(uint64_t pool, size_t poolSize,
                                  uint64_t server, Duration predicted,
                                  Duration measured, TimePoint now) {
  double bound = static_cast<double>(predicted.count()) * Settings.SlowFactor;
  if (static_cast<double>(measured.count()) > bound)
    return onFailure(pool, poolSize, server, now);
  std::lock_guard guard(Lock);
  auto it = Servers.find(server);
  if (it != Servers.end() && it->second.Until <= now)
    Servers.erase(it);
  return EjectionVerdict::None;
}

bool Ejector::isEjected(uint64_t server, TimePoint now) const {
  if (LatestReturn.load(std::memory_order_acquire) <= microsOf(now))
    return false;
  std::lock_guard guard(Lock);
  auto it = Servers.find(server);
  return it != Servers.end() && it->second.Until > now;
}

void Ejector::forget(uint64_t server) {
  std::lock_guard guard(Lock);
  Servers.erase(server);
}

} // namespace daisytack
