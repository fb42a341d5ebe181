/// One agent's hold of one of its model's load slots: a key in the key-value
/// service, created by compare-and-swap under a lease. At most as many servers
/// of a model load weights, or drain for it, as it has slots.
///
/// A state machine: every function returns the next call to make, and each
/// call's result is given to on(). At most one call is awaited at a time;
/// results of others are ignored.
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
/// Nobody waits for its result: a lease that isn't revoked lapses.
struct RevokeLease {
  uint64_t Lease = 0;
  bool operator==(const RevokeLease &) const = default;
};

/// A call to the key-value service; its result carries the same number.
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
  /// Attempts of all servers of the model together to take a slot, per second.
  double AttemptsPerSecond = 8;
  Duration MinRetryDelay{250'000};
  /// A call without result counts as unknown after this.
  Duration CallTimeout{5'000'000};
};

/// "/daisytack/slots/MODEL/".
std::string slotPrefix(std::string_view model);

/// Not thread-safe.
class LoadSlot {
public:
  LoadSlot(LoadSlotInit init, RandomSource random);

  /// Tries to take one of the first `usable` slots, when it is time for a try.
  /// Waiting is the number of servers that compete for them.
  std::optional<SlotCall> acquire(uint32_t usableSlots, uint32_t competitors,
                                  TimePoint now);
  std::optional<SlotCall> onResult(const SlotResult &result, TimePoint now);
  /// Renews when it is due, and gives up on a call that was never answered.
  std::optional<SlotCall> onTimer(TimePoint now);
  std::optional<SlotCall> release(TimePoint now);

  /// The fencing number while the slot is held and an act is covered by the
  /// lease.
  std::optional<uint64_t> fence(TimePoint now) const;
  /// Number of the slot that is held or tried for.
  uint32_t slot() const { return Slot; }
  /// True from the first call of a try until it is released or lapses.
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
  std::optional<uint64_t>
      AwaitedCall; ///< Number of the call whose result counts.
  TimePoint AskedAt;
  TimePoint NextAttempt;
  TimePoint NextRenewal;
};

} // namespace daisytack::swap
