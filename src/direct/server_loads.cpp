#include "direct/server_loads.h"

#include <algorithm>

namespace daisytack::direct {

void ServerLoads::onSent(const std::string &server, uint64_t prefillTokens,
                         TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = Servers[server];
  if (state.Running++ == 0)
    state.LastHeard = now;
  state.PrefillTokens += prefillTokens;
  state.LastUsed = now;
}

void ServerLoads::onHeard(const std::string &server, TimePoint now) {
  std::lock_guard guard(Lock);
  Servers[server].LastHeard = now;
}

void ServerLoads::onFirstByte(const std::string &server, uint64_t prefillTokens,
                              TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = Servers[server];
  state.LastHeard = now;
  state.PrefillTokens -= std::min(state.PrefillTokens, prefillTokens);
}

void ServerLoads::onEnded(const std::string &server, uint64_t prefillTokens,
                          TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = Servers[server];
  state.Running -= std::min(state.Running, 1U);
  state.PrefillTokens -= std::min(state.PrefillTokens, prefillTokens);
  state.LastUsed = now;
}

void ServerLoads::onTurnedAway(const std::string &server, TimePoint now) {
  avoidUntil(server, now + Settings.RejectPause);
}

void ServerLoads::avoidUntil(const std::string &server, TimePoint until) {
  std::lock_guard guard(Lock);
  State &state = Servers[server];
  state.AvoidUntil = std::max(state.AvoidUntil, until);
}

void ServerLoads::onLoaded(const std::string &server) {
  std::lock_guard guard(Lock);
  auto it = Servers.find(server);
  if (it != Servers.end())
    it->second.AvoidUntil = TimePoint();
}

ServerLoadView ServerLoads::view(const std::string &server,
                                 TimePoint now) const {
  std::lock_guard guard(Lock);
  auto it = Servers.find(server);
  if (it == Servers.end())
    return {};
  const State &state = it->second;
  bool isSilent =
      state.Running > 0 && now >= state.LastHeard + Settings.SilenceLimit;
  return {state.Running, state.PrefillTokens,
          isSilent || now < state.AvoidUntil};
}

void ServerLoads::forgetIdle(TimePoint usedBefore) {
  std::lock_guard guard(Lock);
  std::erase_if(Servers, [&](const auto &it) {
    return it.second.Running == 0 && it.second.LastUsed < usedBefore;
  });
}

} // namespace daisytack::direct
