/// Claims and holds one of a model's load slots for an agent. A slot is a key
/// in the key-value service that is created by compare-and-swap under a lease.
/// The number of slots limits how many servers of a model load weights, or
/// drain before loading, at once.
///
/// LoadSlot is a state machine: its functions return the next call to make, if
/// any, and the caller passes the result of each call to onResult(). At most
/// one call is awaited at a time; results of other calls are ignored.
#pragma once

#include "daisytack/error.h"
#include "daisytack/types.h"
#include "edge/kv.h"
#include "swap/lease.h"

#include <optional>
#include <string>
#include <variant>

namespace daisytack::swap {

struct GrantLease {
  Duration TimeToLive{0};
  bool operator==(const GrantLease &) const = default;
};
struct KeepLease {
  uint64_t Lease = 0;
  bool operator==(const KeepLease &) const = default;
};
/// The result is not awaited: a lease that isn't revoked expires.
struct RevokeLease {
  uint64_t Lease = 0;
  bool operator==(const RevokeLease &) const = default;
};

/// A call to the key-value service. Its SlotResult carries the same number.
struct SlotCall {
  uint64_t Number = 0;
  std::variant<edge::KvRange, edge::KvTransaction, GrantLease, KeepLease,
               RevokeLease>
      Operation;
};

struct SlotResult {
  uint64_t Number = 0;
  std::variant<edge::KvRangeResult, edge::KvTransactionResult,
               edge::KvLeaseResult>
      Response;
};

struct LoadSlotInit {
  std::string Model;
  std::string Instance;
  Incarnation Process;
  LeaseInit LeaseSettings;
  /// Rate of attempts to claim a slot, of all servers of the model together.
  double AttemptsPerSecond = 8;
  Duration MinRetryDelay{250'000};
  /// A call without a result after this time is given up.
  Duration CallTimeout{5'000'000};
};

/// The prefix of the keys of a model's slots: "/daisytack/slots/MODEL/".
std::string slotPrefix(std::string_view model);

/// The state machine of one agent's slot. Not thread-safe.
class LoadSlot {
public:
  LoadSlot(LoadSlotInit init, RandomSource random);

  /// Starts to claim one of the first `usableSlots` slots, unless a claim is in
  /// progress, a slot is held or the delay after the last failure has not
  /// passed. `competitors` is the number of servers that compete for the slots.
  std::optional<SlotCall> acquire(uint32_t usableSlots, uint32_t competitors,
                                  TimePoint now);
  std::optional<SlotCall> onResult(const SlotResult &result, TimePoint now);
  /// Renews the lease when that is due, and gives up an unanswered call after
  /// CallTimeout and a slot whose lease has expired.
  std::optional<SlotCall> onTimer(TimePoint now);
  /// Releases the slot, or cancels the claim, and revokes the lease.
  std::optional<SlotCall> release(TimePoint now);

  /// The fencing token; empty unless the slot is held and the lease covers an
  /// action that follows at once.
  std::optional<uint64_t> fence(TimePoint now) const;
  /// Number of the slot that is held or being claimed, from 0.
  uint32_t slot() const { return Slot; }
  /// Whether a slot is held or being claimed.
  bool isBusy() const { return CurrentState != State::Idle; }
  bool isHeld(TimePoint now) const {
    return CurrentState == State::Held && !SlotLease.hasLapsed(now);
  }
  std::optional<TimePoint> nextTimer() const;

private:
  enum class State : uint8_t {
    Idle,
    ReadingSlots,
    GrantingLease,
    ClaimingSlot,
    VerifyingClaim,
    Held
  };

  SlotCall startCall(State next, decltype(SlotCall::Operation) operation,
                     TimePoint now);
  std::optional<SlotCall> giveUp(TimePoint now);
  std::optional<SlotCall> onSlotList(const edge::KvRangeResult &result,
                                     TimePoint now);
  std::optional<SlotCall> onGrant(const edge::KvLeaseResult &result,
                                  TimePoint now);
  std::optional<SlotCall> onClaim(const edge::KvTransactionResult &result,
                                  TimePoint now);
  std::optional<SlotCall> onVerification(const edge::KvRangeResult &result,
                                         TimePoint now);
  void onRenewal(const edge::KvLeaseResult &result, TimePoint now);
  void markHeld(uint64_t fence);
  bool isOwnClaim(const edge::KvEntry &entry) const;
  std::string slotKey(uint32_t slot) const;

  LoadSlotInit Init;
  RandomSource Random;
  Lease SlotLease;
  State CurrentState = State::Idle;
  uint32_t UsableSlots = 0;
  uint32_t Competitors = 0;
  uint32_t Slot = 0;
  uint64_t Fence = 0;
  uint64_t LastCallNumber = 0;
  /// Number of the call whose result is awaited; empty if there is none.
  std::optional<uint64_t> AwaitedCall;
  TimePoint AskedAt;
  TimePoint NextAttempt;
  TimePoint NextRenewal;
};

} // namespace daisytack::swap
