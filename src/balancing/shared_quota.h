/// Quota for the requests that all entries together send to one backend server
/// within a time window, enforced without any message per request.
///
/// The quota is divided among the registered entries: each gets an equal whole
/// number of requests, and the remainder goes, one request each, to the entries
/// that rank first by rendezvous hashing. Every entry computes the same shares
/// from the same registrations. The share of an entry that has crashed or is
/// partitioned away stays unused, and an entry that is not registered has no
/// share. A registration outlives its entry, so that the shares of the other
/// entries do not grow before that entry has certainly stopped sending.
#pragma once

#include "direct/catalog.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace daisytack::balancing {

struct QuotaBound {
  uint32_t Requests = 0; ///< Limit for all entries together in one window.
  Duration Window{0};
  /// Seed, with the server's id, of the ranking that decides which entries get
  /// the remainder. Another value gives the remainder to other entries.
  uint64_t Rotation = 0;
  /// Whether an entry keeps its requests apart by at least half of the window
  /// divided by its share, so that it does not use up a long window in a burst.
  bool IsPaced = false;
  bool operator==(const QuotaBound &) const = default;
};

/// Number of requests of the quota that the entry at the address `own` may
/// send; 0 when it is not registered.
uint32_t quotaShare(uint32_t quota, std::string_view server, uint64_t rotation,
                    const std::map<Endpoint, uint64_t> &registered,
                    const Endpoint &own);

/// Thread-safe.
class SharedQuota {
public:
  /// An earlier process at the same address may have used up its share just
  /// before `startedAt`, so nothing is sent in the first window after it.
  SharedQuota(Endpoint own, TimePoint startedAt);

  /// When this entry may send its next request to the server. A time that is
  /// not in the future means at once; nullopt means that the entry has no
  /// share.
  std::optional<TimePoint> availableAt(const direct::BackendServer &server,
                                       const QuotaBound &bound,
                                       const direct::Catalog &catalog);
  /// Uses one request of this entry's share; false when the share is used up.
  bool tryAcquire(const direct::BackendServer &server, const QuotaBound &bound,
                  const direct::Catalog &catalog, TimePoint now);
  /// Drops servers to which nothing has been sent since `usedBefore`.
  void forgetIdle(TimePoint usedBefore);

private:
  struct State {
    /// Version of the registrations that Share was computed for.
    uint64_t RegisteredVersion = 0;
    QuotaBound Bound; ///< Bound that Share was computed for.
    uint32_t Share = 0;
    std::deque<TimePoint> Sent; ///< Send times within the last window.
  };

  State &stateOf(const direct::BackendServer &server, const QuotaBound &bound,
                 const direct::Catalog &catalog);
  std::optional<TimePoint> nextSendAt(const State &state) const;

  Endpoint Own;
  TimePoint StartedAt;
  std::mutex Lock;
  std::unordered_map<uint64_t, State> Servers; ///< By ServerRef::key().
};

} // namespace daisytack::balancing
