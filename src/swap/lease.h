/// A holder's own view of a lease in the key-value service, by its monotonic
/// clock.
///
/// The service counts a lease from when it grants or renews it, which is after
/// the holder asked. A holder that counts from when it asked, and gives up a
/// margin for clocks that run at different rates and for a pause between its
/// check and its act, stops before the service gives the lease to another.
#pragma once

#include "daisytack/types.h"

#include <optional>

namespace daisytack::swap {

struct LeaseInit {
  Duration TimeToLive{10'000'000};
  /// Share of the time to live by which clocks may drift apart within it.
  double DriftShare = 0.05;
  /// Longest pause between a check and the act that it permits. A longer one
  /// must be harmless by the act's fencing number.
  Duration PauseMargin{1'000'000};
};

/// Immutable between grants and renewals; the present time is an argument.
class Lease {
public:
  explicit Lease(LeaseInit init) : Init(init) {}

  /// The service granted it; TimeLeft is what the service said, askedAt when
  /// the request was sent.
  void granted(uint64_t id, Duration timeLeft, TimePoint askedAt);
  /// A renewal was answered. An answer for another lease, or without time left,
  /// ends it.
  void renewed(uint64_t id, Duration timeLeft, TimePoint askedAt);
  void lost() { Id = 0; }

  /// The id; 0 when there is none.
  uint64_t id() const { return Id; }
  /// Whether an act that follows within the pause margin is covered.
  bool mayAct(TimePoint now) const { return Id != 0 && now < ActUntil; }
  /// Whether the service may have given it to another by now.
  bool hasLapsed(TimePoint now) const { return Id == 0 || now >= EndsAt; }
  /// When to ask for the next renewal: after a third of its time, or half of
  /// that in which the holder may act.
  std::optional<TimePoint> renewAt() const;
  /// When the service may have given it to another; nothing without a lease.
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
