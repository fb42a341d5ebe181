/// Slow start: how many requests a second this entry may send to a backend
/// server that is cold.
///
/// A cold server crashes under a rate that a warm one bears, so a bound holds
/// for the sum over all entries, whatever they know of one another
/// (direct/shared_quota.h).
#pragma once

#include "direct/shared_quota.h"

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

/// Thread-safe.
class SlowStart {
public:
  /// A process that was at the address before may have used its share until the
  /// start of this one.
  SlowStart(SlowStartSettings settings, Endpoint own, TimePoint startedAt);

  /// When this entry may send its next request to the server: now or earlier
  /// for at once, nothing when it has no share.
  std::optional<TimePoint> availableAt(const BackendServer &server,
                                       double requestsPerSecond,
                                       const Catalog &catalog);
  /// Takes one request of the share; false when it is used up.
  bool tryAcquire(const BackendServer &server, double requestsPerSecond,
                  const Catalog &catalog, TimePoint now);
  /// Forgets servers to which nothing was sent since.
  void forgetIdle(TimePoint usedBefore) { Shares.forgetIdle(usedBefore); }

private:
  QuotaBound boundOf(double requestsPerSecond) const;

  SlowStartSettings Settings;
  SharedQuota Shares;
};

} // namespace daisytack::direct
