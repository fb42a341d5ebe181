/// Limits retries to a share of recent requests, so that the retries caused by
/// a failing failure domain don't overload the other ones.
#pragma once

#include <atomic>
#include <cstdint>

namespace daisytack {

struct RetryBudgetSettings {
  double Share = 0.2;    ///< Retries allowed per request.
  uint32_t Reserve = 10; ///< Upper bound of the balance, in retries; also the
                         ///< initial balance.
  bool operator==(const RetryBudgetSettings &) const = default;
};

/// A token bucket to which each request adds Share tokens and from which each
/// retry takes one. In any period, the number of retries is at most Share times
/// the number of requests plus Reserve. Thread-safe and lock-free.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetSettings settings);

  /// Records the first attempt at a request.
  void onRequest();
  /// Takes one retry from the budget. Returns false if less than one is left.
  bool tryRetry();
  /// Number of whole retries left.
  uint32_t left() const;

private:
  /// One retry, in the units of the fields below.
  static constexpr int64_t UnitsPerRetry = 1'000'000;

  int64_t Deposit;              ///< Added to the balance by each request.
  int64_t MaxBalance;           ///< Upper bound of the balance.
  std::atomic<int64_t> Balance; ///< Current balance.
};

} // namespace daisytack
