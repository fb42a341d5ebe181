/// Slow start: how many requests per second this entry may send to a cold
/// backend server.
///
/// A cold server crashes under a rate that a warm server can handle, so the sum
/// over all entries is bounded at all times, even while entries know different
/// things or nothing of one another (balancing/shared_quota.h).
#pragma once

#include "balancing/shared_quota.h"

namespace daisytack::balancing {

struct SlowStartSettings {
  /// All entries together send a cold server at most the rate of its service
  /// times Overshoot, plus Slack, in any second.
  double Overshoot = 1;
  double Slack = 0;
  /// Share of that bound which is divided among the registered entries. The
  /// rest is a reserve for entries that do not know the latest registrations
  /// yet.
  double AllocatedShare = 0.85;
  /// Window in which an entry may use its share once. Longer than a second,
  /// because requests that are delayed in transit arrive closer together than
  /// they were sent.
  Duration Window{1'100'000};
  /// Whether entries lend one another requests of their shares.
  bool HasLoans = true;
  bool operator==(const SlowStartSettings &) const = default;
};

/// Number of requests that all entries together may send within a window to a
/// cold server of a service with this rate.
uint32_t slowStartQuota(const SlowStartSettings &settings,
                        double requestsPerSecond);

/// Thread-safe.
class SlowStart {
public:
  /// An earlier process at the same address may have used up its share just
  /// before `startedAt`, so nothing is sent in the first window after it.
  SlowStart(SlowStartSettings settings, Endpoint own, TimePoint startedAt);

  /// When this entry may send its next request to the server. A time that is
  /// not in the future means at once; nullopt means that the entry has no
  /// share.
  std::optional<TimePoint> availableAt(const direct::BackendServer &server,
                                       double requestsPerSecond,
                                       const direct::Catalog &catalog,
                                       TimePoint now);
  /// Uses one request of this entry's share; false when the share is used up.
  bool tryAcquire(const direct::BackendServer &server, double requestsPerSecond,
                  const direct::Catalog &catalog, TimePoint now);
  /// Drops servers to which nothing has been sent since `usedBefore`.
  void forgetIdle(TimePoint usedBefore) { Quota.forgetIdle(usedBefore); }

  /// See SharedQuota. The server is that of the request's key.
  std::vector<OutgoingLoanRequest>
  takeLoanRequests(const direct::Catalog &catalog, size_t max, TimePoint now) {
    return Quota.takeLoanRequests(catalog, max, now);
  }
  std::optional<QuotaLoan>
  onLoanRequest(const QuotaLoanRequest &request, const Endpoint &borrower,
                const direct::BackendServer &server, double requestsPerSecond,
                const direct::Catalog &catalog, TimePoint now);
  uint32_t onLoan(const QuotaLoan &loan, TimePoint now) {
    return Quota.onLoan(loan, now);
  }
  QuotaLoanCounts loanCounts() const { return Quota.loanCounts(); }

private:
  QuotaBound boundOf(double requestsPerSecond) const;

  SlowStartSettings Settings;
  SharedQuota Quota;
};

} // namespace daisytack::balancing
