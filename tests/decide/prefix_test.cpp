#include "decide/prefix_popularity.h"
#include "decide/reuse_estimate.h"
#include "decide/routing.h"

#include "decide/fixtures.h"

#include <gtest/gtest.h>

namespace daisytack {

namespace {

/// Piece keys of a prompt. The first sharedPieces are common to all prompts of
/// the guide, and the ownPieces after them belong to the document.
std::vector<PieceKey> prompt(uint8_t guide, size_t sharedPieces,
                             uint32_t document, size_t ownPieces) {
  std::vector<PieceKey> out(sharedPieces + ownPieces);
  for (size_t i = 0; i < out.size(); ++i) {
    out[i].Bytes[0] = guide;
    out[i].Bytes[1] = static_cast<uint8_t>(i + 1);
    if (i < sharedPieces)
      continue;
    out[i].Bytes[2] = static_cast<uint8_t>(document);
    out[i].Bytes[3] = static_cast<uint8_t>(document >> 8U);
  }
  return out;
}

} // namespace

TEST(PrefixPopularity, HotPrefixesDoNotDecideTheHome) {
  PrefixPopularity it({});
  std::optional<uint32_t> hot;
  std::optional<uint32_t> guideOnly;
  std::optional<uint32_t> rare;
  for (uint32_t i = 0; i < 400; ++i) {
    hot = it.chooseDepth(prompt(1, 3, i, 2), 7, 12, at(i * 50));
    guideOnly = it.chooseDepth(prompt(1, 3, 0, 0), 7, 12, at(i * 50));
    if (i % 100 == 0)
      rare = it.chooseDepth(prompt(2, 3, i, 2), 7, 12, at(i * 50));
  }
  EXPECT_EQ(hot, 4U);
  EXPECT_EQ(guideOnly, std::nullopt);
  EXPECT_EQ(rare, RoutingPieces);
  // Pools are counted separately, and counts expire after two windows.
  EXPECT_EQ(it.chooseDepth(prompt(1, 3, 5, 2), 8, 12, at(20'000)),
            RoutingPieces);
  EXPECT_EQ(it.chooseDepth(prompt(1, 3, 5, 2), 7, 12, at(300'000)),
            RoutingPieces);
  EXPECT_EQ(it.chooseDepth({}, 7, 12, at(300'000)), std::nullopt);
}

TEST(PrefixPopularity, PromptsShareAHomeUpToTheDepth) {
  auto first = prompt(1, 3, 1, 2);
  auto second = prompt(1, 3, 2, 2);
  auto home = [](const std::vector<PieceKey> &pieces, uint64_t request,
                 std::optional<uint32_t> depth) {
    return makeRouteKey(9, "m", pieces, request, depth).Home;
  };
  EXPECT_EQ(home(first, 1, 2), home(second, 2, 2));
  EXPECT_NE(home(first, 1, 4), home(second, 2, 4));
  EXPECT_EQ(home(first, 1, 4), home(first, 2, 4));
  EXPECT_NE(home(first, 1, std::nullopt), home(first, 2, std::nullopt));
}

TEST(ReuseEstimate, LearnsTheReuseOfEachPosition) {
  ReuseEstimate it(0.8, 0.5);
  EXPECT_DOUBLE_EQ(it.shares()[1], 0.4);
  for (int i = 0; i < 500; ++i)
    it.observe(0, 1'000, 900);
  EXPECT_NEAR(it.shares()[0], 0.1, 0.01);
  EXPECT_DOUBLE_EQ(it.shares()[1], 0.4);
  it.observe(9, 1'000, 0);
}

} // namespace daisytack
