#include "edge/kv_budget.h"

#include <gtest/gtest.h>

namespace daisytack::edge {
namespace {

TEST(CallBudget, LeavesAQuarterToWrites) {
  TimePoint now{};
  Metrics metrics;
  CallBudget budget(
      2, [&] { return now; }, metrics);
  int reads = 0;
  while (budget.take(CallBudget::Use::Read))
    ++reads;
  EXPECT_EQ(reads, 15);
  int writes = 0;
  while (budget.take(CallBudget::Use::Write))
    ++writes;
  EXPECT_EQ(writes, 5);
  now += std::chrono::seconds(1);
  EXPECT_TRUE(budget.take(CallBudget::Use::Write));
  EXPECT_TRUE(budget.take(CallBudget::Use::Write));
  EXPECT_FALSE(budget.take(CallBudget::Use::Write));
  now -= std::chrono::seconds(10);
  EXPECT_FALSE(budget.take(CallBudget::Use::Write)) << "a clock that goes back";
  EXPECT_EQ(budget.calls(), 22U);
}

TEST(CallBudget, OverBudgetIsUnavailableNeverUnknown) {
  TimePoint now{};
  Metrics metrics;
  auto budget = std::make_shared<CallBudget>(
      1, [&] { return now; }, metrics);
  int reached = 0;
  KvStore store;
  store.Commit = [&](const KvTransaction &, Duration, const auto &done) {
    ++reached;
    done({});
  };
  KvStore limited = withBudget(store, budget);
  KvStatus last = KvStatus::Ok;
  ErrorKind why = ErrorKind::None;
  for (int i = 0; i < 30; ++i)
    limited.Commit({}, Duration(1), [&](const KvTransactionResult &result) {
      last = result.Header.Status;
      why = result.Header.Reason.Kind;
    });
  EXPECT_EQ(reached, 20);
  EXPECT_EQ(last, KvStatus::Unavailable);
  EXPECT_EQ(why, ErrorKind::BudgetSpent);
}

/// An entry learns from the era that the service was restored from a copy.
TEST(CallBudget, KeepsTheEraOfTheService) {
  Metrics metrics;
  auto budget = std::make_shared<CallBudget>(
      1, [] { return TimePoint{}; }, metrics);
  KvStore store;
  EXPECT_FALSE(withBudget(store, budget).LatestEra);
  store.LatestEra = [] { return uint64_t{7}; };
  KvStore limited = withBudget(store, budget);
  ASSERT_TRUE(limited.LatestEra);
  EXPECT_EQ(limited.LatestEra(), 7);
}

} // namespace
} // namespace daisytack::edge
