#include "balancing/shared_quota.h"

#include "direct/rendezvous.h"

#include <algorithm>
#include <utility>

namespace daisytack::balancing {

uint32_t quotaShare(uint32_t quota, std::string_view server, uint64_t rotation,
                    const std::map<Endpoint, uint64_t> &registered,
                    const Endpoint &own) {
  if (!registered.contains(own))
    return 0;
  auto entries = static_cast<uint32_t>(registered.size());
  uint32_t remainder = quota % entries;
  if (remainder == 0)
    return quota / entries;
  uint64_t key = direct::stableHash(server, rotation);
  uint64_t ownRank = direct::rendezvousRank(key, toString(own));
  auto higherRanked =
      std::count_if(registered.begin(), registered.end(), [&](const auto &it) {
        return direct::rendezvousRank(key, toString(it.first)) > ownRank;
      });
  bool getsOneMore = static_cast<uint32_t>(higherRanked) < remainder;
  return quota / entries + (getsOneMore ? 1 : 0);
}

SharedQuota::SharedQuota(Endpoint own, TimePoint startedAt)
    : Own(std::move(own)), StartedAt(startedAt) {}

SharedQuota::State &SharedQuota::stateOf(const direct::BackendServer &server,
                                         const QuotaBound &bound,
                                         const direct::Catalog &catalog) {
  auto [it, isNew] = Servers.try_emplace(server.ref().key());
  State &state = it->second;
  bool isCurrent = state.RegisteredVersion == catalog.RegisteredVersion &&
                   state.Bound == bound;
  if (!isNew && isCurrent)
    return state;
  state.RegisteredVersion = catalog.RegisteredVersion;
  state.Bound = bound;
  state.Share = quotaShare(bound.Requests, server.Id, bound.Rotation,
                           catalog.Registered, Own);
  return state;
}

std::optional<TimePoint> SharedQuota::nextSendAt(const State &state) const {
  if (state.Share == 0)
    return std::nullopt;
  const QuotaBound &bound = state.Bound;
  TimePoint out = StartedAt + bound.Window;
  const std::deque<TimePoint> &sent = state.Sent;
  if (sent.size() >= state.Share)
    out = std::max(out, sent[sent.size() - state.Share] + bound.Window);
  if (bound.IsPaced && !sent.empty())
    out = std::max(out, sent.back() + bound.Window / (2 * state.Share));
  return out;
}

std::optional<TimePoint>
SharedQuota::availableAt(const direct::BackendServer &server,
                         const QuotaBound &bound,
                         const direct::Catalog &catalog) {
  std::lock_guard guard(Lock);
  return nextSendAt(stateOf(server, bound, catalog));
}

bool SharedQuota::tryAcquire(const direct::BackendServer &server,
                             const QuotaBound &bound,
                             const direct::Catalog &catalog, TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = stateOf(server, bound, catalog);
  std::optional<TimePoint> availableFrom = nextSendAt(state);
  if (!availableFrom || now < *availableFrom)
    return false;
  state.Sent.push_back(now);
  while (state.Sent.front() + bound.Window <= now)
    state.Sent.pop_front();
  return true;
}

void SharedQuota::forgetIdle(TimePoint usedBefore) {
  std::lock_guard guard(Lock);
  std::erase_if(Servers, [&](const auto &it) {
    return it.second.Sent.empty() || it.second.Sent.back() < usedBefore;
  });
}

} // namespace daisytack::balancing
