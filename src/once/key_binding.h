/// Binds a caller's opaque Idempotency-Key to one ticket with an atomic
/// create-if-absent in the key-value service, so that all entries send requests
/// with this key to the same agent process. See docs/AT_MOST_ONCE.md.
#pragma once

#include "daisytack/error.h"
#include "daisytack/types.h"
#include "edge/kv.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace daisytack {

/// The name of a binding in the key-value service:
/// "/daisytack/once/ORGANISATION/HASH". HASH is the SHA-256 of the idempotency
/// key, so the service doesn't store the key itself.
std::string bindingKey(std::string_view organisation,
                       std::string_view idempotencyKey);

/// One entry's request to bind an idempotency key for one submission.
struct BindRequest {
  std::string Organisation;
  std::string IdempotencyKey;
  std::string Ticket; ///< Newly issued for this submission.
  Id128 WriterId;     ///< Random; identifies this request's write.
  uint64_t Lease = 0; ///< From BindingLease. The binding ends with it.
  bool operator==(const BindRequest &) const = default;
};

/// The key is bound. The caller must present this ticket, even if another
/// request wrote it.
struct KeyBound {
  std::string Ticket;
  bool WrittenByRequest = false; ///< Whether this request wrote the binding.
  bool operator==(const KeyBound &) const = default;
};

/// The submission was not run, and this entry will not run it. With
/// ErrorKind::ServiceUnknown the key may still be bound to the unused ticket; a
/// repeated submission then finds that ticket.
struct KeyRefused {
  Error Reason;
  bool operator==(const KeyRefused &) const = default;
};

/// The next call to the key-value service, or the final result.
using BindStep =
    std::variant<edge::KvTransaction, edge::KvRange, KeyBound, KeyRefused>;

/// A state machine that binds the key of one submission. The caller makes the
/// call that start() returns and passes each result to onCommit() or onRange(),
/// until the returned step is KeyBound or KeyRefused. Makes at most MaxCalls
/// calls.
class KeyBinding {
public:
  static constexpr uint32_t MaxCalls = 4;

  explicit KeyBinding(BindRequest request);

  BindStep start();
  BindStep onCommit(const edge::KvTransactionResult &result);
  /// Handles the result of the read that follows a lost answer to a create.
  BindStep onRange(const edge::KvRangeResult &result);

private:
  BindStep create();
  BindStep readBack();
  BindStep parseBinding(std::string_view value) const;

  BindRequest Request;
  std::string Key;
  uint32_t Calls = 0;
};

struct BindingBudgetInit {
  double BindingsPerSecond = 5;
  double Burst = 20;
};

/// Rate limit of the bindings that one process starts; a token bucket. Not
/// thread-safe.
class BindingBudget {
public:
  explicit BindingBudget(BindingBudgetInit init);
  /// Takes a token. Without one, returns false and sets the reason to
  /// BudgetSpent with the time until the next token.
  bool take(TimePoint now, Error &reason);

private:
  BindingBudgetInit Init;
  double Tokens;
  std::optional<TimePoint> LastRefill;
};

struct BindingLeaseInit {
  Duration TimeToLive{24LL * 3600 *
                      1'000'000}; ///< Maximum lifetime of a binding.
  /// How long new bindings are created under the same lease.
  Duration ReuseWindow{3600LL * 1'000'000};
};

/// The lease under which bindings are created. A new one is granted every
/// ReuseWindow and never renewed, so a binding lasts at least TimeToLive -
/// ReuseWindow and expires without a delete call. Not thread-safe.
class BindingLease {
public:
  explicit BindingLease(BindingLeaseInit init) : Init(init) {}
  /// The lease for new bindings. If empty, the caller must first have a lease
  /// granted for settings().TimeToLive.
  std::optional<uint64_t> current(TimePoint now) const;
  /// Stores a granted lease. Its age counts from askedAt, when the grant was
  /// requested, so that its remaining time is never overestimated.
  void granted(uint64_t lease, TimePoint askedAt);
  const BindingLeaseInit &settings() const { return Init; }

private:
  BindingLeaseInit Init;
  uint64_t Lease = 0;
  TimePoint GrantedAt;
};

} // namespace daisytack
