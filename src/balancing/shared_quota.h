/// Quota for the requests that all entries together send to one backend server
/// within a time window, enforced without any message per request.
///
/// The quota is divided among the registered entries: each gets an equal whole
/// number of requests, and the remainder goes, one request each, to the entries
/// that rank first by rendezvous hashing. Every entry computes the same shares
/// from the same registrations. The share of an entry that has crashed or is
/// partitioned away stays unused, and an entry that is not registered has no
/// share. A registration outlives its entry, so that the shares of the other
/// entries do not grow before that entry has certainly stopped sending. Entries
/// whose share is used up borrow from others (balancing/quota_loans.h).
#pragma once

#include "balancing/quota_loans.h"
#include "direct/catalog.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

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

/// A request for a loan and the entry that it goes to.
struct OutgoingLoanRequest {
  Endpoint Peer;
  QuotaLoanRequest Message;
  bool operator==(const OutgoingLoanRequest &) const = default;
};

/// Thread-safe.
class SharedQuota {
public:
  /// An earlier process at the same address may have used up its share just
  /// before `startedAt`, so nothing is sent in the first window after it. It
  /// may also have lent a part of its share, which counts as lent for as long
  /// as a loan granted at `startedAt` would. `hasLoans` is whether this entry
  /// lends and borrows.
  SharedQuota(Endpoint own, TimePoint startedAt, bool hasLoans);

  /// When this entry may send its next request to the server. A time that is
  /// not in the future means at once; nullopt means that the entry has no
  /// share.
  std::optional<TimePoint> availableAt(const direct::BackendServer &server,
                                       const QuotaBound &bound,
                                       const direct::Catalog &catalog,
                                       TimePoint now);
  /// Uses one request that was borrowed, else one of this entry's share; false
  /// when there is none.
  bool tryAcquire(const direct::BackendServer &server, const QuotaBound &bound,
                  const direct::Catalog &catalog, TimePoint now);
  /// Drops servers to which nothing has been sent since `usedBefore`.
  void forgetIdle(TimePoint usedBefore);

  /// Requests for loans, for servers whose share was used up since the last
  /// one; `max` at most. Others follow at the next call.
  std::vector<OutgoingLoanRequest>
  takeLoanRequests(const direct::Catalog &catalog, size_t max, TimePoint now);
  /// Another entry requests a loan. Nullopt if this entry doesn't lend.
  std::optional<QuotaLoan>
  onLoanRequest(const QuotaLoanRequest &request, const Endpoint &borrower,
                const direct::BackendServer &server, const QuotaBound &bound,
                const direct::Catalog &catalog, TimePoint now);
  /// Another entry grants a loan. Returns the number of requests that this
  /// entry may send on it; 0 if it was not requested here, came twice or has
  /// ended.
  uint32_t onLoan(const QuotaLoan &loan, TimePoint now);
  QuotaLoanCounts loanCounts() const;

private:
  struct State {
    /// Version of the registrations that Share was computed for.
    uint64_t RegisteredVersion = 0;
    QuotaBound Bound; ///< Bound that Share was computed for.
    uint32_t Share = 0;
    /// Hash of Bound and of the registered addresses; the same at all entries.
    uint64_t BoundId = 0;
    bool IsRegistered = false;
    /// Send times on the own share within the last window.
    std::deque<TimePoint> Sent;
    std::optional<TimePoint> LastSentAt; ///< Also of requests sent on loan.
    QuotaLoans Loans;
  };

  State &stateOf(const direct::BackendServer &server, const QuotaBound &bound,
                 const direct::Catalog &catalog);
  /// When the own share has a request left. Not called without a share.
  TimePoint shareAvailableAt(const State &state) const;
  /// When the next request may be sent on a loan or on the own share.
  std::optional<TimePoint> nextSendAt(const State &state, TimePoint now) const;
  /// Notes that a request is not sent as the share is used up.
  void onDenied(uint64_t server, State &state, TimePoint now);

  Endpoint Own;
  TimePoint StartedAt;
  bool HasLoans;
  mutable std::mutex Lock;
  std::unordered_map<uint64_t, State> Servers; ///< By ServerRef::key().
  std::unordered_set<uint64_t> Wanting; ///< Servers with a denied request.
  uint64_t LoanRequests = 0; ///< Numbers nonces, and selects peers in turn.
  QuotaLoanCounts Counts;
};

} // namespace daisytack::balancing
