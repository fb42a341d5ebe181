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
  out.MinAttemptTime = 200ms;
  return out;
}

TEST(DrainPlan, AcceptsConnectionsForTheNoticePeriod) {
  DrainPlan plan(settings(), Seen, Seen, TimePoint::max());
  EXPECT_TRUE(plan.isListening(Seen + 2499ms));
  EXPECT_FALSE(plan.isListening(Seen + 2500ms));
  EXPECT_FALSE(plan.isFinalAnswerDue(Seen + 24h));
}

TEST(DrainPlan, IsDueForFinalAnswersBeforeTheEnd) {
  DrainPlan plan(settings(), Seen, Seen, Seen + 8s);
  EXPECT_FALSE(plan.isFinalAnswerDue(Seen + 7499ms));
  EXPECT_TRUE(plan.isFinalAnswerDue(Seen + 7500ms));
}

TEST(DrainPlan, StartsNoAttemptWithoutEnoughTime) {
  DrainPlan plan(settings(), Seen, Seen, Seen + 8s);
  EXPECT_TRUE(plan.mayAttempt(Seen + 7299ms));
  EXPECT_FALSE(plan.mayAttempt(Seen + 7300ms));
}

TEST(DrainPlan, SubtractsTheTimeInWhichTheProcessWasStalled) {
  DrainPlan plan(settings(), Seen - 2s, Seen, Seen + 8s);
  EXPECT_EQ(plan.end(), Seen + 6s);
  EXPECT_EQ(plan.acceptsRequestsUntil(), Seen + 2750ms);
  EXPECT_TRUE(plan.isFinalAnswerDue(Seen + 5500ms));
}

TEST(DrainPlan, AcceptsNoRequestThatCannotBeAttempted) {
  DrainPlan plan(settings(), Seen - 6s, Seen, Seen + 8s);
  EXPECT_EQ(plan.acceptsRequestsUntil(), Seen + 1300ms);
  EXPECT_FALSE(plan.mayAttempt(Seen + 1300ms));
  EXPECT_TRUE(plan.isListening(Seen + 1049ms));
  EXPECT_FALSE(plan.isListening(Seen + 1050ms));
}

/// For any settings and times: requests are not accepted after attempts have
/// stopped, attempts stop before the final answers are due, and the final
/// answers are due before the end.
RC_GTEST_PROP(DrainPlan, KeepsItsDeadlinesInOrder, ()) {
  auto randomDuration = [](int limit) {
    return Duration(*rc::gen::inRange(0, limit));
  };
  DrainSettings it;
  it.NoticePeriod = randomDuration(5'000'000);
  it.FinalAnswerLead = randomDuration(2'000'000);
  it.LateRequestGrace = randomDuration(1'000'000);
  it.MinAttemptTime = randomDuration(1'000'000);
  DrainPlan plan(it, Seen - randomDuration(10'000'000), Seen,
                 Seen + randomDuration(12'000'000));
  TimePoint acceptEnd = plan.acceptsRequestsUntil();
  RC_ASSERT(acceptEnd >= Seen);
  RC_ASSERT(!plan.isListening(acceptEnd) || acceptEnd == Seen);
  RC_ASSERT(plan.end() >= Seen);
  TimePoint now = Seen + randomDuration(12'000'000);
  if (plan.isListening(now))
    RC_ASSERT(now < acceptEnd);
  if (plan.mayAttempt(now))
    RC_ASSERT(!plan.isFinalAnswerDue(now));
  if (plan.isOver(now))
    RC_ASSERT(plan.isFinalAnswerDue(now));
}

TEST(DrainPlan, NeverEndsBeforeTheSignalWasSeen) {
  DrainPlan plan(settings(), Seen - 20s, Seen, Seen + 8s);
  EXPECT_EQ(plan.end(), Seen);
  EXPECT_FALSE(plan.isListening(Seen));
  EXPECT_TRUE(plan.isFinalAnswerDue(Seen));
}

} // namespace
} // namespace daisytack::direct
