#include "balancing/answer_times.h"

#include <gtest/gtest.h>

namespace daisytack::balancing {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{Duration(1'000'000'000)};
const AnswerKey Key{"route", "service"};

AnswerTimeSettings settings() {
  AnswerTimeSettings out;
  out.Window = 60s;
  out.MinAnswers = 3;
  out.Margin = 1;
  out.MaxKeys = 2;
  return out;
}

/// Answers that took `took` and were complete at `at`.
void answer(AnswerTimes &times, Duration took, TimePoint at, int count = 1,
            uint32_t tokens = 0, const AnswerKey &key = Key) {
  for (int i = 0; i < count; ++i) {
    times.onSent(key, at - took);
    times.onEnded(key, AnswerEnd::Complete, tokens, at - took, at);
  }
}

TEST(AnswerTimes, KnowsNothingBeforeEnoughAnswers) {
  AnswerTimes times(settings());
  EXPECT_EQ(times.estimate(Key, 0, Start), std::nullopt);
  answer(times, 1s, Start, 2);
  EXPECT_EQ(times.estimate(Key, 0, Start), std::nullopt);
  answer(times, 2s, Start);
  EXPECT_EQ(times.estimate(Key, 0, Start), Duration(2s));
  EXPECT_EQ(times.estimate({"route", "other"}, 0, Start), std::nullopt);
}

/// Guards against an average: one answer in a hundred that is slow is cut by
/// the end of a process as well.
TEST(AnswerTimes, FollowsTheSlowestAnswer) {
  AnswerTimes times(settings());
  answer(times, 5s, Start);
  answer(times, 10ms, Start + 30s, 99);
  EXPECT_EQ(times.estimate(Key, 0, Start + 30s), Duration(5s));
}

TEST(AnswerTimes, ForgetsAnswersAfterTheWindow) {
  AnswerTimes times(settings());
  answer(times, 5s, Start + 1s);
  answer(times, 10ms, Start + 59s, 3);
  answer(times, 10ms, Start + 60s, 3);
  EXPECT_EQ(times.estimate(Key, 0, Start + 61s), Duration(5s));
  answer(times, 10ms, Start + 121s, 3);
  EXPECT_EQ(times.estimate(Key, 0, Start + 122s), Duration(10ms));
  EXPECT_EQ(times.estimate(Key, 0, Start + 400s), std::nullopt);
}

/// Guards against an estimate from a time before the servers became slow: none
/// of the slow answers is complete yet.
TEST(AnswerTimes, CountsRunningAttemptsWithTheirAge) {
  AnswerTimes times(settings());
  answer(times, 10ms, Start, 3);
  times.onSent(Key, Start);
  times.onSent(Key, Start + 1s);
  EXPECT_EQ(times.estimate(Key, 0, Start + 7s), Duration(7s));
  times.onEnded(Key, AnswerEnd::NotRun, 0, Start, Start + 7s);
  EXPECT_EQ(times.estimate(Key, 0, Start + 7s), Duration(6s));
  times.onEnded(Key, AnswerEnd::Incomplete, 0, Start + 1s, Start + 7s);
  EXPECT_EQ(times.estimate(Key, 0, Start + 8s), Duration(6s));
}

TEST(AnswerTimes, IsNoEstimateFromIncompleteAnswersAlone) {
  AnswerTimes times(settings());
  for (int i = 0; i < 5; ++i) {
    times.onSent(Key, Start);
    times.onEnded(Key, AnswerEnd::Incomplete, 0, Start, Start + 1s);
  }
  EXPECT_EQ(times.estimate(Key, 0, Start + 1s), std::nullopt);
}

TEST(AnswerTimes, ScalesWithTheLengthOfTheAnswer) {
  AnswerTimes times(settings());
  answer(times, 2s, Start, 3, 100);
  EXPECT_EQ(times.estimate(Key, 50, Start), Duration(2s));
  EXPECT_EQ(times.estimate(Key, 300, Start), Duration(6s));
  EXPECT_EQ(times.estimate(Key, UINT32_MAX, Start + 9999s), std::nullopt);
  AnswerTimes unknown(settings());
  answer(unknown, 2s, Start, 3);
  EXPECT_EQ(unknown.estimate(Key, 300, Start), std::nullopt);
}

/// Guards against an answer of any length that is expected as soon as a short
/// one.
TEST(AnswerTimes, IsNoEstimateOfAnAnswerWithoutALimitFromLimitedOnes) {
  AnswerTimes times(settings());
  answer(times, 50ms, Start, 3, 16);
  EXPECT_EQ(times.estimate(Key, 0, Start), std::nullopt);
}

TEST(AnswerTimes, HasAnUpperBound) {
  AnswerTimes times(settings());
  answer(times, 2s, Start, 3, 1);
  times.onSent(Key, Start);
  EXPECT_EQ(times.estimate(Key, UINT32_MAX, Start + 50s), Duration(24h));
}

TEST(AnswerTimes, AddsAMargin) {
  AnswerTimeSettings it = settings();
  it.Margin = 1.25;
  AnswerTimes times(it);
  answer(times, 2s, Start, 3);
  EXPECT_EQ(times.estimate(Key, 0, Start), Duration(2500ms));
}

/// Guards against memory that grows with each replaced configuration.
TEST(AnswerTimes, TracksABoundedNumberOfRoutes) {
  AnswerTimes times(settings());
  answer(times, 1s, Start, 3, 0, {"a", "s"});
  answer(times, 1s, Start, 3, 0, {"b", "s"});
  answer(times, 1s, Start, 3, 0, {"c", "s"});
  EXPECT_EQ(times.size(), 2U);
  EXPECT_EQ(times.estimate({"c", "s"}, 0, Start), std::nullopt);
  answer(times, 1s, Start + 200s, 3, 0, {"c", "s"});
  EXPECT_EQ(times.size(), 1U);
  EXPECT_EQ(times.estimate({"c", "s"}, 0, Start + 200s), Duration(1s));
}

} // namespace
} // namespace daisytack::balancing
