#include "balancing/server_loads.h"

#include <algorithm>
#include <iterator>

namespace daisytack::balancing {

namespace {

constexpr uint32_t MaxDoublings = 16;
/// How long a server that has answered is reported as heard.
constexpr Duration HeardReportTime{200'000};
constexpr Duration SilentUnit{10'000};           ///< Of LoadShare::SilentTime.
constexpr uint8_t UnknownSilentTime = UINT8_MAX; ///< That long or longer.
constexpr uint64_t MaxPart = 255; ///< LoadShare::UrgentPart of the whole.

uint32_t saturate(uint64_t value) {
  return static_cast<uint32_t>(std::min<uint64_t>(value, UINT32_MAX));
}

/// Subtracts without passing zero.
void reduce(uint64_t &value, uint64_t by) { value -= std::min(value, by); }

/// The part of the whole in units of 1/MaxPart, for a load message.
uint8_t partOf(uint64_t part, uint64_t whole) {
  return whole == 0
             ? 0
             : static_cast<uint8_t>(std::min(part, whole) * MaxPart / whole);
}

/// For a load message: in units of SilentUnit, at least 1; 0 if nothing was
/// heard.
uint8_t silentTime(TimePoint heardAt, TimePoint now) {
  if (heardAt == TimePoint())
    return 0;
  return static_cast<uint8_t>(
      std::clamp<int64_t>((now - heardAt) / SilentUnit, 1, UnknownSilentTime));
}

uint64_t urgentTokens(const LoadShare &share) {
  return uint64_t{share.WaitingTokens} * share.UrgentPart / MaxPart;
}

} // namespace

void ServerLoads::onSent(direct::ServerRef server, RequestLoad request,
                         TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = Servers[server.key()];
  if (state.Running++ == 0)
    state.LastActivity = now;
  state.WaitingTokens += request.Tokens;
  state.UrgentTokens += request.IsUrgent ? request.Tokens : 0;
  state.HeldTokens += request.Tokens;
  if (request.MaxSilence > Duration::zero())
    state.Waits.emplace(request.MaxSilence, request.SentAt);
  state.LastUsed = now;
}

void ServerLoads::noteHeard(State &state, TimePoint now) {
  state.LastActivity = now;
  state.HeardAt = now;
  HeardAt = now;
}

void ServerLoads::removeWait(State &state, Duration wait, TimePoint sentAt) {
  auto it = state.Waits.find({wait, sentAt});
  if (it != state.Waits.end())
    state.Waits.erase(it);
}

void ServerLoads::removeWaiting(State &state, RequestLoad request) {
  reduce(state.WaitingTokens, request.Tokens);
  if (request.IsUrgent)
    reduce(state.UrgentTokens, request.Tokens);
}

void ServerLoads::onActivity(direct::ServerRef server, TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = Servers[server.key()];
  noteHeard(state, now);
}

void ServerLoads::onFirstByte(direct::ServerRef server, RequestLoad request,
                              TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = Servers[server.key()];
  noteHeard(state, now);
  state.Rejections = 0;
  if (request.MaxSilence > Duration::zero()) {
    removeWait(state, request.MaxSilence, request.SentAt);
    state.Waits.emplace(Settings.InactivityTimeout, request.SentAt);
  }
  removeWaiting(state, request);
}

void ServerLoads::onPaused(direct::ServerRef server, RequestLoad request) {
  std::lock_guard guard(Lock);
  State &state = Servers[server.key()];
  ++state.Paused;
  removeWait(state, Settings.InactivityTimeout, request.SentAt);
}

void ServerLoads::onResumed(direct::ServerRef server, RequestLoad request,
                            TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = Servers[server.key()];
  state.Paused -= std::min(state.Paused, 1U);
  state.LastActivity = now;
  if (request.MaxSilence > Duration::zero())
    state.Waits.emplace(Settings.InactivityTimeout, request.SentAt);
}

void ServerLoads::onEnded(direct::ServerRef server, RequestLoad request,
                          bool hadFirstByte, TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = Servers[server.key()];
  state.Running -= std::min(state.Running, 1U);
  reduce(state.HeldTokens, request.Tokens);
  removeWait(state,
             hadFirstByte ? Settings.InactivityTimeout : request.MaxSilence,
             request.SentAt);
  if (!hadFirstByte)
    removeWaiting(state, request);
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
  bool isNew = LeavingSince.try_emplace(server, now).second;
  if (LeavingSince.size() > Settings.MaxLeaving) {
    auto any = LeavingSince.begin();
    LeavingSince.erase(any->first == server ? std::next(any) : any);
  }
  return isNew;
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

void ServerLoads::onLost(uint64_t server, TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = Servers[server];
  state.AvoidUntil = std::max(state.AvoidUntil, now + Settings.LostBackoff);
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
    sum.UrgentTokens += urgentTokens(share);
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
    sum->second.UrgentTokens -= urgentTokens(share);
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
  if (Reports.size() >= Settings.MaxPeers)
    dropExpired(now);
  if (Reports.size() >= Settings.MaxPeers)
    return;
  Duration cappedPeriod =
      std::clamp(period, Duration::zero(), Settings.MaxPeerTtl);
  TimePoint expiresAt = now + std::min(cappedPeriod * Settings.PeerTtlPeriods,
                                       Settings.MaxPeerTtl);
  PeerReport &report = Reports[entry];
  report = {expiresAt, shares};
  for (const LoadShare &share : shares) {
    auto it = Servers.find(share.ServerKey);
    bool isKnown = share.SilentTime > 0 && share.SilentTime < UnknownSilentTime;
    if (it == Servers.end() || !isKnown)
      continue;
    TimePoint heardAt = now - SilentUnit * int64_t{share.SilentTime};
    it->second.PeerHeardAt = std::max(it->second.PeerHeardAt, heardAt);
  }
  Expiries.emplace(expiresAt, entry);
  addToSums(report);
}

bool ServerLoads::isSilent(const State &state, TimePoint now) {
  TimePoint heardAt = std::max(state.HeardAt, state.PeerHeardAt);
  return std::any_of(state.Waits.begin(), state.Waits.end(),
                     [&](const auto &it) {
                       return now >= std::max(heardAt, it.second) + it.first;
                     });
}

bool ServerLoads::hasHeardSince(uint64_t server, TimePoint since) const {
  std::lock_guard guard(Lock);
  auto it = Servers.find(server);
  return it != Servers.end() && it->second.HeardAt > since;
}

BusyServers ServerLoads::busyServers(TimePoint now) const {
  BusyServers out;
  std::lock_guard guard(Lock);
  out.HeardAt = HeardAt;
  for (const auto &[key, state] : Servers) {
    out.Busy += state.Running > 0 ? 1 : 0;
    if (isSilent(state, now))
      out.Silent.push_back(key);
  }
  return out;
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
        state.Running > state.Paused &&
        (now >= state.LastActivity + Settings.InactivityTimeout ||
         isSilent(state, now));
    out = {state.Running,
           state.WaitingTokens,
           state.UrgentTokens,
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
  out.UrgentTokens += sum->second.UrgentTokens;
  out.HeldTokens += sum->second.HeldTokens;
  return out;
}

std::vector<LoadShare> ServerLoads::ownLoads(TimePoint now) const {
  std::lock_guard guard(Lock);
  std::vector<LoadShare> out;
  for (const auto &[serverKey, state] : Servers)
    if (state.Running > 0 || now < state.HeardAt + HeardReportTime)
      out.push_back({serverKey, state.Running, saturate(state.WaitingTokens),
                     saturate(state.HeldTokens),
                     partOf(state.UrgentTokens, state.WaitingTokens),
                     silentTime(state.HeardAt, now)});
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
