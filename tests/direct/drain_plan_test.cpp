#include "direct/drain_plan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisytack::direct {
namespace {

using namespace std::chrono_literals;

const TimePoint Seen{Duration(1'000'000'000)};

DrainSettings settings() {
  DrainSettings out;
  out.NoticePeriod = 2500ms;
  out.FinalAnswerLead = 500ms;
  out.LateRequestGrace = 250ms;
  out.LeastAttempt = 200ms;
  return out;
}

TEST(DrainPlan, ListensUntilTheBalancerHasNoticed) {
  DrainPlan plan(settings(), Seen, Seen, TimePoint::max());
  EXPECT_TRUE(plan.isListening(Seen + 2499ms));
  EXPECT_FALSE(plan.isListening(Seen + 2500ms));
  EXPECT_FALSE(plan.isFinalAnswerDue(Seen + 24h));
}

TEST(DrainPlan, SaysTheLastWordBeforeTheEnd) {
  DrainPlan plan(settings(), Seen, Seen, Seen + 8s);
  EXPECT_FALSE(plan.isFinalAnswerDue(Seen + 7499ms));
  EXPECT_TRUE(plan.isFinalAnswerDue(Seen + 7500ms));
}

TEST(DrainPlan, BeginsNoAttemptThatHasNoTime) {
  DrainPlan plan(settings(), Seen, Seen, Seen + 8s);
  EXPECT_TRUE(plan.mayAttempt(Seen + 7299ms));
  EXPECT_FALSE(plan.mayAttempt(Seen + 7300ms));
}

TEST(DrainPlan, CountsTheTimeInWhichTheProcessStoodStill) {
  DrainPlan plan(settings(), Seen - 2s, Seen, Seen + 8s);
  EXPECT_EQ(plan.end(), Seen + 6s);
  EXPECT_EQ(plan.acceptsRequestsUntil(), Seen + 2750ms);
  EXPECT_TRUE(plan.isFinalAnswerDue(Seen + 5500ms));
}

TEST(DrainPlan, TakesNothingThatItCannotPassOnAnyMore) {
  DrainPlan plan(settings(), Seen - 6s, Seen, Seen + 8s);
  EXPECT_EQ(plan.acceptsRequestsUntil(), Seen + 1300ms);
  EXPECT_FALSE(plan.mayAttempt(Seen + 1300ms));
  EXPECT_TRUE(plan.isListening(Seen + 1049ms));
  EXPECT_FALSE(plan.isListening(Seen + 1050ms));
}

/// Whatever the times are, what is taken may be passed on, what is passed on
/// meets the last word, and the last word comes before the end.
RC_GTEST_PROP(DrainPlan, KeepsItsMomentsInOrder, ()) {
  auto some = [](int most) { return Duration(*rc::gen::inRange(0, most)); };
  DrainSettings it;
  it.NoticePeriod = some(5'000'000);
  it.FinalAnswerLead = some(2'000'000);
  it.LateRequestGrace = some(1'000'000);
  it.LeastAttempt = some(1'000'000);
  DrainPlan plan(it, Seen - some(10'000'000), Seen, Seen + some(12'000'000));
  TimePoint taken = plan.acceptsRequestsUntil();
  RC_ASSERT(taken >= Seen);
  RC_ASSERT(!plan.isListening(taken) || taken == Seen);
  RC_ASSERT(plan.end() >= Seen);
  TimePoint now = Seen + some(12'000'000);
  if (plan.isListening(now))
    RC_ASSERT(now < taken);
  if (plan.mayAttempt(now))
    RC_ASSERT(!plan.isFinalAnswerDue(now));
  if (plan.isOver(now))
    RC_ASSERT(plan.isFinalAnswerDue(now));
}

TEST(DrainPlan, NeverEndsBeforeItBegan) {
  DrainPlan plan(settings(), Seen - 20s, Seen, Seen + 8s);
  EXPECT_EQ(plan.end(), Seen);
  EXPECT_FALSE(plan.isListening(Seen));
  EXPECT_TRUE(plan.isFinalAnswerDue(Seen));
}

} // namespace
} // namespace daisytack::direct
