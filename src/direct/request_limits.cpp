#include "direct/request_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace daisytack::direct {

namespace {

/// Beyond this a limit bounds nothing.
constexpr double MostRequests = 1e6;

double secondsOf(Duration time) {
  return 1e-6 * static_cast<double>(time.count());
}

Duration ofSeconds(double seconds) {
  return Duration(static_cast<int64_t>(seconds * 1e6));
}

} // namespace

QuotaBound requestLimitBound(const RequestLimitSettings &settings,
                             double perSecond) {
  double longest = secondsOf(settings.LongestWindow);
  double forOne = perSecond * longest > 1 ? 1 / perSecond : longest;
  QuotaBound out;
  out.Window = std::max(settings.Window, ofSeconds(forOne));
  double requests = std::min(perSecond * secondsOf(out.Window), MostRequests);
  // At least one: only its answer tells that the limit has ended.
  out.Requests = std::max(1U, static_cast<uint32_t>(requests));
  out.IsPaced = true;
  return out;
}

RequestLimits::RequestLimits(RequestLimitSettings settings, Endpoint own,
                             TimePoint startedAt)
    : Settings(settings), Shares(std::move(own), startedAt) {}

LimitChange RequestLimits::onAnswer(ServerRef server,
                                    std::optional<double> perSecond,
                                    TimePoint now) {
  std::lock_guard guard(Lock);
  auto it = Servers.find(server.key());
  if (!perSecond && it == Servers.end())
    return LimitChange::None;
  bool wasLimited = it != Servers.end() && it->second.PerSecond;
  Belief &belief = Servers[server.key()];
  belief.PerSecond = perSecond;
  belief.HeardAt = now;
  belief.IsOwn = true;
  if (wasLimited == perSecond.has_value())
    return LimitChange::None;
  if (perSecond)
    return LimitChange::Imposed;
  belief.TellUntil = now + Settings.LiftNews;
  return LimitChange::Lifted;
}

void RequestLimits::onPeerReports(const std::vector<LimitReport> &words,
                                  TimePoint now) {
  std::lock_guard guard(Lock);
  for (const LimitReport &word : words) {
    TimePoint heardAt = now - std::chrono::milliseconds(word.AgoMs);
    auto it = Servers.find(word.Server);
    bool isOld = it != Servers.end() && heardAt <= it->second.HeardAt;
    if (isOld) {
      // The sender has not heard yet that the limit has ended.
      if (word.IsLimited && !it->second.PerSecond)
        it->second.TellUntil = now + Settings.LiftNews;
      continue;
    }
    bool isSound = std::isfinite(word.PerSecond) && word.PerSecond >= 0;
    if (!isSound || (it == Servers.end() && !word.IsLimited))
      continue;
    Belief &belief = Servers[word.Server];
    belief.PerSecond =
        word.IsLimited ? std::optional(word.PerSecond) : std::nullopt;
    belief.HeardAt = heardAt;
    belief.IsOwn = false;
  }
}

std::vector<LimitReport> RequestLimits::takeGossip(TimePoint now) {
  std::lock_guard guard(Lock);
  std::vector<std::pair<uint64_t, Belief *>> due;
  for (auto &[server, belief] : Servers)
    if (belief.IsOwn && (belief.PerSecond || now < belief.TellUntil))
      due.emplace_back(server, &belief);
  std::sort(due.begin(), due.end(), [](const auto &a, const auto &b) {
    return a.second->ToldAt < b.second->ToldAt;
  });
  due.resize(std::min(due.size(), Settings.MostNews));
  std::vector<LimitReport> out;
  for (auto &[server, belief] : due) {
    belief->ToldAt = now;
    int64_t agoMs = (now - belief->HeardAt).count() / 1000;
    out.push_back(
        {server, belief->PerSecond.has_value(), belief->PerSecond.value_or(0),
         static_cast<uint32_t>(std::min<int64_t>(agoMs, UINT32_MAX))});
  }
  return out;
}

std::optional<QuotaBound> RequestLimits::boundOf(const BackendServer &server,
                                                 TimePoint now) const {
  std::lock_guard guard(Lock);
  auto it = Servers.find(server.ref().key());
  if (it == Servers.end() || !it->second.PerSecond)
    return std::nullopt;
  QuotaBound out = requestLimitBound(Settings, *it->second.PerSecond);
  // Where nothing has been heard of the server for two windows, whoever has a
  // share does not use it: other entries get one, so that the server is asked
  // again and the end of its limit found.
  Duration silent = std::max(now - it->second.HeardAt, Duration::zero());
  out.Rotation = static_cast<uint64_t>(silent / (2 * out.Window));
  return out;
}

std::optional<TimePoint> RequestLimits::availableAt(const BackendServer &server,
                                                    const Catalog &catalog,
                                                    TimePoint now) {
  std::optional<QuotaBound> bound = boundOf(server, now);
  return bound ? Shares.availableAt(server, *bound, catalog) : now;
}

bool RequestLimits::tryAcquire(const BackendServer &server,
                               const Catalog &catalog, TimePoint now) {
  std::optional<QuotaBound> bound = boundOf(server, now);
  return !bound || Shares.tryAcquire(server, *bound, catalog, now);
}

size_t RequestLimits::limitedCount() const {
  std::lock_guard guard(Lock);
  return static_cast<size_t>(
      std::count_if(Servers.begin(), Servers.end(), [](const auto &it) {
        return it.second.PerSecond.has_value();
      }));
}

void RequestLimits::forgetIdle(TimePoint heardBefore) {
  {
    std::lock_guard guard(Lock);
    std::erase_if(Servers, [&](const auto &it) {
      return it.second.HeardAt < heardBefore;
    });
  }
  Shares.forgetIdle(heardBefore);
}

} // namespace daisytack::direct
