/// Rate limits that backend servers announce in their answers: requests per
/// second from all entries together, in force until an answer says otherwise.
///
/// Only a server's own answers set or lift its limit. The entry that received
/// the latest answer passes it on to the others, so that all entries apply the
/// same limit, including those without a share of it. State of one start of a
/// server never applies to another start.
#pragma once

#include "balancing/shared_quota.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace daisytack::balancing {

struct RequestLimitSettings {
  /// Window of a limit's quota: the four seconds over which servers count
  /// requests, plus a tenth, because requests that are delayed in transit
  /// arrive closer together than they were sent.
  Duration Window{4'400'000};
  /// Upper bound on the window for limits below one request per Window. Only an
  /// answer shows that a limit was lifted, so requests must not be too rare.
  Duration MaxWindow{10'000'000};
  /// How long the lifting of a limit is passed on to other entries.
  Duration LiftGossipTime{10'000'000};
  /// Maximum number of limits in one message, so that it fits into a datagram.
  size_t MaxGossipReports = 64;
  /// Number of servers with limits from which on other entries' reports about
  /// further ones are ignored. They come by datagrams, which anybody can send.
  size_t MaxServers = 16'384;
  /// Whether entries lend one another requests of their shares.
  bool HasLoans = true;
  bool operator==(const RequestLimitSettings &) const = default;
};

/// How one answer changed the limit that is assumed for a server.
enum class LimitChange : uint8_t { None, Imposed, Lifted };

/// What a server's latest answer said about its limit, as passed on between
/// entries.
struct LimitReport {
  uint64_t ServerKey = 0; ///< ServerRef::key() of one start of a server.
  bool IsLimited = false;
  double PerSecond = 0; ///< Requests per second; 0 without a limit.
  uint32_t AgeMs = 0;   ///< Time since the sender received the answer.
  auto operator<=>(const LimitReport &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(ServerKey, IsLimited, PerSecond, AgeMs);
  }
};

/// Quota for the requests of all entries together to a server with this limit.
QuotaBound requestLimitBound(const RequestLimitSettings &settings,
                             double perSecond);

/// Thread-safe.
class RequestLimits {
public:
  RequestLimits(RequestLimitSettings settings, Endpoint own,
                TimePoint startedAt);

  /// The server answered a request. `perSecond` is the limit that its answer
  /// announced, in requests per second; nullopt when it announced none.
  LimitChange onAnswer(direct::ServerRef server,
                       std::optional<double> perSecond, TimePoint now);
  /// Merges reports from another entry. A report that is not newer than the
  /// latest known answer of its server does not change the server's limit.
  void onPeerReports(const std::vector<LimitReport> &reports, TimePoint now);
  /// Reports for other entries about answers that this entry received: limits
  /// in force, and limits lifted recently. When there are too many for one
  /// message, those that were passed on least recently.
  std::vector<LimitReport> takeGossip(TimePoint now);

  /// When this entry may send its next request to the server. A time that is
  /// not after `now` means at once; nullopt means that the entry has no share
  /// of the limit.
  std::optional<TimePoint> availableAt(const direct::BackendServer &server,
                                       const direct::Catalog &catalog,
                                       TimePoint now);
  /// Uses one request of this entry's share; false when the share is used up.
  /// Always true for a server without a limit.
  bool tryAcquire(const direct::BackendServer &server,
                  const direct::Catalog &catalog, TimePoint now);

  /// See SharedQuota. The server is that of the request's key.
  std::vector<OutgoingLoanRequest>
  takeLoanRequests(const direct::Catalog &catalog, size_t max, TimePoint now) {
    return Quota.takeLoanRequests(catalog, max, now);
  }
  std::optional<QuotaLoan> onLoanRequest(const QuotaLoanRequest &request,
                                         const Endpoint &borrower,
                                         const direct::BackendServer &server,
                                         const direct::Catalog &catalog,
                                         TimePoint now);
  uint32_t onLoan(const QuotaLoan &loan, TimePoint now) {
    return Quota.onLoan(loan, now);
  }
  QuotaLoanCounts loanCounts() const { return Quota.loanCounts(); }

  /// Number of servers with a limit in force.
  size_t limitedCount() const;
  /// Drops the state of servers whose latest known answer is older than
  /// `answeredBefore`.
  void forgetIdle(TimePoint answeredBefore);

private:
  struct State {
    std::optional<double> PerSecond; ///< Nullopt: no limit.
    TimePoint AnsweredAt;            ///< When the latest answer was received.
    bool IsOwn = false; ///< This entry received the latest answer itself.
    TimePoint GossipLiftUntil; ///< The lifting is passed on until then.
    TimePoint LastGossipAt;
  };

  /// Nullopt when the server has no limit.
  std::optional<QuotaBound> boundOf(const direct::BackendServer &server,
                                    TimePoint now) const;

  RequestLimitSettings Settings;
  SharedQuota Quota;
  mutable std::mutex Lock;
  std::unordered_map<uint64_t, State> Servers; ///< By ServerRef::key().
};

} // namespace daisytack::balancing
