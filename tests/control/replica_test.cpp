#include "control/replica.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace daisytack::control {
namespace {

constexpr size_t FewTombstones = 2;

ReplicaEntry put(const std::string &key, uint64_t revision) {
  return {key, key + "@" + std::to_string(revision), revision, false};
}

ReplicaEntry tombstone(const std::string &key, uint64_t revision) {
  return {key, {}, revision, true};
}

/// Log of all changes in order, from which deltas are created.
struct Source {
  std::vector<ReplicaEntry> Log;

  ReplicaDelta delta(uint64_t from, uint64_t through) const {
    std::map<std::string, ReplicaEntry> latest;
    for (const ReplicaEntry &entry : Log)
      if (entry.Revision <= through)
        latest[entry.Key] = entry;
    ReplicaDelta out{from, through, {}};
    for (const auto &[key, entry] : latest)
      if (entry.Revision > from)
        out.Entries.push_back(entry);
    std::sort(
        out.Entries.begin(), out.Entries.end(),
        [](const auto &a, const auto &b) { return a.Revision < b.Revision; });
    return out;
  }
};

std::map<std::string, uint64_t> existing(const Replica &replica) {
  std::map<std::string, uint64_t> out;
  for (const auto &[key, entry] : replica.entries())
    if (!entry.Deleted)
      out[key] = entry.Revision;
  return out;
}

/// Random changes of few keys, so that they overwrite each other.
Source arbitrarySource(size_t changes) {
  Source out;
  for (uint64_t i = 1; i <= changes; ++i) {
    std::string key = "k" + std::to_string(*rc::gen::inRange(0, 6));
    bool deletion = *rc::gen::weightedElement<bool>({{3, false}, {1, true}});
    out.Log.push_back(deletion ? tombstone(key, i * 2) : put(key, i * 2));
  }
  return out;
}

TEST(Replica, OlderImageNeverReplacesNewer) {
  Replica replica(FewTombstones);
  replica.merge({0, 10, {put("a", 10)}});
  Replica::MergeResult result = replica.merge({0, 5, {put("a", 5)}});
  EXPECT_TRUE(result.Changed.empty());
  EXPECT_EQ(replica.find("a")->Revision, 10U);
  EXPECT_EQ(replica.watermark(), 10U);
}

TEST(Replica, OlderImageDoesNotRestoreDeletedKey) {
  Replica replica(FewTombstones);
  replica.merge({0, 5, {put("a", 5)}});
  std::vector<ReplicaEntry> deletions{tombstone("a", 6)};
  for (uint64_t i = 0; i < 5; ++i)
    deletions.push_back(tombstone("x" + std::to_string(i), 7 + i));
  replica.merge({5, 12, deletions});
  ASSERT_EQ(replica.find("a"), nullptr)
      << "the tombstone should have been dropped";
  replica.merge({0, 5, {put("a", 5)}});
  EXPECT_EQ(replica.find("a"), nullptr);
}

TEST(Replica, GapMergesButKeepsWatermark) {
  Replica replica(FewTombstones);
  replica.merge({0, 5, {put("a", 5)}});
  Replica::MergeResult result = replica.merge({8, 9, {put("b", 9)}});
  EXPECT_TRUE(result.Gap);
  EXPECT_EQ(replica.watermark(), 5U);
  EXPECT_NE(replica.find("b"), nullptr);
  replica.merge({5, 9, {put("c", 7), put("b", 9)}});
  EXPECT_EQ(replica.watermark(), 9U);
}

TEST(Replica, ImageDropsAbsentKeys) {
  Replica replica(FewTombstones);
  replica.merge({0, 5, {put("a", 3), put("b", 5)}});
  Replica::MergeResult result = replica.merge({0, 9, {put("b", 5)}});
  EXPECT_EQ(result.Changed, std::vector<std::string>{"a"});
  EXPECT_EQ(replica.deltaAfter(5).From, 0U) << "outdated peers need an image";
}

TEST(Replica, DeltaStartsAtTheLastChange) {
  Replica replica(FewTombstones);
  replica.merge({0, 100, {put("a", 3)}});
  EXPECT_EQ(replica.lastChange(), 3U);
  EXPECT_EQ(replica.deltaAfter(100).From, 3U);
  EXPECT_TRUE(replica.deltaAfter(100).Entries.empty());
}

RC_GTEST_PROP(Replica, AnyOrderOfDeltasConvergesAndNeverReverts, ()) {
  const auto changes = *rc::gen::inRange<size_t>(1, 40);
  Source source = arbitrarySource(changes);
  uint64_t last = source.Log.back().Revision;
  Replica replica(*rc::gen::inRange<size_t>(0, 5));
  std::map<std::string, uint64_t> highest;
  for (int i = 0; i < 30; ++i) {
    uint64_t from = *rc::gen::inRange<uint64_t>(0, last + 1);
    uint64_t through = *rc::gen::inRange<uint64_t>(from, last + 1);
    uint64_t before = replica.watermark();
    replica.merge(source.delta(from, through));
    RC_ASSERT(replica.watermark() >= before);
    for (const auto &[key, revision] : existing(replica)) {
      RC_ASSERT(revision >= highest[key]);
      highest[key] = revision;
    }
  }
  replica.merge(source.delta(replica.watermark(), last));
  Replica direct(100);
  direct.merge(source.delta(0, last));
  RC_ASSERT(existing(replica) == existing(direct));
  RC_ASSERT(replica.watermark() == last);
}

RC_GTEST_PROP(Replica, PeersExchangingDeltasConverge, ()) {
  const auto changes = *rc::gen::inRange<size_t>(1, 30);
  Source source = arbitrarySource(changes);
  uint64_t last = source.Log.back().Revision;
  std::vector<Replica> peers(4, Replica(*rc::gen::inRange<size_t>(0, 4)));
  for (int i = 0; i < 60; ++i) {
    size_t to = *rc::gen::inRange<size_t>(0, peers.size());
    size_t from = *rc::gen::inRange<size_t>(0, peers.size());
    if (to == from) {
      uint64_t through = *rc::gen::inRange<uint64_t>(0, last + 1);
      if (through >= peers[to].watermark())
        peers[to].merge(source.delta(peers[to].watermark(), through));
      continue;
    }
    // A delta for a different state than the receiver's, as if delayed.
    uint64_t after = *rc::gen::inRange<uint64_t>(0, last + 1);
    peers[to].merge(peers[from].deltaAfter(after));
  }
  peers[0].merge(source.delta(peers[0].watermark(), last));
  for (Replica &peer : peers)
    peer.merge(peers[0].deltaAfter(peer.watermark()));
  for (Replica &peer : peers) {
    RC_ASSERT(existing(peer) == existing(peers[0]));
    RC_ASSERT(peer.watermark() == last);
  }
}

} // namespace
} // namespace daisytack::control
