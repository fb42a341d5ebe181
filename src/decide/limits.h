/// Limits of organisations over all entries, without a coordinator: every entry
/// has a static share, and one entry chosen by rendezvous allots the rest on
/// demand. See docs/LIMITS.md for the bound on over-admission.
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
  double StaticShare = 0.5; ///< Of rate, burst and concurrency; spread evenly
                            ///< over the entries.
  double LeastDepth = 2; ///< Requests that an entry may admit at once from its
                         ///< static share, however many entries there are.
  Duration AskInterval{250'000}; ///< Between asks for one organisation.
  Duration Valid{2'000'000};     ///< Of a grant, from the ask on.
  Duration GrantWait{25'000};    ///< A caller may be held so long for a grant.
  bool operator==(const LimitSettings &) const = default;
};

/// One organisation's limits at one entry.
struct StaticLimit {
  double Rate = 0;    ///< Requests a second.
  double Depth = 0;   ///< Requests at once.
  uint32_t Slots = 0; ///< Concurrent requests.
  bool operator==(const StaticLimit &) const = default;
};

/// The static share of one of so many entries. Entries are counted from the
/// instance list, reachable or not, so that a partition does not raise shares.
StaticLimit staticLimit(const Organisation &organisation, size_t entries,
                        const LimitSettings &settings);
/// What the owner allots.
StaticLimit pooledLimit(const Organisation &organisation,
                        const LimitSettings &settings);

/// The most that all entries together admit in any window of the length, while
/// they agree on the entries and the owner.
double admissionBound(const Organisation &organisation, size_t entries,
                      Duration window, const LimitSettings &settings);

/// The entry that allots the organisation's limits; nothing without entries.
const Member *allotmentOwner(uint64_t organisationHash,
                             std::span<const Member> entries);

enum class LimitVerdict : uint8_t { Admitted, AskOwner, Refused };

struct LimitDecision {
  LimitVerdict Verdict = LimitVerdict::Refused;
  /// OrganisationLimit with RetryAfter unless admitted. With AskOwner the
  /// caller may be held for GrantWait and asked again.
  Error Reason;
  /// To be sent to the owner, also with Admitted (asking ahead).
  std::optional<AllotmentRequest> Ask;
  double Left = 0; ///< Requests that the entry could still admit now.
  bool operator==(const LimitDecision &) const = default;
};

/// An entry's side. Thread-safe; one short lock per organisation and decision.
/// Memory is bounded by the organisations of the configuration: only known ones
/// are asked about, and forgetIdle drops the idle.
class OrganisationLimits {
public:
  /// The entry is named by the hash of its instance name.
  OrganisationLimits(uint64_t entry, LimitSettings settings);

  /// Takes one request and one slot when within the limits.
  LimitDecision admit(const Organisation &organisation, size_t entries,
                      TimePoint now);
  /// Frees the slot of an admitted request that has ended.
  void finished(uint64_t organisationHash);
  /// A grant; ignored when it answers no open ask.
  void apply(const AllotmentGrant &grant, TimePoint now);
  /// Drops organisations without running requests and grants for that long.
  void forgetIdle(Duration idle, TimePoint now);
  size_t size() const { return States.size(); }

private:
  struct State {
    bool Known = false;
    StaticLimit Limit; ///< As of the last request.
    double Tokens = 0; ///< Requests that may be admitted now.
    TimePoint RefilledAt;
    double RateGranted = 0; ///< Requests a second.
    uint32_t SlotsGranted = 0;
    TimePoint GrantedUntil; ///< Of rate and slots.
    uint32_t Running = 0;
    double Demand = 0; ///< Requests a second, decayed; refused ones count.
    TimePoint DemandAt;
    TimePoint AskedAt;
    bool Asking = false;
    uint64_t Sequence = 0;
  };
  using StateMap = tbb::concurrent_hash_map<uint64_t, State>;

  void refresh(State &state, TimePoint now) const;
  bool shouldAskAhead(const State &state, TimePoint now) const;
  std::optional<AllotmentRequest> ask(uint64_t organisation, State &state,
                                      TimePoint now) const;

  uint64_t Entry;
  LimitSettings Settings;
  StateMap States;
};

/// The owner's side. It starts with an empty pool, so that a replaced owner
/// grants nothing twice. Thread-safe; one short lock per organisation.
class AllotmentOwner {
public:
  explicit AllotmentOwner(LimitSettings settings);

  AllotmentGrant grant(const Organisation &organisation,
                       const AllotmentRequest &request, TimePoint now);
  void forgetIdle(Duration idle, TimePoint now);
  size_t size() const { return Pools.size(); }

private:
  /// What one entry holds of the pool, and what it asked for.
  struct Lease {
    double Rate = 0;
    double RateWanted = 0;
    double Slots = 0;
    double SlotsWanted = 0;
    TimePoint Until;
  };
  struct PoolState {
    bool Known = false;
    double Tokens = 0; ///< Collects the rate that is not leased.
    TimePoint RefilledAt;
    TimePoint Since;
    TimePoint LastAsk;
    std::map<uint64_t, Lease> Leases; ///< By entry.
  };
  using PoolMap = tbb::concurrent_hash_map<uint64_t, PoolState>;

  void refresh(PoolState &pool, const StaticLimit &limit, TimePoint now) const;
  Lease lease(const PoolState &pool, const StaticLimit &limit,
              const AllotmentRequest &request, TimePoint now) const;

  LimitSettings Settings;
  PoolMap Pools;
};

} // namespace daisytack
