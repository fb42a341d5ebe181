/// Recorded times of desired versions: what is written and what is believed.
#include "direct/desired_versions.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <vector>

namespace daisytack::direct {
namespace {

constexpr int64_t Clock = 1'796'000'000'000;
const ModelVersion Second{"m", 2};
const ModelVersion Third{"m", 3};

TEST(DesiredVersionTime, IsAnAgeByTheServersClock) {
  EXPECT_EQ(ageOf({Second, Clock - 7700}, Clock), 7'700'000);
  // The clock is learned with a delay.
  EXPECT_EQ(ageOf({Second, Clock + 200}, Clock), 0);
}

TEST(DesiredVersionTime, IsIgnoredIfItCannotBe) {
  EXPECT_FALSE(ageOf({Second, Clock + 60'000}, Clock));
  EXPECT_FALSE(ageOf({Second, INT64_MAX}, Clock));
  EXPECT_FALSE(ageOf({Second, 0}, Clock));
  EXPECT_FALSE(ageOf({Second, -1}, 5));
  EXPECT_FALSE(ageOf({Second, INT64_MIN}, Clock));
}

/// Guards against weights that pass for younger than they are once more
/// versions have been named than are remembered.
TEST(DesiredVersions, KeepsTheAgeOfWeightsOlderThanAllRememberedVersions) {
  DesiredVersions versions;
  TimePoint start{Duration(1'000'000)};
  for (uint64_t i = 0; i < 40; ++i)
    versions.note({"m", i + 2}, start + Duration(i), false);
  EXPECT_LT(versions.byModel().at("m").size(), 40);
  EXPECT_EQ(outdatedSince(versions.byModel(), "m", 1), start);
  EXPECT_EQ(outdatedSince(versions.byModel(), "m", 40), start + Duration(39));
}

TEST(DesiredVersions, TakesOverNoVersionThatItCannotRemember) {
  DesiredVersions versions;
  TimePoint start{Duration(100'000'000)};
  for (uint64_t i = 20; i < 40; ++i)
    versions.note({"m", i}, start, false);
  size_t n = versions.byModel().at("m").size();
  EXPECT_TRUE(versions.correct({{{"m", 5}, 9'000'000}}, {}, start).empty());
  EXPECT_EQ(versions.byModel().at("m").size(), n);
  EXPECT_EQ(outdatedSince(versions.byModel(), "m", 4),
            start - Duration(9'000'000));
}

TEST(TimesToRecord, HoldsEveryKnownAgeOnceAVersionIsMissing) {
  std::vector<DesiredVersionAge> ages{{Second, 4'000'000}, {Third, 1'000'000}};
  std::vector<DesiredVersionTime> both{{Second, Clock - 4000},
                                       {Third, Clock - 1000}};
  EXPECT_EQ(timesToRecord(ages, {}, Clock), both);
  EXPECT_EQ(timesToRecord(ages, {both[0]}, Clock), both);
  EXPECT_TRUE(timesToRecord(ages, both, Clock).empty());
  EXPECT_TRUE(timesToRecord({ages[1]}, both, Clock).empty());
  EXPECT_TRUE(timesToRecord({}, {}, Clock).empty());
}

TEST(TimesToRecord, KeepsTheEarlierTime) {
  std::vector<DesiredVersionAge> ages{{Second, 4'000'000}, {Third, 1'000'000}};
  std::vector<DesiredVersionTime> times =
      timesToRecord(ages, {{Second, Clock - 9000}}, Clock);
  ASSERT_EQ(times.size(), 2);
  EXPECT_EQ(times[0].SinceMs, Clock - 9000);
}

TEST(TimesToRecord, ReplacesATimeThatCannotBe) {
  EXPECT_EQ(
      timesToRecord({{Second, 4'000'000}}, {{Second, Clock + 60'000}}, Clock),
      (std::vector<DesiredVersionTime>{{Second, Clock - 4000}}));
}

TEST(TimesToRecord, IsBounded) {
  std::vector<DesiredVersionAge> ages;
  for (uint64_t version = 2; version < 100; ++version)
    ages.push_back({{"m", version}, 1000});
  EXPECT_EQ(timesToRecord(ages, {}, Clock).size(), MaxVersionAges);
}

} // namespace
} // namespace daisytack::direct
