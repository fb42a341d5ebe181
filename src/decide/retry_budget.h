/// Keeps retries to a share of recent requests, so that a failing domain does
/// not multiply the load on the rest.
#pragma once

#include <atomic>
#include <cstdint>

namespace daisytack {

struct RetryBudgetSettings {
  double Share = 0.2;    ///< Retries per request.
  uint32_t Reserve = 10; ///< Retries that may be saved up; also the start.
  bool operator==(const RetryBudgetSettings &) const = default;
};

/// Over any stretch of time the retries are at most Share times the requests of
/// that stretch, plus Reserve. Thread-safe and lock-free.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetSettings settings);

  /// A first attempt is made.
  void onRequest();
  /// Takes one retry from the budget; false when it is spent.
  bool tryRetry();
  /// Whole retries left.
  uint32_t left() const;

private:
  static constexpr int64_t Unit = 1'000'000;

  int64_t Deposit;
  int64_t Most;
  std::atomic<int64_t> Saved;
};

} // namespace daisytack
