#include "once_world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace daisytack::test {

namespace {

constexpr size_t ScheduleLength = 60;

std::string runSchedule(const std::vector<Step> &schedule, Defect defect,
                        size_t *runs = nullptr) {
  OnceWorld world(defect);
  for (const Step &it : schedule) {
    world.apply(it);
    if (!world.violation().empty())
      break;
  }
  if (runs)
    *runs += world.runs();
  return world.violation();
}

std::vector<Step> randomSchedule(std::mt19937_64 &random) {
  std::vector<Step> out;
  for (size_t i = 0; i < ScheduleLength; ++i)
    out.push_back(
        {static_cast<StepKind>(random() % static_cast<size_t>(StepKind::Count)),
         static_cast<uint8_t>(random())});
  return out;
}

std::string showSchedule(const std::vector<Step> &schedule) {
  std::string out;
  for (const Step &it : schedule)
    out += std::to_string(static_cast<int>(it.Kind)) + "/" +
           std::to_string(it.Choice) + " ";
  return out;
}

/// Number of random schedules until the defect causes a violation; 0 if none of
/// them does.
size_t schedulesUntilViolation(Defect defect, size_t maxSchedules) {
  std::mt19937_64 random(20261202);
  for (size_t i = 1; i <= maxSchedules; ++i)
    if (!runSchedule(randomSchedule(random), defect).empty())
      return i;
  return 0;
}

} // namespace

RC_GTEST_PROP(AtMostOnce, HoldsInEveryOrderOfEvents, ()) {
  auto steps = *rc::gen::container<std::vector<std::pair<uint8_t, uint8_t>>>(
      rc::gen::pair(
          rc::gen::inRange<uint8_t>(0, static_cast<uint8_t>(StepKind::Count)),
          rc::gen::arbitrary<uint8_t>()));
  std::vector<Step> schedule;
  for (auto [kind, choice] : steps)
    schedule.push_back({static_cast<StepKind>(kind), choice});
  RC_LOG(showSchedule(schedule));
  RC_ASSERT(runSchedule(schedule, Defect::None) == "");
}

TEST(AtMostOnce, HoldsInManyLongSchedules) {
  constexpr size_t Schedules = 50'000;
  std::mt19937_64 random(1);
  size_t runs = 0;
  for (size_t i = 0; i < Schedules; ++i) {
    auto schedule = randomSchedule(random);
    ASSERT_EQ(runSchedule(schedule, Defect::None, &runs), "")
        << showSchedule(schedule);
  }
  EXPECT_GT(runs, Schedules);
}

struct SeededDefect {
  Defect Kind = Defect::None;
  const char *Name = "";
};

class SeededDefectTest : public ::testing::TestWithParam<SeededDefect> {};

TEST_P(SeededDefectTest, IsFound) {
  constexpr size_t MaxSchedules = 20'000;
  size_t n = schedulesUntilViolation(GetParam().Kind, MaxSchedules);
  EXPECT_GT(n, 0U);
  RecordProperty("schedules", static_cast<int>(n));
}

INSTANTIATE_TEST_SUITE_P(
    AtMostOnce, SeededDefectTest,
    ::testing::Values(
        SeededDefect{Defect::RestartKeepsIncarnation,
                     "RestartKeepsIncarnation"},
        SeededDefect{Defect::RecordLostWhileRunning, "RecordLostWhileRunning"},
        SeededDefect{Defect::ServiceIgnoresCompare, "ServiceIgnoresCompare"},
        SeededDefect{Defect::DuplicateRunsAgain, "DuplicateRunsAgain"},
        SeededDefect{Defect::RefusalForgotten, "RefusalForgotten"}),
    [](const auto &it) { return it.param.Name; });

} // namespace daisytack::test
