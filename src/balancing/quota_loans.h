/// Loans of requests between entries that share a quota.
///
/// An entry whose share is used up borrows from entries that use less than half
/// of theirs. The lender deducts what it lends from its own share before it
/// answers, and for longer than the borrower may use it, so that at no time two
/// entries may send the same request of the quota. A message that is lost
/// leaves a part of the lender's share unused and does no other harm.
#pragma once

#include "daisytack/types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace daisytack::balancing {

/// Sent as a datagram by an entry whose share is used up.
struct QuotaLoanRequest {
  uint64_t ServerKey = 0; ///< ServerRef::key() of one start of a server.
  /// Hash of the bound and of the registered entries, which must be the same at
  /// both entries.
  uint64_t BoundId = 0;
  uint32_t Wanted = 0; ///< Number of requests.
  uint64_t Nonce = 0;  ///< Identifies this request for a loan.
  auto operator<=>(const QuotaLoanRequest &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(ServerKey, BoundId, Wanted, Nonce);
  }
};

/// Answer to QuotaLoanRequest of an entry that lends.
struct QuotaLoan {
  uint64_t ServerKey = 0;
  uint64_t BoundId = 0;
  uint32_t Requests = 0; ///< Number of requests that the receiver may send.
  uint64_t Nonce = 0;    ///< As in the request for the loan.
  auto operator<=>(const QuotaLoan &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(ServerKey, BoundId, Requests, Nonce);
  }
};

/// Numbers since the start of this process.
struct QuotaLoanCounts {
  uint64_t Requested = 0; ///< Requests for loans that were sent.
  uint64_t Granted = 0;   ///< Loans granted to other entries.
  uint64_t Received = 0;  ///< Loans received in time.
  uint64_t Used = 0;      ///< Requests sent on loan.
  bool operator==(const QuotaLoanCounts &) const = default;
};

/// How long after the end of a loan and one more window the lender still
/// deducts it: clocks run at slightly different rates, and requests that were
/// sent at the end of the loan are delayed in transit.
constexpr Duration QuotaLoanMargin{100'000};

/// Maximum number of requests that an entry with this share lends at a time.
/// The other half lets an entry that has just started, and does not know what
/// its predecessor lent, send a part of its share.
constexpr uint32_t maxLent(uint32_t share) { return share / 2; }

/// The loans of one entry for one server. Not thread-safe.
class QuotaLoans {
public:
  /// Deduction from the own share.
  struct Deduction {
    TimePoint UsableUntil; ///< The borrower's loan has certainly ended then.
    uint32_t Requests = 0;
    uint64_t Nonce = 0;
    bool operator==(const Deduction &) const = default;
  };

  /// Time at which a deduction ends, for a bound with this window.
  static TimePoint releaseAt(const Deduction &deduction, Duration window) {
    return deduction.UsableUntil + window + QuotaLoanMargin;
  }
  /// Ordered by UsableUntil. Some may have ended.
  const std::deque<Deduction> &deductions() const { return Deductions; }
  /// Grants a loan if less than half of the share was sent in the last window
  /// and this entry has no loan itself. `sent` is the number of requests that
  /// were sent in the last window on the own share.
  std::optional<QuotaLoan> lend(const QuotaLoanRequest &request, uint32_t share,
                                uint32_t sent, Duration window, TimePoint now);

  /// A request could not be sent as the share is used up.
  void onDenied(TimePoint now);
  /// Number of requests to ask for now; 0 when there is no need or two requests
  /// for loans are in flight.
  uint32_t wanted(uint32_t share, TimePoint now) const;
  /// A request for a loan is being sent. The loan ends at now + term.
  void onRequested(const QuotaLoanRequest &request, Duration term,
                   TimePoint now);
  /// Number of requests of the loan that begins, at most as many as were
  /// wanted; 0 if the loan was not requested by this process, came twice or has
  /// ended already.
  uint32_t receive(const QuotaLoan &loan, TimePoint now);
  /// Number of requests that may be sent on loan.
  uint32_t available(TimePoint now) const;
  /// Number of requests of the loans that have not ended, used or not.
  uint32_t borrowed(TimePoint now) const;
  /// Uses one request of the loan that ends first; false if there is none.
  bool tryUse(TimePoint now);
  /// The bound or the registrations have changed.
  void dropBorrowed();

  /// Whether nothing has been lent, borrowed or wanted since the time.
  bool isIdleSince(TimePoint time, Duration window) const;

private:
  struct Pending {
    uint64_t Nonce = 0;
    uint32_t Wanted = 0;
    TimePoint SentAt;
    TimePoint UsableUntil;
  };
  struct Loan {
    TimePoint UsableUntil;
    uint32_t Granted = 0;
    uint32_t Left = 0;
  };

  std::deque<Deduction> Deductions;
  uint32_t Denied = 0; ///< Since the last request for a loan.
  TimePoint LastDeniedAt;
  std::vector<Pending> Requested;
  std::vector<Loan> Loans;
};

} // namespace daisytack::balancing
