#include "serve_agent/fake_platform.h"

#include <gtest/gtest.h>

namespace daisytack::serve::test {
namespace {

constexpr uint32_t Pieces = 4;

AgentSettings withStores() {
  AgentSettings out = modelSettings();
  out.Stores.Instances = {
      {"s1", "imanta", {"127.0.0.1", 1}, hashName("s1")},
      {"s2", "jugla", {"127.0.0.1", 2}, hashName("s2")},
  };
  return out;
}

wire::Offer longOffer(uint64_t id, KeepRule keep = KeepRule::SecondSight) {
  wire::Offer out = offerOf(id);
  for (uint8_t i = 1; i <= Pieces; ++i)
    out.Pieces.push_back(keyOf(i));
  out.PromptTokens = Pieces * PieceTokens + 100;
  out.Keep = static_cast<uint8_t>(keep);
  out.KeepMicros = 3'600'000'000;
  out.KeptQuota = 1 << 20;
  return out;
}

void finish(AgentRig &rig, uint32_t cachedPieces) {
  RunDone done;
  done.Run = rig.Started.back().Run;
  done.Answer = done.Run;
  done.PromptTokens = Pieces * PieceTokens + 100;
  done.CachedTokens = cachedPieces * PieceTokens;
  rig.apply(done);
}

TEST(AgentContext, PiecesAreFetchedBeforeTheRunStarts) {
  AgentRig rig(withStores());
  FakePlatform platform(rig);
  for (uint8_t i = 1; i <= Pieces; ++i)
    platform.storePiece({i % 2U}, keyOf(i));
  rig.offer(longOffer(1));
  EXPECT_TRUE(rig.Started.empty());
  platform.answerAll();
  EXPECT_EQ(rig.Started.size(), 1U);
  ASSERT_EQ(platform.Imported.size(), Pieces);
  for (const auto &[key, bytes] : platform.Imported)
    EXPECT_EQ(bytes, payloadOf(key));
  EXPECT_EQ(rig.eventCount(EventKind::ContextPlanned), 1U);
  EXPECT_EQ(rig.eventCount(EventKind::FetchFinished), 1U);
}

TEST(AgentContext, TwoPromptsShareOneFetch) {
  AgentRig rig(withStores());
  FakePlatform platform(rig);
  for (uint8_t i = 1; i <= Pieces; ++i)
    platform.storePiece({0}, keyOf(i));
  rig.offer(longOffer(1));
  rig.offer(longOffer(2));
  platform.answerAll();
  EXPECT_EQ(rig.Started.size(), 2U);
  EXPECT_EQ(platform.CallCounts["read"], Pieces);
}

TEST(AgentContext, FaultyPieceIsNotImportedAndTheRunStarts) {
  for (StoreFault fault :
       {StoreFault::Unreachable, StoreFault::Truncated, StoreFault::BitFlip,
        StoreFault::WrongKey, StoreFault::FreedAfterRead,
        StoreFault::ReplacedAfterLookup, StoreFault::Expired,
        StoreFault::OtherOrganisation}) {
    AgentRig rig(withStores());
    FakePlatform platform(rig);
    platform.Fault = fault;
    for (uint8_t i = 1; i <= Pieces; ++i)
      platform.storePiece({0}, keyOf(i));
    rig.offer(longOffer(1));
    platform.answerAll();
    EXPECT_EQ(rig.Started.size(), 1U) << static_cast<int>(fault);
    EXPECT_TRUE(platform.Imported.empty()) << static_cast<int>(fault);
    size_t rejected = fault == StoreFault::Unreachable ? 0 : 1;
    EXPECT_GE(rig.eventCount(EventKind::PieceRejected), rejected)
        << static_cast<int>(fault);
  }
}

TEST(AgentContext, WeightSwapBetweenReadAndImportRejectsThePiece) {
  AgentRig rig(withStores());
  FakePlatform platform(rig);
  platform.storePiece({0}, keyOf(1));
  rig.offer(longOffer(1));
  while (platform.CallCounts["read"] == 0)
    ASSERT_TRUE(platform.answerOne());
  EngineStatus next = engineStatus();
  next.Version = "v2";
  rig.apply(next);
  platform.answerAll();
  EXPECT_TRUE(platform.Imported.empty());
  EXPECT_TRUE(rig.Started.empty());
  EXPECT_EQ(rig.lastTo<wire::Refused>(LinkA).Kind, ErrorKind::NotReady);
}

TEST(AgentContext, SlowFetchIsAbandoned) {
  AgentRig rig(withStores());
  FakePlatform platform(rig);
  for (uint8_t i = 1; i <= Pieces; ++i)
    platform.storePiece({0}, keyOf(i));
  rig.offer(longOffer(1));
  while (platform.CallCounts["read"] == 0)
    ASSERT_TRUE(platform.answerOne());
  rig.advanceTime(Duration(2'000'000));
  EXPECT_EQ(rig.Started.size(), 1U);
  platform.answerAll();
  EXPECT_EQ(rig.Started.size(), 1U);
}

TEST(AgentContext, CancelledRequestStopsItsFetches) {
  AgentRig rig(withStores());
  FakePlatform platform(rig);
  platform.storePiece({0}, keyOf(1));
  rig.offer(longOffer(1));
  while (platform.CallCounts["read"] == 0)
    ASSERT_TRUE(platform.answerOne());
  rig.apply(LinkMessage{LinkA, wire::Cancel{{7, 1}, 1}});
  platform.answerAll();
  EXPECT_TRUE(rig.Started.empty());
  EXPECT_TRUE(platform.Imported.empty());
  EXPECT_EQ(rig.lastTo<wire::Refused>(LinkA).Kind, ErrorKind::Cancelled);
}

TEST(AgentContext, ExportFollowsTheKeepRule) {
  struct Case {
    KeepRule Rule;
    size_t AfterFirst;
    size_t AfterSecond;
  };
  for (Case it :
       {Case{KeepRule::Never, 0, 0}, Case{KeepRule::SecondSight, 0, Pieces},
        Case{KeepRule::Always, Pieces, Pieces}}) {
    AgentRig rig(withStores());
    FakePlatform platform(rig);
    rig.offer(longOffer(1, it.Rule));
    platform.answerAll();
    finish(rig, 0);
    platform.answerAll();
    EXPECT_EQ(platform.Pieces.size(), it.AfterFirst);
    rig.offer(longOffer(2, it.Rule));
    platform.answerAll();
    finish(rig, Pieces);
    platform.answerAll();
    EXPECT_EQ(platform.Pieces.size(), it.AfterSecond);
  }
}

TEST(AgentContext, ExportedPiecesAreFetchedAgain) {
  AgentRig rig(withStores());
  FakePlatform platform(rig);
  rig.offer(longOffer(1, KeepRule::Always));
  platform.answerAll();
  finish(rig, 0);
  platform.answerAll();
  AgentRig other(withStores());
  FakePlatform same(other);
  same.Pieces = platform.Pieces;
  other.offer(longOffer(1, KeepRule::Always));
  same.answerAll();
  EXPECT_EQ(same.Imported.size(), Pieces);
}

TEST(AgentContext, QuotaAndFullStoresAreRespected) {
  AgentRig rig(withStores());
  FakePlatform platform(rig);
  platform.UsedBytes = 1 << 20;
  rig.offer(longOffer(1, KeepRule::Always));
  platform.answerAll();
  finish(rig, 0);
  platform.answerAll();
  EXPECT_EQ(platform.Pieces.size(), 0U);

  AgentRig second(withStores());
  FakePlatform full(second);
  full.Fault = StoreFault::Full;
  second.offer(longOffer(1, KeepRule::Always));
  full.answerAll();
  finish(second, 0);
  full.answerAll();
  EXPECT_EQ(full.Pieces.size(), 0U);
  EXPECT_GE(full.CallCounts["free"], Pieces);
}

TEST(AgentContext, PieceOverQuotaReplacesOnlyPiecesOfItsOrganisation) {
  for (StoreFault fault : {StoreFault::OtherOrganisation, StoreFault::None}) {
    AgentRig rig(withStores());
    FakePlatform platform(rig);
    platform.UsedBytes = 1 << 20;
    platform.Fault = fault;
    for (uint32_t store : {0U, 1U})
      for (uint8_t i = 50; i < 54; ++i)
        platform.storePiece({store}, keyOf(i), Duration(1));
    rig.Now += Duration(10);
    rig.offer(longOffer(1, KeepRule::Always));
    platform.answerAll();
    finish(rig, 0);
    platform.answerAll();
    bool own = fault == StoreFault::None;
    EXPECT_EQ(platform.CallCounts["free"] > 0, own);
    EXPECT_EQ(rig.eventCount(EventKind::PieceExported) > 0, own);
  }
}

TEST(AgentContext, PiecesInTheEngineAreNotFetched) {
  AgentRig rig(withStores());
  FakePlatform platform(rig);
  for (uint8_t i = 1; i <= Pieces; ++i)
    platform.storePiece({0}, keyOf(i));
  CacheEvents events;
  events.From = 1;
  events.Next = 1 + Pieces;
  for (uint8_t i = 1; i <= Pieces; ++i)
    events.Events.push_back({i, CacheEventKind::Stored, keyOf(i)});
  rig.apply(events);
  rig.offer(longOffer(1));
  EXPECT_EQ(rig.Started.size(), 1U);
  EXPECT_EQ(platform.CallCounts["lookup"], 0U);
  CacheEvents gap;
  gap.From = 1 + Pieces;
  gap.Next = 20;
  rig.apply(gap);
  EXPECT_EQ(rig.eventCount(EventKind::CacheGap), 1U);
  rig.offer(longOffer(2));
  platform.answerAll();
  EXPECT_GT(platform.CallCounts["lookup"], 0U);
}

} // namespace
} // namespace daisytack::serve::test
