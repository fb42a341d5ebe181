#include "balancing/server_loads.h"

#include <algorithm>

namespace daisytack::balancing {

namespace {

constexpr uint32_t MaxDoublings = 16;

uint32_t saturate(uint64_t value) {
  return static_cast<uint32_t>(std::min<uint64_t>(value, UINT32_MAX));
}

} // namespace

void ServerLoads::onSent(direct::ServerRef server, uint64_t tokens,
                         TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = Servers[server.key()];
  if (state.Running++ == 0)
    state.LastActivity = now;
  state.WaitingTokens += tokens;
  state.HeldTokens += tokens;
  state.LastUsed = now;
}

void ServerLoads::onActivity(direct::ServerRef server, TimePoint now) {
  std::lock_guard guard(Lock);
  Servers[server.key()].LastActivity = now;
}

void ServerLoads::onFirstByte(direct::ServerRef server, uint64_t tokens,
                              TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = Servers[server.key()];
  state.LastActivity = now;
  state.Rejections = 0;
  state.WaitingTokens -= std::min(state.WaitingTokens, tokens);
}

void ServerLoads::onEnded(direct::ServerRef server, uint64_t tokens,
                          bool hadFirstByte, TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = Servers[server.key()];
  state.Running -= std::min(state.Running, 1U);
  state.HeldTokens -= std::min(state.HeldTokens, tokens);
  if (!hadFirstByte)
    state.WaitingTokens -= std::min(state.WaitingTokens, tokens);
  state.LastUsed = now;
}

void ServerLoads::onRejected(direct::ServerRef server, TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = Servers[server.key()];
  // Requests that were waiting at the server are rejected together, and count
  // as one rejection.
  if (now < state.AvoidUntil)
    return;
  uint32_t doublings = std::min(state.Rejections++, MaxDoublings);
  state.AvoidUntil =
      now + std::min<Duration>(Settings.RejectBackoff * (1LL << doublings),
                               Settings.MaxRejectBackoff);
}

void ServerLoads::onRetryAfter(direct::ServerRef server, Duration time,
                               TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = Servers[server.key()];
  state.RetryAt = now + std::min(time, Settings.MaxRetryAfter);
  state.LastUsed = std::max(state.LastUsed, state.RetryAt);
}

bool ServerLoads::onLeaving(uint64_t server, TimePoint now) {
  std::lock_guard guard(Lock);
  return LeavingSince.try_emplace(server, now).second;
}

std::vector<uint64_t> ServerLoads::recentlyLeaving(TimePoint now) const {
  std::vector<uint64_t> out;
  std::lock_guard guard(Lock);
  for (const auto &[server, since] : LeavingSince)
    if (now < since + Settings.LeavingGossipTime)
      out.push_back(server);
  return out;
}

void ServerLoads::onReplaced(direct::ServerRef server, TimePoint now) {
  avoidUntil(server, now + Settings.ReplacedBackoff);
}

void ServerLoads::avoidUntil(direct::ServerRef server, TimePoint until) {
  std::lock_guard guard(Lock);
  State &state = Servers[server.key()];
  state.AvoidUntil = std::max(state.AvoidUntil, until);
}

void ServerLoads::onLoading(direct::ServerRef server, TimePoint until,
                            TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = Servers[server.key()];
  if (!state.LoadingSince || now >= state.AvoidUntil)
    state.LoadingSince = now;
  state.AvoidUntil = std::max(state.AvoidUntil, until);
}

void ServerLoads::onLoadEnded(direct::ServerRef server) {
  std::lock_guard guard(Lock);
  auto it = Servers.find(server.key());
  if (it == Servers.end())
    return;
  it->second.AvoidUntil = TimePoint();
  it->second.LoadingSince.reset();
}

void ServerLoads::addToSums(const PeerReport &report) {
  for (const LoadShare &share : report.Shares) {
    PeerSum &sum = Sums[share.ServerKey];
    sum.Running += share.Running;
    sum.WaitingTokens += share.WaitingTokens;
    sum.HeldTokens += share.HeldTokens;
    ++sum.Entries;
  }
}

void ServerLoads::removeReport(const std::string &entry) const {
  auto report = Reports.find(entry);
  if (report == Reports.end())
    return;
  for (const LoadShare &share : report->second.Shares) {
    auto sum = Sums.find(share.ServerKey);
    sum->second.Running -= share.Running;
    sum->second.WaitingTokens -= share.WaitingTokens;
    sum->second.HeldTokens -= share.HeldTokens;
    if (--sum->second.Entries == 0)
      Sums.erase(sum);
  }
  Expiries.erase({report->second.ExpiresAt, entry});
  Reports.erase(report);
}

void ServerLoads::dropExpired(TimePoint now) const {
  while (!Expiries.empty() && now >= Expiries.begin()->first) {
    std::string entry = Expiries.begin()->second;
    removeReport(entry);
  }
}

void ServerLoads::onPeerReport(const std::string &entry,
                               const std::vector<LoadShare> &shares,
                               Duration period, TimePoint now) {
  std::lock_guard guard(Lock);
  removeReport(entry);
  Duration cappedPeriod =
      std::clamp(period, Duration::zero(), Settings.MaxPeerTtl);
  TimePoint expiresAt = now + std::min(cappedPeriod * Settings.PeerTtlPeriods,
                                       Settings.MaxPeerTtl);
  PeerReport &report = Reports[entry];
  report = {expiresAt, shares};
  Expiries.emplace(expiresAt, entry);
  addToSums(report);
}

ServerLoadView ServerLoads::view(direct::ServerRef server,
                                 TimePoint now) const {
  uint64_t serverKey = server.key();
  ServerLoadView out;
  std::lock_guard guard(Lock);
  dropExpired(now);
  auto it = Servers.find(serverKey);
  if (it != Servers.end()) {
    const State &state = it->second;
    bool isUnresponsive =
        state.Running > 0 &&
        now >= state.LastActivity + Settings.InactivityTimeout;
    out = {state.Running,
           state.WaitingTokens,
           state.HeldTokens,
           isUnresponsive || now < state.AvoidUntil,
           false,
           state.RetryAt,
           now < state.AvoidUntil ? state.LoadingSince : std::nullopt};
  }
  out.IsLeaving = LeavingSince.contains(serverKey);
  auto sum = Sums.find(serverKey);
  if (sum == Sums.end())
    return out;
  out.Running += sum->second.Running;
  out.WaitingTokens += sum->second.WaitingTokens;
  out.HeldTokens += sum->second.HeldTokens;
  return out;
}

std::vector<LoadShare> ServerLoads::ownLoads() const {
  std::lock_guard guard(Lock);
  std::vector<LoadShare> out;
  for (const auto &[serverKey, state] : Servers)
    if (state.Running > 0)
      out.push_back({serverKey, state.Running, saturate(state.WaitingTokens),
                     saturate(state.HeldTokens)});
  return out;
}

void ServerLoads::forgetIdle(TimePoint usedBefore) {
  std::lock_guard guard(Lock);
  std::erase_if(Servers, [&](const auto &it) {
    return it.second.Running == 0 && it.second.LastUsed < usedBefore;
  });
  std::erase_if(LeavingSince, [&](const auto &it) {
    return it.second + Settings.LeavingTtl < usedBefore;
  });
  dropExpired(usedBefore);
}

} // namespace daisytack::balancing
