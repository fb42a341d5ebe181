/// Rate and concurrency limits of organisations, enforced over all entries
/// without a coordinator. Every entry has a static share of each limit. The
/// rest is a pool, owned by one entry that rendezvous hashing chooses, which
/// grants parts of it to entries on request. See docs/LIMITS.md for the bound
/// on over-admission.
#pragma once

#include "daisytack/error.h"
#include "daisytack/objects.h"
#include "decide/limit_messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <tbb/concurrent_hash_map.h>

namespace daisytack {

struct LimitSettings {
  double StaticShare = 0.5; ///< Share of rate, burst and concurrency that is
                            ///< split evenly among the entries.
  double MinDepth = 2; ///< Lower bound of the token bucket depth of an entry,
                       ///< in requests, however many entries there are.
  /// Minimum time between two quota requests of an entry for one organisation.
  Duration QuotaRequestInterval{250'000};
  /// Time for which a grant is valid, counted from the quota request.
  Duration GrantValidity{2'000'000};
  /// Longest time for which a caller's request may be held for a grant.
  Duration MaxGrantWait{25'000};
  bool operator==(const LimitSettings &) const = default;
};

/// One organisation's limits at one entry, or those of its pool.
struct LimitShare {
  double Rate = 0;    ///< Requests per second.
  double Depth = 0;   ///< Depth of the token bucket, in requests.
  uint32_t Slots = 0; ///< Concurrent requests.
  bool operator==(const LimitShare &) const = default;
};

/// The static share of one entry. The number of entries is that of the instance
/// list and includes unreachable ones, so that a partition does not raise the
/// shares.
LimitShare staticLimit(const Organisation &organisation, size_t entries,
                       const LimitSettings &settings);
/// The pool of the organisation, from which its owner grants parts to entries.
LimitShare pooledLimit(const Organisation &organisation,
                       const LimitSettings &settings);

/// Upper bound of the requests that all entries together admit in any time
/// window of the length, provided that they agree on the list of entries and
/// thus on the owner.
double admissionBound(const Organisation &organisation, size_t entries,
                      Duration window, const LimitSettings &settings);

/// The entry that owns the organisation's pool; nullptr if there are no
/// entries.
const Member *quotaOwner(uint64_t organisationHash,
                         std::span<const Member> entries);

enum class LimitVerdict : uint8_t {
  Admitted,
  AwaitGrant, ///< A grant is expected soon. The caller may hold the request for
              ///< up to MaxGrantWait and then call admit again.
  Refused
};

struct LimitDecision {
  LimitVerdict Verdict = LimitVerdict::Refused;
  /// OrganisationLimit with RetryAfter set, or None if admitted.
  Error Reason;
  /// Quota request that the caller must send to the owner; nullopt for none. An
  /// admitted request can carry one as well: a busy entry requests quota before
  /// it runs out.
  std::optional<QuotaRequest> OwnerRequest;
  double TokensLeft = 0; ///< Requests that could still be admitted now.
  bool operator==(const LimitDecision &) const = default;
};

/// Enforces the limits at one entry. Thread-safe: a decision takes a short lock
/// on its organisation. Memory is bounded by the number of configured
/// organisations, as callers pass only those, and forgetIdle drops idle ones.
class OrganisationLimits {
public:
  /// The entry is identified by hashName of its instance name.
  OrganisationLimits(uint64_t entry, LimitSettings settings);

  /// Decides on one request; takes a token and a concurrency slot if it is
  /// admitted. The number of entries determines the static share.
  LimitDecision admit(const Organisation &organisation, size_t entries,
                      TimePoint now);
  /// Frees the concurrency slot of an admitted request that has ended.
  void releaseSlot(uint64_t organisationHash);
  /// Applies a grant. It is ignored unless it answers the latest quota request
  /// for the organisation and that one has not been answered yet.
  void apply(const QuotaGrant &grant, TimePoint now);
  /// Drops the state of organisations that have no running requests and got
  /// neither requests nor grants for the given time.
  void forgetIdle(Duration idle, TimePoint now);
  size_t size() const { return States.size(); }

private:
  struct State {
    bool IsInitialised = false; ///< False until the first request.
    LimitShare Limit;           ///< The entry's share as of the last request.
    double Tokens = 0;          ///< Requests that may be admitted now.
    TimePoint RefilledAt;       ///< Time up to which Tokens is refilled.
    double RateGranted = 0;     ///< Requests per second.
    uint32_t SlotsGranted = 0;
    TimePoint GrantedUntil; ///< End of RateGranted and SlotsGranted.
    uint32_t Running = 0;   ///< Admitted requests that have not ended.
    double Demand = 0; ///< Requests per second, including refused ones, as a
                       ///< decaying average.
    TimePoint DemandUpdatedAt;   ///< Time up to which Demand is decayed.
    TimePoint RequestedAt;       ///< Time of the last quota request.
    bool IsGrantPending = false; ///< Whether that request is unanswered.
    uint64_t Sequence = 0;       ///< Number of that request.
  };
  /// By hashName of the organisation.
  using StateMap = tbb::concurrent_hash_map<uint64_t, State>;

  void refresh(State &state, TimePoint now) const;
  bool shouldRequestEarly(const State &state, TimePoint now) const;
  std::optional<QuotaRequest> requestQuota(uint64_t organisation, State &state,
                                           TimePoint now) const;

  uint64_t Entry;
  LimitSettings Settings;
  StateMap States;
};

/// Grants parts of the pools that one entry owns. A pool starts empty, so that
/// a new owner doesn't grant again what its predecessor has granted.
/// Thread-safe: a grant takes a short lock on its organisation.
class QuotaOwner {
public:
  explicit QuotaOwner(LimitSettings settings);

  /// Answers an entry's quota request. The grant may be zero in every part.
  QuotaGrant grant(const Organisation &organisation,
                   const QuotaRequest &request, TimePoint now);
  /// Drops the pools for which no quota request came for the given time.
  void forgetIdle(Duration idle, TimePoint now);
  size_t size() const { return Pools.size(); }

private:
  /// What one entry holds of the pool, and what it requested.
  struct Lease {
    double Rate = 0;           ///< Requests per second.
    double RequestedRate = 0;  ///< Requests per second.
    double Slots = 0;          ///< Concurrent requests.
    double RequestedSlots = 0; ///< Concurrent requests.
    TimePoint Until;           ///< End of the lease.
  };
  struct PoolState {
    bool IsInitialised = false; ///< False until the first quota request.
    double Tokens = 0;    ///< Requests; refilled at the part of the pool's rate
                          ///< that is not leased.
    TimePoint RefilledAt; ///< Time up to which Tokens is refilled.
    TimePoint CreatedAt;  ///< Time of the first quota request.
    TimePoint LastRequestAt;          ///< Time of the last quota request.
    std::map<uint64_t, Lease> Leases; ///< By hashName of the entry.
  };
  /// By hashName of the organisation.
  using PoolMap = tbb::concurrent_hash_map<uint64_t, PoolState>;

  void refresh(PoolState &pool, const LimitShare &limit, TimePoint now) const;
  /// The lease to grant for the request.
  Lease lease(const PoolState &pool, const LimitShare &limit,
              const QuotaRequest &request, TimePoint now) const;

  LimitSettings Settings;
  PoolMap Pools;
};

} // namespace daisytack
