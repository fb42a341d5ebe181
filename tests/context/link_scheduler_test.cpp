#include "context/link_scheduler.h"

#include "context/check.h"

#include <deque>

namespace daisytack {

namespace {

constexpr LinkLimits Limits{1e6, 1'000'000, 3'000'000, 2, Duration(1000)};

TimePoint at(int64_t micros) { return TimePoint(Duration(micros)); }

Transfer fetch(uint64_t id, uint64_t bytes, int64_t deadline) {
  return {id, TransferKind::Fetch, bytes, at(deadline)};
}

Transfer exportOf(uint64_t id, uint64_t bytes) {
  return {id, TransferKind::Export, bytes, {}};
}

} // namespace

TEST(LinkScheduler, EarliestDeadlineFirstAndExportsLast) {
  LinkScheduler link(Limits);
  Error reason;
  ASSERT_TRUE(link.add(exportOf(1, 10), at(0), reason));
  ASSERT_TRUE(link.add(fetch(2, 10, 500), at(0), reason));
  ASSERT_TRUE(link.add(fetch(3, 10, 300), at(0), reason));
  EXPECT_EQ(link.next(at(0))->Id, 3U);
  EXPECT_EQ(link.next(at(0))->Id, 2U);
  EXPECT_FALSE(link.next(at(0)));
  link.finish(3, 10, at(10));
  EXPECT_FALSE(link.next(at(10))) << "an export starts only on an idle link";
  link.finish(2, 10, at(10));
  EXPECT_EQ(link.next(at(10))->Id, 1U);
  link.add(fetch(4, 10, 900), at(11), reason);
  EXPECT_EQ(link.next(at(11))->Id, 4U)
      << "a running export must not block a fetch";
}

TEST(LinkScheduler, RefusesExportsBeyondTheBacklogLimit) {
  LinkScheduler link(Limits);
  Error reason;
  for (uint64_t i = 0; i < 3; ++i)
    EXPECT_TRUE(link.add(exportOf(i, 1'000'000), at(0), reason));
  EXPECT_FALSE(link.add(exportOf(9, 1), at(0), reason));
  EXPECT_EQ(reason.Kind, ErrorKind::BudgetSpent);
  EXPECT_TRUE(link.cancelWaiting(0));
  EXPECT_FALSE(link.cancelWaiting(0));
  EXPECT_TRUE(link.add(exportOf(9, 1), at(0), reason));
  link.next(at(0));
  EXPECT_EQ(link.inFlight(), 1U);
  EXPECT_FALSE(link.cancelWaiting(1)) << "in flight";
  link.cancel(1);
  EXPECT_EQ(link.inFlight(), 0U);
}

TEST(LinkScheduler, LinkIdlesAfterATransferLargerThanTheBurst) {
  LinkScheduler link(Limits);
  Error reason;
  link.add(fetch(1, 3'000'000, 1), at(0), reason);
  link.add(fetch(2, 1, 2), at(0), reason);
  EXPECT_EQ(link.next(at(0))->Id, 1U);
  EXPECT_FALSE(link.next(at(1'999'999)));
  EXPECT_EQ(link.nextAt(at(0)), at(2'000'001));
  EXPECT_EQ(link.next(at(2'000'001))->Id, 2U);
}

TEST(LinkScheduler, ExportsWaitWhileTheLinkIsCongested) {
  LinkScheduler link(Limits);
  Error reason;
  link.add(fetch(1, 100'000, 1), at(0), reason);
  link.next(at(0));
  link.finish(1, 100'000, at(2'000'000)); // A twentieth of the rate limit.
  link.add(exportOf(2, 100'000), at(2'000'000), reason);
  EXPECT_FALSE(link.next(at(2'000'000)));
  EXPECT_FALSE(link.nextAt(at(2'000'000)))
      << "no start without new measurements";
  EXPECT_TRUE(link.next(at(200'000'000))) << "the old measurement has decayed";
}

TEST(LinkScheduler, LearnsASlowLinkBeforeATransferHasEnded) {
  LinkScheduler link(Limits);
  Error reason;
  link.add(fetch(1, 500'000, 1), at(0), reason);
  link.next(at(0));
  EXPECT_DOUBLE_EQ(link.bytesPerSecond(at(1000)), 1e6);
  // The transfer runs at a hundredth of the rate limit. After five seconds the
  // rate can be at most a tenth.
  EXPECT_LE(link.bytesPerSecond(at(5'001'000)), 1e5);
  link.finish(1, 500'000, at(50'001'000));
  double learned = link.bytesPerSecond(at(50'001'000));
  EXPECT_LT(learned, 1e6);
  // Without new measurements the rate returns to the limit, so that a recovered
  // link is used again.
  EXPECT_GT(link.bytesPerSecond(at(200'000'000)), 0.95e6);
}

TEST(LinkScheduler, BacklogCountsEarlierFetches) {
  LinkScheduler link(Limits);
  Error reason;
  link.add(fetch(1, 100, 10), at(0), reason);
  link.add(fetch(2, 200, 20), at(0), reason);
  link.add(exportOf(3, 400), at(0), reason);
  EXPECT_EQ(link.backlogBefore(at(5)), 0U);
  EXPECT_EQ(link.backlogBefore(at(10)), 100U);
  EXPECT_EQ(link.backlogBefore(at(99)), 300U);
  link.next(at(0));
  EXPECT_EQ(link.backlogBefore(at(5)), 100U)
      << "transfers in flight come before all fetches";
}

TEST(LinkScheduler, NeverOverBudgetAndAlwaysInDeadlineOrder) {
  expectProperty([] {
    LinkScheduler link(Limits);
    struct Start {
      int64_t At;
      uint64_t Bytes;
    };
    std::vector<Start> starts;
    std::vector<Transfer> waiting;
    std::deque<Transfer> running;
    int64_t now = 0;
    uint64_t id = 0;
    Error reason;
    uint64_t largest = Limits.BurstBytes;
    size_t steps = *rc::gen::inRange<size_t>(1, 120);
    for (size_t i = 0; i < steps; ++i) {
      now += *rc::gen::inRange<int64_t>(0, 400'000);
      bool isFetch = *rc::gen::arbitrary<bool>();
      auto bytes = *rc::gen::inRange<uint64_t>(1, 1'500'000);
      largest = std::max(largest, bytes);
      Transfer in = isFetch
                        ? fetch(++id, bytes, *rc::gen::inRange(0, 1000) * 1000)
                        : exportOf(++id, bytes);
      if (link.add(in, at(now), reason))
        waiting.push_back(in);
      if (!running.empty() && *rc::gen::arbitrary<bool>()) {
        link.finish(running.front().Id, running.front().Bytes, at(now));
        running.pop_front();
      }
      while (auto out = link.next(at(now))) {
        starts.push_back({now, out->Bytes});
        running.push_back(*out);
        std::erase(waiting, *out);
        for (const Transfer &it : waiting) {
          bool fetchWaits = it.Kind == TransferKind::Fetch;
          RC_ASSERT(!(fetchWaits && out->Kind == TransferKind::Export));
          RC_ASSERT(!fetchWaits || out->Deadline <= it.Deadline);
        }
      }
      RC_ASSERT(link.inFlight() <= Limits.MaxInFlight);
      if (auto when = link.nextAt(at(now)); when && *when == at(now))
        RC_FAIL("nextAt() is now, but next() returned nothing");
    }
    // In every window, the started bytes are at most the burst, or the largest
    // transfer if that is more, plus the bytes allowed by the rate.
    for (size_t from = 0; from < starts.size(); ++from) {
      double bytes = 0;
      for (size_t to = from; to < starts.size(); ++to) {
        bytes += static_cast<double>(starts[to].Bytes);
        double earned = static_cast<double>(starts[to].At - starts[from].At) *
                        1e-6 * Limits.BytesPerSecond;
        RC_ASSERT(bytes <= static_cast<double>(largest) + earned + 1);
      }
    }
  });
}

TEST(LinkScheduler, NextAtIsWhenTheHeadCanStart) {
  LinkScheduler link(Limits);
  Error reason;
  link.add(fetch(1, 1'000'000, 1), at(0), reason);
  link.add(fetch(2, 500'000, 2), at(0), reason);
  ASSERT_TRUE(link.next(at(0)));
  ASSERT_FALSE(link.next(at(0)));
  ASSERT_EQ(link.nextAt(at(0)), at(500'000));
  EXPECT_FALSE(link.next(at(499'000)));
  EXPECT_TRUE(link.next(at(500'000)));
}

} // namespace daisytack
