#include "balancing/request_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace daisytack::balancing {

namespace {

/// Upper bound on a quota; a higher limit has no effect in practice.
constexpr double MaxRequests = 1e6;

double toSeconds(Duration time) {
  return 1e-6 * static_cast<double>(time.count());
}

Duration fromSeconds(double seconds) {
  return Duration(static_cast<int64_t>(seconds * 1e6));
}

} // namespace

QuotaBound requestLimitBound(const RequestLimitSettings &settings,
                             double perSecond) {
  double maxSeconds = toSeconds(settings.MaxWindow);
  double secondsPerRequest =
      perSecond * maxSeconds > 1 ? 1 / perSecond : maxSeconds;
  QuotaBound out;
  out.Window = std::max(settings.Window, fromSeconds(secondsPerRequest));
  double requests = std::min(perSecond * toSeconds(out.Window), MaxRequests);
  // At least one request, as only an answer shows that the limit was lifted.
  out.Requests = std::max(1U, static_cast<uint32_t>(requests));
  out.IsPaced = true;
  return out;
}

RequestLimits::RequestLimits(RequestLimitSettings settings, Endpoint own,
                             TimePoint startedAt)
    : Settings(settings), Quota(std::move(own), startedAt, settings.HasLoans) {}

LimitChange RequestLimits::onAnswer(direct::ServerRef server,
                                    std::optional<double> perSecond,
                                    TimePoint now) {
  std::lock_guard guard(Lock);
  auto it = Servers.find(server.key());
  if (!perSecond && it == Servers.end())
    return LimitChange::None;
  bool wasLimited = it != Servers.end() && it->second.PerSecond;
  State &state = Servers[server.key()];
  state.PerSecond = perSecond;
  state.AnsweredAt = now;
  state.IsOwn = true;
  if (wasLimited == perSecond.has_value())
    return LimitChange::None;
  if (perSecond)
    return LimitChange::Imposed;
  state.GossipLiftUntil = now + Settings.LiftGossipTime;
  return LimitChange::Lifted;
}

void RequestLimits::onPeerReports(const std::vector<LimitReport> &reports,
                                  TimePoint now) {
  std::lock_guard guard(Lock);
  for (const LimitReport &report : reports) {
    TimePoint answeredAt = now - std::chrono::milliseconds(report.AgeMs);
    auto it = Servers.find(report.ServerKey);
    bool isStale = it != Servers.end() && answeredAt <= it->second.AnsweredAt;
    if (isStale) {
      // The sender does not know yet that the limit was lifted.
      if (report.IsLimited && !it->second.PerSecond)
        it->second.GossipLiftUntil = now + Settings.LiftGossipTime;
      continue;
    }
    bool isValid = std::isfinite(report.PerSecond) && report.PerSecond >= 0;
    bool isNew = it == Servers.end();
    bool isFull = Servers.size() >= Settings.MaxServers;
    if (!isValid || (isNew && (isFull || !report.IsLimited)))
      continue;
    State &state = Servers[report.ServerKey];
    state.PerSecond =
        report.IsLimited ? std::optional(report.PerSecond) : std::nullopt;
    state.AnsweredAt = answeredAt;
    state.IsOwn = false;
  }
}

std::vector<LimitReport> RequestLimits::takeGossip(TimePoint now) {
  std::lock_guard guard(Lock);
  std::vector<std::pair<uint64_t, State *>> due;
  for (auto &[server, state] : Servers)
    if (state.IsOwn && (state.PerSecond || now < state.GossipLiftUntil))
      due.emplace_back(server, &state);
  std::sort(due.begin(), due.end(), [](const auto &a, const auto &b) {
    return a.second->LastGossipAt < b.second->LastGossipAt;
  });
  due.resize(std::min(due.size(), Settings.MaxGossipReports));
  std::vector<LimitReport> out;
  for (auto &[server, state] : due) {
    state->LastGossipAt = now;
    int64_t ageMs = (now - state->AnsweredAt).count() / 1000;
    out.push_back(
        {server, state->PerSecond.has_value(), state->PerSecond.value_or(0),
         static_cast<uint32_t>(std::min<int64_t>(ageMs, UINT32_MAX))});
  }
  return out;
}

std::optional<QuotaBound>
RequestLimits::boundOf(const direct::BackendServer &server,
                       TimePoint now) const {
  std::lock_guard guard(Lock);
  auto it = Servers.find(server.ref().key());
  if (it == Servers.end() || !it->second.PerSecond)
    return std::nullopt;
  QuotaBound out = requestLimitBound(Settings, *it->second.PerSecond);
  // When no answer of the server was received for two windows, the entries with
  // a share are not using it. The rotation then gives shares to other entries,
  // so that the server gets a request and a lifted limit is noticed.
  Duration timeSinceAnswer =
      std::max(now - it->second.AnsweredAt, Duration::zero());
  out.Rotation = static_cast<uint64_t>(timeSinceAnswer / (2 * out.Window));
  return out;
}

std::optional<TimePoint>
RequestLimits::availableAt(const direct::BackendServer &server,
                           const direct::Catalog &catalog, TimePoint now) {
  std::optional<QuotaBound> bound = boundOf(server, now);
  return bound ? Quota.availableAt(server, *bound, catalog, now) : now;
}

bool RequestLimits::tryAcquire(const direct::BackendServer &server,
                               const direct::Catalog &catalog, TimePoint now) {
  std::optional<QuotaBound> bound = boundOf(server, now);
  return !bound || Quota.tryAcquire(server, *bound, catalog, now);
}

std::optional<QuotaLoan>
RequestLimits::onLoanRequest(const QuotaLoanRequest &request,
                             const Endpoint &borrower,
                             const direct::BackendServer &server,
                             const direct::Catalog &catalog, TimePoint now) {
  std::optional<QuotaBound> bound = boundOf(server, now);
  if (!bound)
    return std::nullopt;
  return Quota.onLoanRequest(request, borrower, server, *bound, catalog, now);
}

size_t RequestLimits::limitedCount() const {
  std::lock_guard guard(Lock);
  return static_cast<size_t>(
      std::count_if(Servers.begin(), Servers.end(), [](const auto &it) {
        return it.second.PerSecond.has_value();
      }));
}

void RequestLimits::forgetIdle(TimePoint answeredBefore) {
  {
    std::lock_guard guard(Lock);
    std::erase_if(Servers, [&](const auto &it) {
      return it.second.AnsweredAt < answeredBefore;
    });
  }
  Quota.forgetIdle(answeredBefore);
}

} // namespace daisytack::balancing
