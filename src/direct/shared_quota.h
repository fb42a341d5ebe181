/// A bound on what all entries together send to one backend server in a window
/// of time, kept without a message for a request.
///
/// What the bound allows is shared out among the registered entries: so many
/// whole requests to each, and what is left to those that rank first by
/// rendezvous. Every entry computes the same shares from the same
/// registrations; an entry that dies or is cut off leaves its share unused, and
/// one that is not registered has none. A registration outlasts its entry, so
/// that the shares of the living never grow before the dead are surely silent.
#pragma once

#include "direct/catalog.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace daisytack::direct {

struct QuotaBound {
  uint32_t Requests = 0; ///< Of all entries in a window.
  Duration Window{0};
  /// Ranks the entries for what is left beyond equal shares, with the server.
  uint64_t Rotation = 0;
  /// The sends of one entry are kept apart by half of their even distance, so
  /// that a long window is not used up in a burst.
  bool IsPaced = false;
  bool operator==(const QuotaBound &) const = default;
};

/// What the entry at that address may send of the quota.
uint32_t quotaShare(uint32_t quota, std::string_view server, uint64_t turn,
                    const std::map<Endpoint, uint64_t> &registered,
                    const Endpoint &own);

/// Thread-safe.
class SharedQuota {
public:
  /// A process that was at the address before may have used its share until the
  /// start of this one.
  SharedQuota(Endpoint own, TimePoint startedAt);

  /// When this entry may send its next request to the server: now or earlier
  /// for at once, nothing when it has no share.
  std::optional<TimePoint> availableAt(const BackendServer &server,
                                       const QuotaBound &bound,
                                       const Catalog &catalog);
  /// Takes one request of the share; false when it is used up.
  bool tryAcquire(const BackendServer &server, const QuotaBound &bound,
                  const Catalog &catalog, TimePoint now);
  /// Forgets servers to which nothing was sent since.
  void forgetIdle(TimePoint usedBefore);

private:
  struct State {
    uint64_t RegisteredVersion = 0; ///< For which the share was computed.
    QuotaBound Bound;               ///< The same.
    uint32_t Share = 0;
    std::deque<TimePoint> Sent; ///< Those of the last window.
  };

  State &stateOf(const BackendServer &server, const QuotaBound &bound,
                 const Catalog &catalog);
  std::optional<TimePoint> opening(const State &state) const;

  Endpoint Own;
  TimePoint StartedAt;
  std::mutex Lock;
  std::unordered_map<uint64_t, State> Servers; ///< By ServerRef::key.
};

} // namespace daisytack::direct
