#include "context/plan.h"

#include "context/check.h"

#include <algorithm>

namespace daisytack {

namespace {

constexpr uint64_t PieceSize = 1'000'000;
constexpr LinkState Fast{1e8, 0, Duration(1000), 0};
constexpr LinkState Slow{1e6, 0, Duration(1000), 0};

std::vector<PieceState> stored(size_t n, uint32_t link = 0) {
  StoredPiece piece{1, PieceSize, StoreTier::Memory, link};
  return std::vector<PieceState>(n, PieceState{false, piece});
}

PlanInput input(std::span<const PieceState> pieces,
                std::span<const LinkState> links) {
  PlanInput out;
  out.Pieces = pieces;
  out.Links = links;
  out.PromptTokens = static_cast<uint32_t>(pieces.size()) * PieceTokens + 100;
  out.PrefillTokensPerSecond = 10'000;
  return out;
}

} // namespace

TEST(Plan, FetchesOverAFastLinkAndRecomputesOverASlowOne) {
  auto pieces = stored(8);
  FetchPlan fast = planFetch(input(pieces, {&Fast, 1}), firstTokenWeights());
  EXPECT_EQ(fast.ReusedPieces, 8U);
  EXPECT_EQ(fast.Fetch.size(), 8U);
  EXPECT_EQ(fast.Bytes, 8 * PieceSize);
  EXPECT_EQ(fast.RecomputedTokens, 100U);
  EXPECT_LT(fast.Cost, fast.RecomputeCost);
  FetchPlan slow = planFetch(input(pieces, {&Slow, 1}), firstTokenWeights());
  EXPECT_EQ(slow.ReusedPieces, 0U);
  EXPECT_EQ(slow.Cost, slow.RecomputeCost);
  // With high recompute costs, the plan fetches even over the slow link.
  FetchPlan recomputeAverse =
      planFetch(input(pieces, {&Slow, 1}), recomputeWeights());
  EXPECT_EQ(recomputeAverse.ReusedPieces, 8U);
  // The limit on the first token still holds.
  PlanInput hurried = input(pieces, {&Slow, 1});
  hurried.FirstTokenLimit = std::chrono::seconds(2);
  EXPECT_LE(planFetch(hurried, recomputeWeights()).FirstToken,
            hurried.FirstTokenLimit);
}

TEST(Plan, QueueWaitHidesTheFetch) {
  auto pieces = stored(4);
  PlanInput in = input(pieces, {&Slow, 1});
  in.QueueWait = std::chrono::seconds(5);
  FetchPlan plan = planFetch(in, firstTokenWeights());
  EXPECT_EQ(plan.ReusedPieces, 4U);
  EXPECT_EQ(plan.FirstToken, in.QueueWait + Duration(10'000));
}

TEST(Plan, StopsAtTheFirstMissingPieceAndFetchesEngineGaps) {
  auto pieces = stored(4);
  pieces[2].Stored.reset();
  EXPECT_EQ(
      planFetch(input(pieces, {&Fast, 1}), recomputeWeights()).ReusedPieces,
      2U);
  pieces = stored(4);
  for (size_t i : {0, 2, 3})
    pieces[i] = {true, std::nullopt};
  FetchPlan plan = planFetch(input(pieces, {&Fast, 1}), recomputeWeights());
  EXPECT_EQ(plan.ReusedPieces, 4U);
  EXPECT_EQ(plan.Fetch, std::vector<uint32_t>{1});
  // Pieces in the engine are reused without any link.
  plan = planFetch(input(pieces, {}), recomputeWeights());
  EXPECT_EQ(plan.ReusedPieces, 1U);
}

TEST(LateFetch, IsGivenUpWhenRecomputingCostsLess) {
  LateFetch late;
  late.TokensAtStake = 4 * PieceTokens;
  late.PrefillTokensPerSecond = 10'000;
  late.Remaining = std::chrono::milliseconds(300);
  EXPECT_TRUE(isWorthWaiting(late, firstTokenWeights()));
  late.Remaining = std::chrono::seconds(1);
  EXPECT_FALSE(isWorthWaiting(late, firstTokenWeights()));
  late.QueueWait = std::chrono::milliseconds(700);
  EXPECT_TRUE(isWorthWaiting(late, firstTokenWeights()))
      << "hidden by the queue wait";
  late.QueueWait = Duration(0);
  EXPECT_TRUE(isWorthWaiting(late, recomputeWeights()));
  late.Limit = std::chrono::milliseconds(900);
  EXPECT_FALSE(isWorthWaiting(late, recomputeWeights())) << "past the deadline";
}

TEST(Plan, IsNoWorseThanAnyPrefix) {
  expectProperty([] {
    LinkState links[] = {Fast, Slow};
    std::vector<PieceState> pieces;
    auto n = *rc::gen::inRange<size_t>(0, 12);
    for (size_t i = 0; i < n; ++i) {
      PieceState piece;
      piece.InEngine = *rc::gen::inRange(0, 4) == 0;
      if (*rc::gen::inRange(0, 8) != 0)
        piece.Stored = StoredPiece{
            1, PieceSize,
            *rc::gen::arbitrary<bool>() ? StoreTier::Memory : StoreTier::Disk,
            *rc::gen::inRange<uint32_t>(0, 3)};
      pieces.push_back(piece);
    }
    links[0].BacklogBytes = *rc::gen::inRange<uint64_t>(0, 100'000'000);
    links[0].DiskBytesPerSecond = 1e7;
    PlanInput in = input(pieces, links);
    in.QueueWait = Duration(*rc::gen::inRange(0, 2'000'000));
    PlanWeights weights =
        *rc::gen::arbitrary<bool>() ? firstTokenWeights() : recomputeWeights();
    FetchPlan plan = planFetch(in, weights);
    for (size_t cut = 0; cut <= n; ++cut) {
      PlanInput shorter = in;
      shorter.Pieces = std::span(pieces).first(cut);
      RC_ASSERT(plan.Cost <= planFetch(shorter, weights).Cost);
    }
    RC_ASSERT(plan.Cost <= plan.RecomputeCost);
    RC_ASSERT(plan.ReusedPieces <= n);
    RC_ASSERT(plan.FirstToken >= in.QueueWait);
    for (uint32_t it : plan.Fetch)
      RC_ASSERT(it < plan.ReusedPieces && !pieces[it].InEngine);
  });
}

} // namespace daisytack
