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
      What;
};

struct SlotResult {
  uint64_t Number = 0;
  std::variant<edge::KvRangeResult, edge::KvTransactionResult,
               edge::KvLeaseResult>
      What;
};

struct LoadSlotInit {
  std::string Model;
  std::string Instance;
  Incarnation Process;
  LeaseInit Term;
  /// Attempts of all servers of the model together to take a slot, per second.
  double AttemptsPerSecond = 8;
  Duration LeastRetry{250'000};
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
  std::optional<SlotCall> acquire(uint32_t usable, uint32_t waiting,
                                  TimePoint now);
  std::optional<SlotCall> on(const SlotResult &result, TimePoint now);
  /// Renews when it is due, and gives up on a call that was never answered.
  std::optional<SlotCall> onTimer(TimePoint now);
  std::optional<SlotCall> release(TimePoint now);

  /// The fencing number while the slot is held and an act is covered by the
  /// lease.
  std::optional<uint64_t> fence(TimePoint now) const;
  /// Number of the slot that is held or tried for.
  uint32_t slot() const { return Slot; }
  /// True from the first call of a try until it is released or lapses.
  bool isBusy() const { return At != State::Idle; }
  bool isHeld(TimePoint now) const {
    return At == State::Held && !Term.hasLapsed(now);
  }
  std::optional<TimePoint> nextTimer() const;

private:
  enum class State : uint8_t {
    Idle,
    Looking,
    Granting,
    Claiming,
    Checking,
    Held
  };

  SlotCall call(State next, decltype(SlotCall::What) what, TimePoint now);
  std::optional<SlotCall> giveUp(TimePoint now);
  std::optional<SlotCall> onSlots(const edge::KvRangeResult &result,
                                  TimePoint now);
  std::optional<SlotCall> onGrant(const edge::KvLeaseResult &result,
                                  TimePoint now);
  std::optional<SlotCall> onClaim(const edge::KvTransactionResult &result,
                                  TimePoint now);
  std::optional<SlotCall> onCheck(const edge::KvRangeResult &result,
                                  TimePoint now);
  void onKeep(const edge::KvLeaseResult &result, TimePoint now);
  void hold(uint64_t fence);
  bool isOurs(const edge::KvEntry &entry) const;
  std::string slotKey(uint32_t slot) const;

  LoadSlotInit Init;
  RandomSource Random;
  Lease Term;
  State At = State::Idle;
  uint32_t Usable = 0;
  uint32_t Waiting = 0;
  uint32_t Slot = 0;
  uint64_t Fence = 0;
  uint64_t Calls = 0;
  std::optional<uint64_t> Awaited; ///< Number of the call whose result counts.
  TimePoint AskedAt;
  TimePoint NextTry;
  TimePoint NextRenewal;
};

} // namespace daisytack::swap
