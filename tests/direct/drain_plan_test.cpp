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
  EXPECT_TRUE(plan.mayAttempt(Seen + 7299ms, Seen + 7299ms));
  EXPECT_FALSE(plan.mayAttempt(Seen + 7300ms, Seen + 7300ms));
}

/// Guards against attempts that are begun early in the drain and cut at its
/// end: it was only checked that they could begin.
TEST(DrainPlan, StartsNoAttemptThatCannotEndInTime) {
  DrainPlan plan(settings(), Seen, Seen, Seen + 8s);
  EXPECT_TRUE(plan.mayAttempt(Seen, Seen + 7500ms));
  EXPECT_FALSE(plan.mayAttempt(Seen, Seen + 7501ms));
  EXPECT_FALSE(plan.mayAttempt(Seen, TimePoint::max()));
  DrainPlan endless(settings(), Seen, Seen, TimePoint::max());
  EXPECT_TRUE(endless.mayAttempt(Seen, Seen + 24h));
}

/// Guards against a listener that closes before the load balancer, which probes
/// once a second and needs two misses, has taken the entry out.
TEST(DrainPlan, ListensWithAShortGraceUntilTheFinalAnswers) {
  DrainPlan three(settings(), Seen, Seen, Seen + 3s);
  EXPECT_TRUE(three.isListening(Seen + 2499ms));
  EXPECT_FALSE(three.isListening(Seen + 2500ms));
  DrainPlan two(settings(), Seen, Seen, Seen + 2s);
  EXPECT_TRUE(two.isListening(Seen + 1499ms));
  EXPECT_FALSE(two.isListening(Seen + 1500ms));
  EXPECT_EQ(two.acceptsRequestsUntil(), Seen + 1300ms);
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
  EXPECT_FALSE(plan.mayAttempt(Seen + 1300ms, Seen + 1300ms));
  // Later requests are refused with an answer, so that it listens for longer.
  EXPECT_TRUE(plan.isListening(Seen + 1499ms));
  EXPECT_FALSE(plan.isListening(Seen + 1500ms));
}

/// For any settings and times: requests are not accepted after attempts have
/// stopped, attempts stop before the final answers are due and end by then, the
/// listener is closed by then but not before the end of the notice period, and
/// the final answers are due before the end.
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
  RC_ASSERT(acceptEnd <= Seen + it.NoticePeriod + it.LateRequestGrace);
  RC_ASSERT(plan.end() >= Seen);
  TimePoint now = Seen + randomDuration(12'000'000);
  RC_ASSERT(plan.isListening(now) ==
            (now < Seen + it.NoticePeriod && !plan.isFinalAnswerDue(now)));
  if (now < acceptEnd)
    RC_ASSERT(plan.mayAttempt(now, now));
  TimePoint answered = now + randomDuration(12'000'000);
  if (plan.mayAttempt(now, answered)) {
    RC_ASSERT(!plan.isFinalAnswerDue(now));
    RC_ASSERT(!plan.isFinalAnswerDue(answered - Duration(1)));
  }
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
