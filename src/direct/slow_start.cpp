#include "direct/slow_start.h"

#include "direct/rendezvous.h"

#include <algorithm>
#include <utility>

namespace daisytack::direct {

uint32_t slowStartQuota(const SlowStartSettings &settings,
                        double requestsPerSecond) {
  double bound = requestsPerSecond * settings.Overshoot + settings.Slack;
  if (bound < 1)
    return 0;
  return static_cast<uint32_t>(std::max(1.0, bound * settings.SharedOut));
}

uint32_t slowStartShare(uint32_t quota, std::string_view server,
                        const std::map<Endpoint, uint64_t> &registered,
                        const Endpoint &own) {
  if (!registered.contains(own))
    return 0;
  auto score = [&](const Endpoint &entry) {
    return rendezvousScore(server, toString(entry));
  };
  double ownScore = score(own);
  auto before =
      std::count_if(registered.begin(), registered.end(),
                    [&](const auto &it) { return score(it.first) > ownScore; });
  auto entries = static_cast<uint32_t>(registered.size());
  bool hasOneMore = static_cast<uint32_t>(before) < quota % entries;
  return quota / entries + (hasOneMore ? 1 : 0);
}

SlowStart::SlowStart(SlowStartSettings settings, Endpoint own,
                     TimePoint startedAt)
    : Settings(settings), Own(std::move(own)), StartedAt(startedAt) {}

SlowStart::State &SlowStart::stateOf(const BackendServer &server,
                                     double requestsPerSecond,
                                     const Catalog &catalog) {
  auto [it, isNew] = Servers.try_emplace(server.ref().key());
  State &state = it->second;
  bool isCurrent = state.RegisteredVersion == catalog.RegisteredVersion &&
                   state.RequestsPerSecond == requestsPerSecond;
  if (!isNew && isCurrent)
    return state;
  state.RegisteredVersion = catalog.RegisteredVersion;
  state.RequestsPerSecond = requestsPerSecond;
  state.Share = slowStartShare(slowStartQuota(Settings, requestsPerSecond),
                               server.Id, catalog.Registered, Own);
  return state;
}

std::optional<TimePoint> SlowStart::opening(const State &state) const {
  if (state.Share == 0)
    return std::nullopt;
  TimePoint out = StartedAt + Settings.Window;
  if (state.Sent.size() >= state.Share)
    out = std::max(out, state.Sent[state.Sent.size() - state.Share] +
                            Settings.Window);
  return out;
}

std::optional<TimePoint> SlowStart::opensAt(const BackendServer &server,
                                            double requestsPerSecond,
                                            const Catalog &catalog) {
  std::lock_guard guard(Lock);
  return opening(stateOf(server, requestsPerSecond, catalog));
}

bool SlowStart::take(const BackendServer &server, double requestsPerSecond,
                     const Catalog &catalog, TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = stateOf(server, requestsPerSecond, catalog);
  std::optional<TimePoint> opens = opening(state);
  if (!opens || now < *opens)
    return false;
  state.Sent.push_back(now);
  while (state.Sent.front() + Settings.Window <= now)
    state.Sent.pop_front();
  return true;
}

void SlowStart::forgetIdle(TimePoint usedBefore) {
  std::lock_guard guard(Lock);
  std::erase_if(Servers, [&](const auto &it) {
    return it.second.Sent.empty() || it.second.Sent.back() < usedBefore;
  });
}

} // namespace daisytack::direct
