/// Slow start: how many requests a second this entry may send to a backend
/// server that is cold.
///
/// A cold server crashes under a rate that a warm one bears, so a bound holds
/// for the sum over all entries, whatever they know of one another. What the
/// bound allows in a second is shared out among the registered entries: so many
/// whole requests to each, and what is left to those that rank first by
/// rendezvous for the server. Every entry computes the same shares from the
/// same registrations, so that no request needs a message; an entry that dies
/// or is cut off leaves its share unused, and one that is not registered has
/// none. A registration outlasts its entry, so that the shares of the living
/// never grow before the dead are surely silent.
#pragma once

#include "direct/catalog.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <unordered_map>

namespace daisytack::direct {

struct SlowStartSettings {
  /// The bound on a server's requests in one second, over all entries: its
  /// service's rate times the overshoot, and the slack.
  double Overshoot = 1;
  double Slack = 0;
  /// Of the bound so much is shared out. The rest is for entries that have not
  /// heard of the latest registrations yet.
  double SharedOut = 0.85;
  /// A share is for so long. More than a second, as sends that are delayed on
  /// their way are closer at the server than at the entry.
  Duration Window{1'100'000};
  bool operator==(const SlowStartSettings &) const = default;
};

/// What all entries together may send in a window to a server of that rate.
uint32_t slowStartQuota(const SlowStartSettings &settings,
                        double requestsPerSecond);

/// What the entry at that address may send of it. The server's id ranks the
/// entries.
uint32_t slowStartShare(uint32_t quota, std::string_view server,
                        const std::map<Endpoint, uint64_t> &registered,
                        const Endpoint &own);

/// Thread-safe.
class SlowStart {
public:
  /// A process that was at the address before may have used its share until the
  /// start of this one.
  SlowStart(SlowStartSettings settings, Endpoint own, TimePoint startedAt);

  /// When this entry may send its next request to the server: now or earlier
  /// for at once, nothing when it has no share.
  std::optional<TimePoint> opensAt(const BackendServer &server,
                                   double requestsPerSecond,
                                   const Catalog &catalog);
  /// Takes one request of the share; false when it is used up.
  bool take(const BackendServer &server, double requestsPerSecond,
            const Catalog &catalog, TimePoint now);
  /// Forgets servers to which nothing was sent since.
  void forgetIdle(TimePoint usedBefore);

private:
  struct State {
    uint64_t RegisteredVersion = 0; ///< For which the share was computed.
    double RequestsPerSecond = 0;
    uint32_t Share = 0;
    std::deque<TimePoint> Sent; ///< The latest, as many as the share.
  };

  State &stateOf(const BackendServer &server, double requestsPerSecond,
                 const Catalog &catalog);
  std::optional<TimePoint> opening(const State &state) const;

  SlowStartSettings Settings;
  Endpoint Own;
  TimePoint StartedAt;
  std::mutex Lock;
  std::unordered_map<uint64_t, State> Servers; ///< By ServerRef::key.
};

} // namespace daisytack::direct
