#include "direct/server_loads.h"

#include <algorithm>

namespace daisytack::direct {

namespace {

constexpr uint32_t MostDoublings = 16;

uint32_t fit(uint64_t count) {
  return static_cast<uint32_t>(std::min<uint64_t>(count, UINT32_MAX));
}

} // namespace

void ServerLoads::onSent(ServerRef server, uint64_t tokens, TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = Servers[server.key()];
  if (state.Running++ == 0)
    state.LastHeard = now;
  state.WaitingTokens += tokens;
  state.HeldTokens += tokens;
  state.LastUsed = now;
}

void ServerLoads::onActivity(ServerRef server, TimePoint now) {
  std::lock_guard guard(Lock);
  Servers[server.key()].LastHeard = now;
}

void ServerLoads::onFirstByte(ServerRef server, uint64_t tokens,
                              TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = Servers[server.key()];
  state.LastHeard = now;
  state.Rejections = 0;
  state.WaitingTokens -= std::min(state.WaitingTokens, tokens);
}

void ServerLoads::onEnded(ServerRef server, uint64_t tokens, bool wasRead,
                          TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = Servers[server.key()];
  state.Running -= std::min(state.Running, 1U);
  state.HeldTokens -= std::min(state.HeldTokens, tokens);
  if (!wasRead)
    state.WaitingTokens -= std::min(state.WaitingTokens, tokens);
  state.LastUsed = now;
}

void ServerLoads::onRejected(ServerRef server, TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = Servers[server.key()];
  // Those that waited there are turned away together: they count as one.
  if (now < state.AvoidUntil)
    return;
  uint32_t doublings = std::min(state.Rejections++, MostDoublings);
  state.AvoidUntil =
      now + std::min<Duration>(Settings.RejectPause * (1LL << doublings),
                               Settings.LongestRejectPause);
}

void ServerLoads::onRetryAfter(ServerRef server, Duration time, TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = Servers[server.key()];
  state.RetryAt = now + std::min(time, Settings.LongestClosing);
  state.LastUsed = std::max(state.LastUsed, state.RetryAt);
}

bool ServerLoads::onLeaving(uint64_t server, TimePoint now) {
  std::lock_guard guard(Lock);
  return Leaving.try_emplace(server, now).second;
}

std::vector<uint64_t> ServerLoads::recentlyLeaving(TimePoint now) const {
  std::vector<uint64_t> out;
  std::lock_guard guard(Lock);
  for (const auto &[server, since] : Leaving)
    if (now < since + Settings.LeavingNews)
      out.push_back(server);
  return out;
}

void ServerLoads::onReplaced(ServerRef server, TimePoint now) {
  avoidUntil(server, now + Settings.ReplacedPause);
}

void ServerLoads::avoidUntil(ServerRef server, TimePoint until) {
  std::lock_guard guard(Lock);
  State &state = Servers[server.key()];
  state.AvoidUntil = std::max(state.AvoidUntil, until);
}

void ServerLoads::onWeightsLoaded(ServerRef server) {
  std::lock_guard guard(Lock);
  auto it = Servers.find(server.key());
  if (it != Servers.end())
    it->second.AvoidUntil = TimePoint();
}

void ServerLoads::add(const Peer &peer) {
  for (const LoadShare &share : peer.Shares) {
    Sum &sum = Sums[share.Name];
    sum.Running += share.Running;
    sum.WaitingTokens += share.WaitingTokens;
    sum.HeldTokens += share.HeldTokens;
    ++sum.Entries;
  }
}

void ServerLoads::remove(const std::string &entry) const {
  auto peer = Peers.find(entry);
  if (peer == Peers.end())
    return;
  for (const LoadShare &share : peer->second.Shares) {
    auto sum = Sums.find(share.Name);
    sum->second.Running -= share.Running;
    sum->second.WaitingTokens -= share.WaitingTokens;
    sum->second.HeldTokens -= share.HeldTokens;
    if (--sum->second.Entries == 0)
      Sums.erase(sum);
  }
  Lapses.erase({peer->second.Until, entry});
  Peers.erase(peer);
}

void ServerLoads::dropLapsed(TimePoint now) const {
  while (!Lapses.empty() && now >= Lapses.begin()->first) {
    std::string entry = Lapses.begin()->second;
    remove(entry);
  }
}

void ServerLoads::onPeerReport(const std::string &entry,
                               const std::vector<LoadShare> &shares,
                               Duration period, TimePoint now) {
  std::lock_guard guard(Lock);
  remove(entry);
  Duration told =
      std::clamp(period, Duration::zero(), Settings.LongestPeerMemory);
  TimePoint until =
      now + std::min(told * Settings.PeerPeriods, Settings.LongestPeerMemory);
  Peer &peer = Peers[entry];
  peer = {until, shares};
  Lapses.emplace(until, entry);
  add(peer);
}

ServerLoadView ServerLoads::view(ServerRef server, TimePoint now) const {
  uint64_t name = server.key();
  ServerLoadView out;
  std::lock_guard guard(Lock);
  dropLapsed(now);
  auto it = Servers.find(name);
  if (it != Servers.end()) {
    const State &state = it->second;
    bool isSilent =
        state.Running > 0 && now >= state.LastHeard + Settings.SilenceLimit;
    out = {state.Running,
           state.WaitingTokens,
           state.HeldTokens,
           isSilent || now < state.AvoidUntil,
           false,
           state.RetryAt};
  }
  out.IsLeaving = Leaving.contains(name);
  auto sum = Sums.find(name);
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
  for (const auto &[name, state] : Servers)
    if (state.Running > 0)
      out.push_back({name, state.Running, fit(state.WaitingTokens),
                     fit(state.HeldTokens)});
  return out;
}

void ServerLoads::forgetIdle(TimePoint usedBefore) {
  std::lock_guard guard(Lock);
  std::erase_if(Servers, [&](const auto &it) {
    return it.second.Running == 0 && it.second.LastUsed < usedBefore;
  });
  std::erase_if(Leaving, [&](const auto &it) {
    return it.second + Settings.LeavingMemory < usedBefore;
  });
  dropLapsed(usedBefore);
}

} // namespace daisytack::direct
