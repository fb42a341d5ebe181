#include "direct/drain_plan.h"

#include <gtest/gtest.h>

namespace daisytack::direct {
namespace {

using namespace std::chrono_literals;

const TimePoint Seen{Duration(1'000'000'000)};

DrainSettings settings() {
  DrainSettings out;
  out.Notice = 2500ms;
  out.LastWord = 500ms;
  return out;
}

TEST(DrainPlan, ListensUntilTheBalancerHasNoticed) {
  DrainPlan plan(settings(), Seen, Seen, TimePoint::max());
  EXPECT_TRUE(plan.isListening(Seen + 2499ms));
  EXPECT_FALSE(plan.isListening(Seen + 2500ms));
  EXPECT_FALSE(plan.isLastWord(Seen + 24h));
}

TEST(DrainPlan, SaysTheLastWordBeforeTheEnd) {
  DrainPlan plan(settings(), Seen, Seen, Seen + 8s);
  EXPECT_FALSE(plan.isLastWord(Seen + 7499ms));
  EXPECT_TRUE(plan.isLastWord(Seen + 7500ms));
}

TEST(DrainPlan, CountsTheTimeInWhichTheProcessStoodStill) {
  DrainPlan plan(settings(), Seen - 5s, Seen, Seen + 8s);
  EXPECT_EQ(plan.end(), Seen + 3s);
  EXPECT_TRUE(plan.isListening(Seen + 2499ms));
  EXPECT_FALSE(plan.isListening(Seen + 2500ms));
  EXPECT_TRUE(plan.isLastWord(Seen + 2500ms));
}

TEST(DrainPlan, TakesNothingThatItCannotAnswerAnyMore) {
  DrainPlan plan(settings(), Seen - 7s, Seen, Seen + 8s);
  EXPECT_FALSE(plan.isListening(Seen + 500ms));
  EXPECT_TRUE(plan.isListening(Seen + 499ms));
}

TEST(DrainPlan, NeverEndsBeforeItBegan) {
  DrainPlan plan(settings(), Seen - 20s, Seen, Seen + 8s);
  EXPECT_EQ(plan.end(), Seen);
  EXPECT_FALSE(plan.isListening(Seen));
  EXPECT_TRUE(plan.isLastWord(Seen));
}

} // namespace
} // namespace daisytack::direct
