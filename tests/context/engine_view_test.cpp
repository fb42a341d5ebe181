#include "context/engine_view.h"

#include "context/check.h"

#include <set>

namespace daisytack {

namespace {

PieceKey key(uint8_t n) {
  PieceKey out;
  out.Bytes[0] = n;
  out.Bytes[31] = n;
  return out;
}

CacheEvent stored(uint64_t sequence, uint8_t n) {
  return {sequence, CacheEventKind::Stored, key(n)};
}

CacheEvent evicted(uint64_t sequence, uint8_t n) {
  return {sequence, CacheEventKind::Evicted, key(n)};
}

} // namespace

TEST(EngineView, FollowsUnbrokenEvents) {
  EngineView view(100);
  EXPECT_EQ(view.presence(key(1)), Presence::Absent);
  CacheEvent events[] = {stored(0, 1), stored(1, 2), evicted(2, 1)};
  EXPECT_TRUE(view.apply(events, 3));
  EXPECT_EQ(view.presence(key(1)), Presence::Absent);
  EXPECT_EQ(view.presence(key(2)), Presence::Present);
  EXPECT_TRUE(view.apply(events, 3)) << "repeated events must be ignored";
  EXPECT_EQ(view.presence(key(2)), Presence::Present);
}

TEST(EngineView, PresenceIsUnknownAfterAGap) {
  CacheEvent first[] = {stored(0, 1)};
  CacheEvent after[] = {stored(5, 2)};
  EngineView view(100);
  view.apply(first, 1);
  EXPECT_FALSE(view.apply(after, 6));
  EXPECT_EQ(view.presence(key(1)), Presence::Unknown);
  EXPECT_EQ(view.presence(key(2)), Presence::Present) << "stored after the gap";
  EXPECT_FALSE(view.apply({}, 9)) << "events at the end are missing";
  EXPECT_EQ(view.presence(key(2)), Presence::Unknown);
  EXPECT_EQ(view.gaps(), 2U);
  CacheEvent cleared[] = {{9, CacheEventKind::Cleared, {}}};
  EXPECT_TRUE(view.apply(cleared, 10));
  EXPECT_EQ(view.presence(key(2)), Presence::Absent);
}

TEST(EngineView, PiecesStayLikelyAfterAGapOfFewEvents) {
  EngineView view(1000);
  std::vector<CacheEvent> events;
  for (uint8_t n = 0; n < 100; ++n)
    events.push_back(stored(n, n));
  view.apply(events, 100);
  EXPECT_EQ(view.presenceProbability(key(7)), 1);
  view.apply({}, 102);
  EXPECT_EQ(view.presence(key(7)), Presence::Unknown);
  EXPECT_DOUBLE_EQ(view.presenceProbability(key(7)), 0.98);
  PieceKey seen[] = {key(7)};
  view.markPresent(seen);
  EXPECT_EQ(view.presence(key(7)), Presence::Present);
  view.apply({}, 160);
  EXPECT_EQ(view.presenceProbability(key(8)), 0)
      << "dropped below the minimum probability";
  CacheEvent gone[] = {evicted(160, 7)};
  view.markPresent(seen);
  view.apply(gone, 161);
  EXPECT_EQ(view.presenceProbability(key(7)), 0);
  for (uint64_t i = 0; i < 1'000'000; ++i) {
    view.markPresent(seen);
    ASSERT_EQ(view.presence(key(7)), Presence::Present);
    view.apply({}, 162 + i);
  }
}

TEST(EngineView, RestartAndOverflowDiscardPieces) {
  CacheEvent events[] = {stored(0, 1), stored(1, 2), stored(2, 3)};
  EngineView view(2);
  view.apply(events, 3);
  EXPECT_EQ(view.size(), 1U);
  EXPECT_EQ(view.presence(key(1)), Presence::Unknown);
  view.reset(0, true);
  EXPECT_EQ(view.presence(key(3)), Presence::Absent);
  PieceKey seen[] = {key(4)};
  view.markPresent(seen);
  EXPECT_EQ(view.presence(key(4)), Presence::Present);
  view.markAbsent(key(4));
  EXPECT_EQ(view.presence(key(4)), Presence::Absent);
}

TEST(EngineView, NeverPresentAfterAGapOrAnEviction) {
  expectProperty([] {
    // Compares the view with the actual cache while some events are lost.
    EngineView view(64);
    std::set<uint8_t> truth;
    std::vector<CacheEvent> batch;
    uint64_t sequence = 0;
    bool missed = false;
    size_t steps = *rc::gen::inRange<size_t>(1, 100);
    for (size_t i = 0; i < steps; ++i) {
      auto n = *rc::gen::inRange<uint8_t>(0, 8);
      bool store = *rc::gen::arbitrary<bool>();
      store ? (void)truth.insert(n) : (void)truth.erase(n);
      CacheEvent event = store ? stored(sequence, n) : evicted(sequence, n);
      ++sequence;
      if (*rc::gen::inRange(0, 10) == 0)
        missed = true;
      else
        batch.push_back(event);
      if (*rc::gen::inRange(0, 4) != 0)
        continue;
      bool contiguous = view.apply(batch, sequence);
      RC_ASSERT(contiguous != missed);
      missed = false;
      batch.clear();
      for (uint8_t k = 0; k < 8; ++k) {
        Presence presence = view.presence(key(k));
        RC_ASSERT(presence != Presence::Present || truth.contains(k));
        RC_ASSERT(presence != Presence::Absent || !truth.contains(k));
      }
    }
  });
}

} // namespace daisytack
