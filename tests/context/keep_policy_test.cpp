#include "context/keep_policy.h"

#include "base/digest.h"
#include "context/check.h"
#include "context/fake_store.h"
#include "context/store_choice.h"

#include <set>

namespace daisytack {

namespace {

constexpr uint64_t Megabyte = 1'000'000;

WallTime at(int64_t seconds) { return WallTime(std::chrono::seconds(seconds)); }

KeptMeta meta(std::string organisation, uint32_t sightings, int64_t keptAt) {
  return {std::move(organisation),
          0,
          PieceTokens,
          sightings,
          0,
          at(keptAt),
          at(1'000'000)};
}

SampledPiece sampled(uint8_t n, const KeptMeta &kept) {
  return {testKey(n), n, Megabyte, encodeMeta(kept)};
}

ExportCandidate candidate(uint32_t sightings) {
  ExportCandidate out;
  out.Before = {sightings, std::chrono::minutes(5)};
  out.Bytes = Megabyte;
  out.Quota = 100 * Megabyte;
  return out;
}

PieceKey randomKey(uint64_t n) { return PieceKey{sha256(std::to_string(n))}; }

} // namespace

TEST(KeepPolicy, ExportsOnSecondSightingWithinTheQuota) {
  ReturnModel returns;
  KeepPolicy policy({}, returns);
  EXPECT_EQ(policy.decide(candidate(0)).Verdict, ExportVerdict::FirstSighting);
  EXPECT_EQ(policy.decide(candidate(1)),
            (ExportDecision{ExportVerdict::Export, 1}));
  EXPECT_EQ(policy.decide(candidate(2)).Copies, 2U);
  ExportCandidate full = candidate(2);
  full.StoreUsed = 0.9;
  EXPECT_EQ(policy.decide(full).Copies, 1U);
  full.OrganisationBytes = full.Quota;
  EXPECT_EQ(policy.decide(full).Verdict, ExportVerdict::OverQuota);
  ExportCandidate always = candidate(0);
  always.Rule = KeepRule::Always;
  EXPECT_EQ(policy.decide(always).Verdict, ExportVerdict::Export);
  always.MayReuse = false;
  EXPECT_EQ(policy.decide(always).Verdict, ExportVerdict::NotAllowed);
  ExportCandidate never = candidate(3);
  never.Rule = KeepRule::Never;
  EXPECT_EQ(policy.decide(never).Verdict, ExportVerdict::NotAllowed);
}

TEST(KeepPolicy, EvictsTheLeastValuableFirst) {
  ReturnModel returns;
  KeepPolicy policy({}, returns);
  KeptMeta expired = meta("a", 9, 0);
  expired.ExpiresAt = at(10);
  SampledPiece sample[] = {sampled(1, meta("a", 9, 90)),
                           sampled(2, meta("a", 1, 90)), sampled(3, expired),
                           sampled(4, meta("b", 1, 80))};
  auto victims =
      policy.chooseVictims(sample, 2 * Megabyte, meta("c", 3, 100), at(100));
  ASSERT_EQ(victims.size(), 2U);
  EXPECT_EQ(victims[0].Key, testKey(3));
  EXPECT_NE(victims[1].Key, testKey(1));
  // No eviction for a less valuable piece, or if it would not free enough.
  EXPECT_TRUE(policy
                  .chooseVictims(std::span(sample, 1), Megabyte,
                                 meta("c", 1, 100), at(100))
                  .empty());
  EXPECT_TRUE(
      policy.chooseVictims(sample, 9 * Megabyte, meta("c", 9, 100), at(100))
          .empty());
  auto own =
      policy.chooseVictims(sample, Megabyte, meta("b", 9, 100), at(100), "b");
  ASSERT_EQ(own.size(), 1U);
  EXPECT_EQ(own[0].Key, testKey(4));
}

TEST(KeepPolicy, MetaRoundTripsAndPrefixesNeverOverlap) {
  expectProperty([] {
    auto name = rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("ab;%3")));
    std::string a = *name;
    std::string b = *name;
    KeptMeta kept = meta(a, 3, 50);
    kept.Index = *rc::gen::inRange<uint32_t>(0, 1000);
    RC_ASSERT(decodeMeta(encodeMeta(kept)) == kept);
    RC_ASSERT(encodeMeta(kept).starts_with(metaPrefix(b)) == (a == b));
    RC_ASSERT(!decodeMeta(encodeMeta(kept) + "x"));
  });
  for (const char *bad : {"", ";", "a;1;2;3;4;5", "a;1;2;3;4;5;-6", "%;1;2;3"})
    EXPECT_FALSE(decodeMeta(bad)) << bad;
}

TEST(SightingTableTest, CountsSightingsInBoundedMemory) {
  SightingTable table(65536);
  EXPECT_LE(table.bytes(), 1U << 20);
  TimePoint start{std::chrono::hours(1)};
  EXPECT_EQ(table.record(testKey(1), start), SightingHistory());
  EXPECT_EQ(table.record(testKey(1), start + std::chrono::hours(5)),
            (SightingHistory{1, std::chrono::hours(5)}));
  EXPECT_EQ(table.peek(testKey(1), start + std::chrono::hours(6)),
            (SightingHistory{2, std::chrono::hours(1)}));
  EXPECT_EQ(table.peek(testKey(2), start), SightingHistory());
}

TEST(SightingTableTest, RepeatedPiecesOutliveAFloodOfNewPieces) {
  SightingTable table(1000);
  TimePoint now{};
  for (uint64_t i = 0; i < 500; ++i)
    table.record(randomKey(i), now);
  now += std::chrono::hours(1);
  for (uint64_t i = 0; i < 500; ++i)
    table.record(randomKey(i), now);
  for (uint64_t i = 1000; i < 20'000; ++i)
    table.record(randomKey(i), now += Duration(1000));
  size_t kept = 0;
  for (uint64_t i = 0; i < 500; ++i)
    kept += table.peek(randomKey(i), now).Count == 2 ? 1 : 0;
  EXPECT_GE(kept, 450U);
}

TEST(ReturnModelTest, LearnsWhenPiecesReturn) {
  ReturnModel model;
  // All pieces seen once return after an hour; pieces seen twice never return.
  for (int i = 0; i < 5000; ++i) {
    model.observe({0, Duration(0)});
    model.observe({1, std::chrono::hours(1)});
  }
  EXPECT_GT(model.returnProbability(1, std::chrono::minutes(10)), 0.9);
  EXPECT_LT(model.returnProbability(1, std::chrono::hours(5)), 0.5);
  EXPECT_LT(model.returnProbability(2, Duration(0)), 0.1);
}

TEST(StoreChoice, CopiesLieInDifferentFailureDomains) {
  std::vector<StoreInstance> stores;
  for (int i = 0; i < 6; ++i) {
    std::string name = "store" + std::to_string(i);
    stores.push_back(
        {name, "domain" + std::to_string(i / 3), {}, hashName(name)});
  }
  std::vector<size_t> load(stores.size());
  for (uint64_t i = 0; i < 6000; ++i) {
    auto chosen = chooseStores(randomKey(i), stores);
    ASSERT_EQ(chosen.size(), 2U);
    EXPECT_NE(stores[chosen[0]].FailureDomain, stores[chosen[1]].FailureDomain);
    ++load[chosen[0]];
  }
  for (size_t it : load)
    EXPECT_NEAR(static_cast<double>(it), 1000, 150);
  EXPECT_EQ(chooseStores(randomKey(1), std::span(stores).first(3)).size(), 2U);
  EXPECT_EQ(chooseStores(randomKey(1), std::span(stores).first(1)).size(), 1U);
  EXPECT_TRUE(chooseStores(randomKey(1), {}).empty());
}

TEST(StoreChoice, LosingAStoreMovesOnlyItsPieces) {
  std::vector<StoreInstance> stores;
  for (int i = 0; i < 5; ++i) {
    std::string name = "store" + std::to_string(i);
    stores.push_back({name, name, {}, hashName(name)});
  }
  auto fewer = std::span(stores).first(4);
  for (uint64_t i = 0; i < 1000; ++i) {
    auto before = chooseStores(randomKey(i), stores, 1);
    bool moves = before[0] == 4;
    EXPECT_EQ(chooseStores(randomKey(i), fewer, 1) != before, moves);
  }
}

} // namespace daisytack
