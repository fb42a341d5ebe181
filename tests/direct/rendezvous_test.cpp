#include "direct/rendezvous.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace daisytack::direct {
namespace {

TEST(Rendezvous, MovesOnlyTheKeysOfARemovedMember) {
  std::vector<std::string> members{"a", "b", "c", "d"};
  auto best = [&](const std::string &key, size_t n) {
    size_t out = 0;
    for (size_t i = 1; i < n; ++i)
      if (rendezvousScore(key, members[i]) > rendezvousScore(key, members[out]))
        out = i;
    return out;
  };
  int moved = 0;
  for (int i = 0; i < 1000; ++i) {
    std::string key = std::to_string(i);
    size_t before = best(key, 4);
    size_t after = best(key, 3);
    if (before != 3)
      EXPECT_EQ(before, after);
    else
      ++moved;
  }
  EXPECT_NEAR(moved, 250, 60);
}

/// Processes that compare ranks agree with processes that compare scores.
TEST(Rendezvous, RanksMembersOfEqualWeightAsTheirScoresDo) {
  for (int i = 0; i < 500; ++i) {
    std::string key = std::to_string(i);
    std::string a = "a" + std::to_string(i * 7);
    std::string b = "b" + std::to_string(i * 3);
    EXPECT_EQ(rendezvousRank(stableHash(key), a) >
                  rendezvousRank(stableHash(key), b),
              rendezvousScore(key, a) > rendezvousScore(key, b));
  }
}

TEST(Rendezvous, SharesAreProportionalToWeights) {
  int large = 0;
  for (int i = 0; i < 2000; ++i) {
    std::string key = std::to_string(i);
    large +=
        rendezvousScore(key, "large", 3) > rendezvousScore(key, "small", 1);
  }
  EXPECT_NEAR(large, 1500, 120);
}

} // namespace
} // namespace daisytack::direct
