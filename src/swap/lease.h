/// The holder's view of a lease in the key-value service, on the holder's
/// monotonic clock.
///
/// The service counts a lease from when it grants or renews it, which is after
/// the holder sent the request. The holder counts from when it sent the request
/// and subtracts margins for clock drift and for a pause between a check and
/// the action, so it stops before the service can give the lease to another
/// holder.
#pragma once

#include "daisytack/types.h"

#include <optional>

namespace daisytack::swap {

struct LeaseInit {
  Duration TimeToLive{10'000'000};
  /// Maximum clock drift within the time to live, as a share of it.
  double DriftShare = 0.05;
  /// Longest tolerated pause between a check and the action that it permits.
  /// After a longer one, only the action's fencing token prevents harm.
  Duration PauseMargin{1'000'000};
};

/// Changes only by grants, renewals and loss; the current time is always an
/// argument.
class Lease {
public:
  explicit Lease(LeaseInit init) : Init(init) {}

  /// Records that the service granted the lease. `timeLeft` is the time to live
  /// in the service's answer, `askedAt` the time when the request was sent.
  void granted(uint64_t id, Duration timeLeft, TimePoint askedAt);
  /// Handles the answer to a renewal. The lease is lost if the answer is for
  /// another lease or leaves no time.
  void renewed(uint64_t id, Duration timeLeft, TimePoint askedAt);
  /// Records that the lease is lost or given up.
  void lost() { Id = 0; }

  /// The lease's id; 0 if no lease is held.
  uint64_t id() const { return Id; }
  /// Whether the lease covers an action that follows within PauseMargin.
  bool mayAct(TimePoint now) const { return Id != 0 && now < ActUntil; }
  /// Whether the service may have given the lease to another holder.
  bool hasLapsed(TimePoint now) const { return Id == 0 || now >= EndsAt; }
  /// When to request the next renewal: after a third of the time to live, or
  /// half of the time in which the holder may act, whichever is earlier. Empty
  /// without a lease.
  std::optional<TimePoint> renewAt() const;
  /// When hasLapsed() becomes true; empty without a lease.
  std::optional<TimePoint> endsAt() const;
  const LeaseInit &settings() const { return Init; }

private:
  void extend(Duration timeLeft, TimePoint askedAt);

  LeaseInit Init;
  uint64_t Id = 0;
  TimePoint RenewAt;
  TimePoint ActUntil;
  TimePoint EndsAt;
};

} // namespace daisytack::swap
