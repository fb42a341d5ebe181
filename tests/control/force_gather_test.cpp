#include "control/force_gather.h"

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

TEST(ForceGather, AsksAgainUntilAllHaveIt) {
  uint64_t draws = 0;
  auto random = [&] { return mix64(++draws); };
  TimePoint start{};
  TimePoint until = start + std::chrono::seconds(5);
  ForceGather gather(membersNamed(4), "n0", 20, until, random);
  auto probes = gather.onTick(start);
  ASSERT_EQ(probes.size(), 3U);
  gather.onAnswer({probes[0].Message.Nonce, 20});
  gather.onAnswer({probes[1].Message.Nonce, 19});
  gather.onAnswer({12345, 99});
  EXPECT_TRUE(gather.onTick(start).empty());
  EXPECT_FALSE(gather.isOver(start));
  EXPECT_EQ(gather.report(20).InForce, 2U);
  EXPECT_EQ(gather.report(20).Missing.size(), 2U);
  probes = gather.onTick(start + std::chrono::seconds(1));
  ASSERT_EQ(probes.size(), 2U);
  for (const auto &probe : probes)
    gather.onAnswer({probe.Message.Nonce, 25});
  EXPECT_TRUE(gather.isOver(start));
  ForceReport all{4, 4, 4, {}};
  EXPECT_EQ(gather.report(20), all);
}

TEST(ForceGather, SamplesLargeFleets) {
  uint64_t draws = 0;
  ForceGather gather(membersNamed(2000), "n0", 20, TimePoint{},
                     [&] { return mix64(++draws); });
  EXPECT_EQ(gather.onTick(TimePoint{}).size(), ForceGather::MaxAsked);
  EXPECT_EQ(gather.report(20).Members, 2000U);
  EXPECT_EQ(gather.report(20).Asked, ForceGather::MaxAsked + 1);
  EXPECT_EQ(gather.report(20).Missing.size(), ForceGather::MaxMissing);
  EXPECT_TRUE(gather.isOver(TimePoint{}));
}

} // namespace
} // namespace daisytack::control
