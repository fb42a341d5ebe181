#include "decide/retry_budget.h"

#include <algorithm>

namespace daisytack {

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : Deposit(static_cast<int64_t>(std::max(settings.Share, 0.0) * Unit)),
      Most(settings.Reserve * Unit), Saved(Most) {}

void RetryBudget::onRequest() {
  int64_t saved = Saved.load(std::memory_order_relaxed);
  while (saved < Most) {
    int64_t next = std::min(saved + Deposit, Most);
    if (Saved.compare_exchange_weak(saved, next, std::memory_order_relaxed))
      return;
  }
}

bool RetryBudget::tryRetry() {
  int64_t saved = Saved.load(std::memory_order_relaxed);
  while (saved >= Unit)
    if (Saved.compare_exchange_weak(saved, saved - Unit,
                                    std::memory_order_relaxed))
      return true;
  return false;
}

uint32_t RetryBudget::left() const {
  return static_cast<uint32_t>(Saved.load(std::memory_order_relaxed) / Unit);
}

} // namespace daisytack
