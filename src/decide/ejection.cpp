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

bool Ejector::mayEject(PoolState &pool, size_t poolSize,
                       const ServerState &server, TimePoint now) const {
  while (!pool.RecentEjections.empty() &&
         pool.RecentEjections.front() + Settings.Window <= now)
    pool.RecentEjections.pop_front();
  if (!Settings.Capped)
    return true;
  if (poolSize <= 1 && now < server.FailingSince + Settings.LastServerDelay)
    return false;
  return pool.RecentEjections.size() < ejectionCap(poolSize);
}

EjectionVerdict Ejector::onFailure(uint64_t pool, size_t poolSize,
                                   uint64_t server, TimePoint now) {
  std::lock_guard guard(Lock);
  ServerState &state = Servers[server];
  if (state.EjectedUntil > now)
    return EjectionVerdict::None;
  if (state.Failures++ == 0)
    state.FailingSince = now;
  if (state.Failures < Settings.ConsecutiveFailures)
    return EjectionVerdict::None;
  PoolState &poolState = Pools[pool];
  if (!mayEject(poolState, poolSize, state, now))
    return EjectionVerdict::CapReached;
  poolState.RecentEjections.push_back(now);
  uint32_t doublings = std::min(state.Ejections, MaxDoublings);
  state.EjectedUntil =
      now + std::min<Duration>(Settings.BaseEjectionTime * (1LL << doublings),
                               Settings.MaxEjectionTime);
  ++state.Ejections;
  state.Failures = 0;
  LatestEjectionEnd.store(
      std::max(LatestEjectionEnd.load(std::memory_order_relaxed),
               microsOf(state.EjectedUntil)),
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
  if (it != Servers.end() && it->second.EjectedUntil <= now)
    Servers.erase(it);
  return EjectionVerdict::None;
}

bool Ejector::isEjected(uint64_t server, TimePoint now) const {
  if (LatestEjectionEnd.load(std::memory_order_acquire) <= microsOf(now))
    return false;
  std::lock_guard guard(Lock);
  auto it = Servers.find(server);
  return it != Servers.end() && it->second.EjectedUntil > now;
}

void Ejector::forget(uint64_t server) {
  std::lock_guard guard(Lock);
  Servers.erase(server);
}

} // namespace daisytack
