#include "decide/backoff.h"
#include "decide/ejection.h"
#include "decide/release.h"
#include "decide/retry_budget.h"

#include "decide/fixtures.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisytack {

RC_GTEST_PROP(RetryBudget, IsNeverExceeded, (std::vector<bool> steps)) {
  RetryBudgetSettings settings;
  RetryBudget budget(settings);
  double requests = 0;
  double retries = 0;
  for (bool isRequest : steps) {
    if (isRequest) {
      budget.onRequest();
      ++requests;
    } else if (budget.tryRetry()) {
      ++retries;
    }
    RC_ASSERT(retries <= settings.Share * requests + settings.Reserve + 1e-9);
  }
}

RC_GTEST_PROP(Backoff, IsJitteredAndNeverPassesTheDeadline, ()) {
  auto draw = *rc::gen::arbitrary<uint64_t>();
  auto attempt = *rc::gen::inRange<Attempt>(1, 40);
  Duration remaining = millis(*rc::gen::inRange(0, 5'000));
  Duration needed = millis(*rc::gen::inRange(0, 1'000));
  Duration after = millis(*rc::gen::inRange(0, 500));
  BackoffSettings settings;
  auto delay = retryDelay(attempt, after, remaining, needed, settings,
                          [draw] { return draw; });
  if (!delay)
    return;
  RC_ASSERT(*delay >= after);
  RC_ASSERT(*delay <= after + settings.MaxDelay);
  RC_ASSERT(*delay + needed <= remaining);
}

/// RFD 1 requires that at most max(floor(n / 3), 1) of n servers are ejected in
/// any window.
RC_GTEST_PROP(Ejection, IsCappedPerWindow, ()) {
  auto n = *rc::gen::inRange<size_t>(2, 30);
  EjectionSettings settings;
  Ejector ejector(settings);
  std::vector<TimePoint> ejected;
  TimePoint now = Epoch;
  for (int i = 0; i < 400; ++i) {
    now += millis(*rc::gen::inRange(0, 2'000));
    auto server = *rc::gen::inRange<uint64_t>(1, n + 1);
    if (ejector.onFailure(7, n, server, now) == EjectionVerdict::Ejected) {
      RC_ASSERT(ejector.isEjected(server, now));
      ejected.push_back(now);
    }
  }
  for (size_t i = ejectionCap(n); i < ejected.size(); ++i)
    RC_ASSERT(ejected[i] - ejected[i - ejectionCap(n)] >= settings.Window);
}

TEST(Ejection, TheLastServerIsEjectedAfterItsDelayAndReturns) {
  Ejector ejector({});
  for (int i = 0; i < 10; ++i)
    EXPECT_NE(ejector.onFailure(7, 1, 1, at(i)), EjectionVerdict::Ejected);
  EXPECT_EQ(ejector.onFailure(7, 1, 1, at(600'000)), EjectionVerdict::Ejected);
  EXPECT_TRUE(ejector.isEjected(1, at(604'999)));
  EXPECT_FALSE(ejector.isEjected(1, at(605'000)));
}

TEST(Ejection, SlowAnswersCountAsFailuresAndOthersResetThem) {
  Ejector ejector({});
  auto answer = [&](int64_t took) {
    return ejector.onAnswer(7, 9, 1, millis(100), millis(took), Epoch);
  };
  answer(500);
  answer(500);
  answer(100);
  answer(500);
  EXPECT_EQ(answer(500), EjectionVerdict::None);
  EXPECT_EQ(answer(500), EjectionVerdict::Ejected);
}

namespace {

WallTime wall(int64_t n) { return WallTime(millis(n)); }

RequestClass bulletin(std::optional<WallTime> at) {
  RequestClass out;
  out.Name = "bulletin";
  out.ReleaseAt = at;
  return out;
}

} // namespace

TEST(Release, HandlesLateMissingAndChangedReleaseTimes) {
  EXPECT_EQ(decideRelease(bulletin({}), wall(5)).Step, ReleaseStep::SendNow);
  EXPECT_EQ(decideRelease(bulletin(wall(9)), wall(5)),
            (ReleaseDecision{ReleaseStep::HoldUntil, wall(9), millis(0)}));
  EXPECT_EQ(decideRelease(bulletin(wall(5)), wall(8)),
            (ReleaseDecision{ReleaseStep::SendLate, wall(5), millis(3)}));
  EXPECT_EQ(checkRelease(bulletin(wall(10)), millis(4), wall(5)).Kind,
            ErrorKind::DeadlineTooShort);
  EXPECT_FALSE(checkRelease(bulletin(wall(10)), millis(5), wall(5)));

  ReleaseQueue queue;
  queue.hold({{1, 1}, "bulletin", wall(1)});
  queue.hold({{1, 2}, "bulletin", wall(2)});
  queue.hold({{1, 3}, "bulletin", wall(3)});
  EXPECT_TRUE(queue.forget({1, 3}));
  EXPECT_FALSE(queue.forget({1, 3}));
  EXPECT_EQ(queue.nextDue({bulletin(wall(9))}), wall(9));
  EXPECT_TRUE(queue.takeDue({bulletin(wall(9))}, wall(8)).empty());
  // The release time is moved to a later one, then removed: then both answers
  // are due at once.
  EXPECT_TRUE(queue.takeDue({bulletin(wall(20))}, wall(9)).empty());
  EXPECT_EQ(queue.takeDue({bulletin({})}, wall(9)).size(), 2U);
  EXPECT_EQ(queue.held(), 0U);
  EXPECT_EQ(queue.nextDue({}), std::nullopt);
}

} // namespace daisytack
