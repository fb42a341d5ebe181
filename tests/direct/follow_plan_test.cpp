/// Guards against a load on the key-value service that grows with the number of
/// entries: if every entry of a large fleet watches the service, each change of
/// a server or an entry costs one call per entry. Tests the selection of the
/// few readers and when an entry relies on them. What an entry then knows is
/// tested by a simulation in retirement_test.cpp.
#include "direct/follow_plan.h"
#include "direct/peer_messages.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace daisytack::direct {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{Duration(1'000'000'000)};

EntryPeer entry(int i, const std::string &domain) {
  return {"e" + std::to_string(i), {"10.0.0." + std::to_string(i), 80}, domain};
}

Catalog fleet(int entries, int domains) {
  Catalog out;
  for (int i = 0; i < entries; ++i)
    out.Entries.push_back(entry(i, "d" + std::to_string(i % domains)));
  return out;
}

TEST(Readers, AreAtLeastTwoAndOnePerGivenNumberOfEntries) {
  FollowSettings settings;
  EXPECT_EQ(readersOf(fleet(1, 1), "d0", settings).size(), 1);
  EXPECT_EQ(readersOf(fleet(3, 1), "d0", settings).size(), 2);
  EXPECT_EQ(readersOf(fleet(64, 1), "d0", settings).size(), 4);
  EXPECT_EQ(readersOf(fleet(65, 1), "d0", settings).size(), 5);
  EXPECT_EQ(readersOf(fleet(30, 3), "d1", settings).size(), 2);
  EXPECT_TRUE(readersOf(fleet(30, 3), "other", settings).empty());
  settings.EntriesPerReader = 0;
  EXPECT_EQ(readersOf(fleet(30, 3), "d1", settings).size(), 10);
}

RC_GTEST_PROP(Readers, OneThatLeavesDisplacesNoOther, ()) {
  FollowSettings settings;
  Catalog all = fleet(*rc::gen::inRange(3, 60), 1);
  std::vector<Endpoint> before = readersOf(all, "d0", settings);
  auto gone = *rc::gen::inRange<size_t>(0, all.Entries.size());
  Endpoint left = all.Entries[gone].Peer;
  all.Entries.erase(all.Entries.begin() + static_cast<std::ptrdiff_t>(gone));
  std::vector<Endpoint> after = readersOf(all, "d0", settings);
  for (const Endpoint &it : before)
    if (it != left && after.size() == before.size())
      RC_ASSERT(std::find(after.begin(), after.end(), it) != after.end());
}

/// Guards against readers whose links carry the records for others slowly.
TEST(Readers, AreThoseWithTheFastestLinks) {
  Catalog all = fleet(20, 1);
  all.Entries[3].LinkMbps = 200;
  all.Entries[7].LinkMbps = 200;
  for (int i : {1, 4, 9})
    all.Entries[static_cast<size_t>(i)].LinkMbps = 10;
  std::vector<Endpoint> readers = readersOf(all, "d0", {});
  std::sort(readers.begin(), readers.end());
  EXPECT_EQ(readers,
            (std::vector<Endpoint>{all.Entries[3].Peer, all.Entries[7].Peer}));
}

TEST(RecordsResponse, IsCompleteForAReceiverThatKnewAllAtTheSendersFirstRead) {
  RecordsResponse found;
  found.CompleteTo = 50;
  found.DeletionsMissingTo = 45;
  EXPECT_FALSE(isCompleteFor(found, 44));
  EXPECT_TRUE(isCompleteFor(found, 45));
  found.DeletionsMissingTo = 0;
  EXPECT_FALSE(isCompleteFor(found, 0))
      << "the receiver has read nothing itself";
  EXPECT_TRUE(isCompleteFor(found, 1));
}

/// A follower among twenty entries of its failure domain, called every 100 ms.
class FollowPlanTest : public testing::Test {
protected:
  FollowPlanTest() : Fleet(fleet(20, 1)) {
    std::vector<Endpoint> readers = readersOf(Fleet, "d0", Settings);
    for (const EntryPeer &it : Fleet.Entries)
      if (std::find(readers.begin(), readers.end(), it.Peer) == readers.end())
        Own = it;
    Readers = readers;
  }
  /// Runs the plan for the given time and returns whether the entry watches the
  /// service at the end. Readers answer with state of this age; without an age
  /// they don't answer.
  bool advance(FollowPlan &plan, Duration time, std::optional<Duration> age) {
    bool out = true;
    for (TimePoint end = Now + time; Now < end; Now += 100ms) {
      FollowStep step = plan.next(Fleet, Now);
      out = step.WatchesService;
      if (!step.PollTarget)
        continue;
      Asked.push_back(*step.PollTarget);
      if (age)
        plan.onAnswer(Now - *age, Now);
    }
    return out;
  }

  FollowSettings Settings;
  Catalog Fleet;
  std::vector<Endpoint> Readers;
  EntryPeer Own;
  TimePoint Now = Start;
  std::vector<Endpoint> Asked;
};

TEST_F(FollowPlanTest, StopsWatchingWhenReadersAnswerInTime) {
  FollowPlan plan(Settings, Own);
  EXPECT_TRUE(advance(plan, Settings.SettleTime, 1s)) << "too soon";
  EXPECT_FALSE(advance(plan, 1s, 1s));
  for (const Endpoint &it : Readers)
    EXPECT_NE(std::find(Asked.begin(), Asked.end(), it), Asked.end());
  EXPECT_EQ(Asked.size(), 7) << "in two seconds, 300 ms apart";
}

TEST_F(FollowPlanTest, WatchesAgainWhenNoReaderAnswers) {
  FollowPlan plan(Settings, Own);
  ASSERT_FALSE(advance(plan, 3s, 1s));
  EXPECT_FALSE(advance(plan, 500ms, std::nullopt)) << "one answer is late";
  EXPECT_TRUE(advance(plan, Settings.ReaderTimeout, std::nullopt));
  EXPECT_FALSE(advance(plan, 2s, 1s));
}

TEST_F(FollowPlanTest, WatchesAgainWhenReadersAreStale) {
  FollowPlan plan(Settings, Own);
  ASSERT_FALSE(advance(plan, 3s, 1s));
  EXPECT_TRUE(advance(plan, 2s, Settings.StaleAfter + 100ms));
}

TEST_F(FollowPlanTest, ReadersTheHolderAndUnannouncedEntriesWatch) {
  FollowPlan plan(Settings, Own);
  ASSERT_FALSE(advance(plan, 3s, 1s));
  Fleet.Holder = Own.Name;
  EXPECT_EQ(plan.next(Fleet, Now), FollowStep{});
  Fleet.Holder.clear();
  std::erase(Fleet.Entries, Own);
  EXPECT_EQ(plan.next(Fleet, Now), FollowStep{});
  auto reader =
      std::find_if(Fleet.Entries.begin(), Fleet.Entries.end(),
                   [&](const EntryPeer &it) { return it.Peer == Readers[0]; });
  ASSERT_NE(reader, Fleet.Entries.end());
  EXPECT_EQ(FollowPlan(Settings, *reader).next(Fleet, Now), FollowStep{});
}

TEST_F(FollowPlanTest, AnEntryAloneInItsDomainWatches) {
  Fleet = fleet(2, 2);
  FollowPlan plan(Settings, Fleet.Entries[0]);
  EXPECT_EQ(plan.next(Fleet, Now), FollowStep{});
}

} // namespace
} // namespace daisytack::direct
