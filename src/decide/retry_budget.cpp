#include "decide/retry_budget.h"

#include <algorithm>

namespace daisytack {

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : Deposit(
          static_cast<int64_t>(std::max(settings.Share, 0.0) * UnitsPerRetry)),
      MaxBalance(settings.Reserve * UnitsPerRetry), Balance(MaxBalance) {}

void RetryBudget::onRequest() {
  int64_t balance = Balance.load(std::memory_order_relaxed);
  while (balance < MaxBalance) {
    int64_t next = std::min(balance + Deposit, MaxBalance);
    if (Balance.compare_exchange_weak(balance, next, std::memory_order_relaxed))
      return;
  }
}

bool RetryBudget::tryRetry() {
  int64_t balance = Balance.load(std::memory_order_relaxed);
  while (balance >= UnitsPerRetry)
    if (Balance.compare_exchange_weak(balance, balance - UnitsPerRetry,
                                      std::memory_order_relaxed))
      return true;
  return false;
}

uint32_t RetryBudget::left() const {
  return static_cast<uint32_t>(Balance.load(std::memory_order_relaxed) /
                               UnitsPerRetry);
}

} // namespace daisytack
