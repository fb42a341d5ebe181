/// Binds a caller's opaque Idempotency-Key to one ticket by one
/// compare-and-swap create in the key-value service, so that the key presented
/// at two entries leads to the same process. See docs/AT_MOST_ONCE.md.
#pragma once

#include "daisytack/error.h"
#include "daisytack/types.h"
#include "edge/kv.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace daisytack {

/// "/daisytack/once/ORGANISATION/HASH": the key itself is not stored.
std::string bindingKey(std::string_view organisation,
                       std::string_view idempotencyKey);

/// What one entry proposes for one submission.
struct BindRequest {
  std::string Organisation;
  std::string IdempotencyKey;
  std::string Ticket; ///< Freshly issued for this submission.
  Id128 WriterId;     ///< Random; tells our write from another's.
  uint64_t Lease = 0; ///< Of BindingLease; ends the binding.
  bool operator==(const BindRequest &) const = default;
};

/// The key is bound: present this ticket, whoever wrote it.
struct KeyBound {
  std::string Ticket;
  bool WrittenByRequest = false;
  bool operator==(const KeyBound &) const = default;
};

/// The submission was not run, and this entry will not run it. With
/// ServiceUnknown the key may nevertheless be bound to the unused ticket, which
/// a repeat will find.
struct KeyRefused {
  Error Reason;
  bool operator==(const KeyRefused &) const = default;
};

/// Next call to make, or the result.
using BindStep =
    std::variant<edge::KvTransaction, edge::KvRange, KeyBound, KeyRefused>;

/// One submission's binding: start, then feed each result until the step is
/// KeyBound or KeyRefused. At most MaxCalls calls.
class KeyBinding {
public:
  static constexpr uint32_t MaxCalls = 4;

  explicit KeyBinding(BindRequest request);

  BindStep start();
  BindStep onCommit(const edge::KvTransactionResult &result);
  /// The read back after a lost answer.
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

/// Bindings that one process may start; a token bucket. Not thread-safe.
class BindingBudget {
public:
  explicit BindingBudget(BindingBudgetInit init);
  /// False with BudgetSpent and the time until the next token.
  bool take(TimePoint now, Error &reason);

private:
  BindingBudgetInit Init;
  double Tokens;
  std::optional<TimePoint> LastRefill;
};

struct BindingLeaseInit {
  Duration TimeToLive{24LL * 3600 * 1'000'000}; ///< Of a binding at most.
  Duration ReuseWindow{3600LL *
                       1'000'000}; ///< One lease serves bindings so long.
};

/// The lease that ends bindings: granted once an hour and never kept alive, so
/// that a binding lasts at least TimeToLive - ReuseFor and no call is spent on
/// deleting. Not thread-safe.
class BindingLease {
public:
  explicit BindingLease(BindingLeaseInit init) : Init(init) {}
  /// Nothing: grant one with settings().TimeToLive first.
  std::optional<uint64_t> current(TimePoint now) const;
  /// The time before the grant was asked for, so that the lease is never taken
  /// for longer than it is.
  void granted(uint64_t lease, TimePoint askedAt);
  const BindingLeaseInit &settings() const { return Init; }

private:
  BindingLeaseInit Init;
  uint64_t Lease = 0;
  TimePoint GrantedAt;
};

} // namespace daisytack
