/// Guards against answers of weights past the rollout limit, and against
/// rollouts that stall, when orders, reports, holders and engines fail at once.
#include "direct/rollout_model.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisytack::direct {
namespace {

RolloutParams anyParams() {
  RolloutParams out;
  out.Seed = *rc::gen::arbitrary<uint64_t>();
  out.Engines = *rc::gen::inRange<size_t>(6, 41);
  out.Domains = *rc::gen::inRange<size_t>(2, 5);
  out.Entries = *rc::gen::inRange<size_t>(3, 7);
  out.LostReportShare = 0.1 * *rc::gen::inRange(0, 3);
  if (*rc::gen::arbitrary<bool>())
    out.SecondVersionAfter = 100ms * *rc::gen::inRange(1, 51);
  return out;
}

std::string describe(const RolloutParams &it) {
  std::ostringstream out;
  out << "seed " << it.Seed << ", engines " << it.Engines << ", domains "
      << it.Domains << ", entries " << it.Entries << ", unanswered "
      << it.UnansweredShare << ", lost reports " << it.LostReportShare
      << ", second version after " << it.SecondVersionAfter.count()
      << " us, holders end " << it.DoHoldersEnd << "\n";
  return out.str();
}

std::string lines(const std::vector<std::string> &faults) {
  std::string out;
  for (const std::string &it : faults)
    out += it + "\n";
  return out;
}

RC_GTEST_PROP(RolloutModelTest, KeepsItsPromisesUnderTrouble, ()) {
  RolloutParams params = anyParams();
  params.UnansweredShare = 0.1 * *rc::gen::inRange(0, 10);
  params.DoHoldersEnd = *rc::gen::arbitrary<bool>();
  RolloutOutcome out = RolloutModel(params).run();
  RC_LOG() << describe(params) << lines(out.BegunTooLate)
           << lines(out.NotRefusedAtOnce) << lines(out.OrderedUnfairly)
           << lines(out.AnsweredWrongly);
  RC_ASSERT(out.BegunTooLate.empty());
  RC_ASSERT(out.NotRefusedAtOnce.empty());
  RC_ASSERT(out.OrderedUnfairly.empty());
  RC_ASSERT(out.AnsweredWrongly.empty());
}

RC_GTEST_PROP(RolloutModelTest, LoadsAllEnginesWhenHalfOfTheOrdersAreLost, ()) {
  RolloutParams params = anyParams();
  params.UnansweredShare = 0.5;
  RolloutOutcome out = RolloutModel(params).run();
  RC_LOG() << describe(params) << lines(out.NotLoaded);
  RC_ASSERT(out.NotLoaded.empty());
}

/// The promises must not be kept by answering nothing.
TEST(RolloutModelTest, AnswersRequestsOnOutdatedAndNewWeights) {
  RolloutParams params;
  params.Seed = 1;
  RolloutOutcome out = RolloutModel(params).run();
  EXPECT_GT(out.Begun, out.Requests / 2);
  EXPECT_GT(out.BegunOnOutdated, 0U);
  EXPECT_LT(out.BegunOnOutdated, out.Begun / 2);
}

} // namespace
} // namespace daisytack::direct
