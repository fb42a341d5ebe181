#include "control/rollout_check.h"

#include "base/digest.h"

#include <gtest/gtest.h>

namespace daisytack::control {
namespace {

std::map<std::string, Member> membersNamed(size_t count) {
  std::map<std::string, Member> out;
  for (size_t i = 0; i < count; ++i) {
    Member member;
    member.Name = "n" + std::to_string(i);
    member.Peer = {"127.0.0.1", static_cast<uint16_t>(i + 1)};
    out[member.Name] = member;
  }
  return out;
}

TEST(RolloutCheck, ProbesAgainUntilAllHaveTheRevision) {
  uint64_t draws = 0;
  auto random = [&] { return mix64(++draws); };
  TimePoint start{};
  TimePoint deadline = start + std::chrono::seconds(5);
  RolloutCheck check(membersNamed(4), "n0", 20, deadline, random);
  auto probes = check.onTick(start);
  ASSERT_EQ(probes.size(), 3U);
  check.onAnswer({probes[0].Message.Nonce, 20});
  check.onAnswer({probes[1].Message.Nonce, 19});
  check.onAnswer({12345, 99});
  EXPECT_TRUE(check.onTick(start).empty());
  EXPECT_FALSE(check.isOver(start));
  EXPECT_EQ(check.report(20).Updated, 2U);
  EXPECT_EQ(check.report(20).Missing.size(), 2U);
  probes = check.onTick(start + std::chrono::seconds(1));
  ASSERT_EQ(probes.size(), 2U);
  for (const auto &probe : probes)
    check.onAnswer({probe.Message.Nonce, 25});
  EXPECT_TRUE(check.isOver(start));
  RolloutReport all{4, 4, 4, {}};
  EXPECT_EQ(check.report(20), all);
}

TEST(RolloutCheck, SamplesLargeFleets) {
  uint64_t draws = 0;
  RolloutCheck check(membersNamed(2000), "n0", 20, TimePoint{},
                     [&] { return mix64(++draws); });
  EXPECT_EQ(check.onTick(TimePoint{}).size(), RolloutCheck::MaxSampled);
  EXPECT_EQ(check.report(20).Members, 2000U);
  EXPECT_EQ(check.report(20).Sampled, RolloutCheck::MaxSampled + 1);
  EXPECT_EQ(check.report(20).Missing.size(), RolloutCheck::MaxMissing);
  EXPECT_TRUE(check.isOver(TimePoint{}));
}

} // namespace
} // namespace daisytack::control
