/// The single rules of the agreement on retired context; together they are
/// tested in retirement_test.cpp.
#include "direct/retirement.h"

#include <gtest/gtest.h>

namespace daisytack::direct {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{Duration(1'000'000'000)};
const Endpoint Own{"10.0.0.1", 80};
const Endpoint PeerA{"10.0.0.2", 80};
const Endpoint PeerB{"10.0.0.3", 80};
const RetirementSettings Settings;

template <class Action>
std::vector<Action> of(const std::vector<RetirementAction> &actions) {
  std::vector<Action> out;
  for (const RetirementAction &it : actions)
    if (const auto *action = std::get_if<Action>(&it))
      out.push_back(*action);
  return out;
}

class RetirementRules : public testing::Test {
protected:
  RetirementRules() {
    for (const Endpoint &peer : {Own, PeerA, PeerB})
      list(peer, 5);
    Now.Retired = Now.RetiredRecorded = {{2, 0.5}};
    Now.RetiredRevision = 10;
  }
  void list(const Endpoint &peer, uint64_t revision) {
    Now.Entries.push_back({toString(peer), peer});
    Now.Registered[peer] = revision;
  }
  void unlist(const Endpoint &peer) {
    std::erase_if(Now.Entries,
                  [&](const EntryPeer &it) { return it.Peer == peer; });
  }
  std::vector<TellEntry> tells(TimePoint now) {
    return of<TellEntry>(Agreement.next(Now, 0, now));
  }

  Catalog Now;
  RetirementAgreement Agreement{Settings, Own};
};

TEST(SourceRight, NeedsAllOfItsGrounds) {
  SourceStanding whole{true, true, true, Start};
  EXPECT_TRUE(mayNameSources(whole, SourceTrust, Start + SourceTrust - 1us));
  EXPECT_FALSE(mayNameSources(whole, SourceTrust, Start + SourceTrust));
  SourceStanding part = whole;
  // What was agreed with a process before it at its address is not known.
  part.HasReadAll = false;
  EXPECT_FALSE(mayNameSources(part, SourceTrust, Start));
  part = whole;
  part.KnowsRetired = false;
  EXPECT_FALSE(mayNameSources(part, SourceTrust, Start));
  part = whole;
  part.IsRegistered = false;
  EXPECT_FALSE(mayNameSources(part, SourceTrust, Start));
}

TEST(MergeRetired, KeepsWhatNothingElseCovers) {
  EXPECT_EQ(mergeRetired({{2, 0.5}}, {{2, 0.25}}),
            (std::vector<Retirement>{{2, 0.5}}));
  EXPECT_EQ(mergeRetired({{2, 1}}, {{3, 0.25}}),
            (std::vector<Retirement>{{2, 1}, {3, 0.25}}));
  EXPECT_EQ(mergeRetired({{2, 1}, {3, 0.25}}, {{3, 1}, {3, 1}}),
            (std::vector<Retirement>{{3, 1}}));
  EXPECT_TRUE(mergeRetired({}, {}).empty());
}

TEST_F(RetirementRules, DoesNotReplaceARecordThatItCannotRead) {
  Now.Retired.clear();
  Now.RetiredRecorded.clear();
  Now.IsRetiredReadable = false;
  RetirementAgreement it(Settings, Own);
  EXPECT_TRUE(it.next(Now, 0, Start).empty());
}

TEST_F(RetirementRules, AsksEveryRegisteredAddressUntilItHasAgreed) {
  unlist(PeerB); // Its lease lapsed; it may live.
  auto asked = tells(Start);
  ASSERT_EQ(asked.size(), 2);
  EXPECT_EQ(asked[0], (TellEntry{PeerA, {{2, 0.5}}, 10}));
  EXPECT_TRUE(tells(Start + 100ms).empty());
  Agreement.onTold(asked[0], true, Start + 100ms);
  Agreement.onTold(asked[1], false, Start + 100ms);
  asked = tells(Start + 100ms + Settings.AskPause);
  ASSERT_EQ(asked.size(), 1);
  EXPECT_EQ(asked[0].Peer, PeerB);
}

TEST_F(RetirementRules, FreesOnceAllHaveAgreedAndTheLongestFetchIsOver) {
  auto asked = tells(Start);
  Agreement.onTold(asked[0], true, Start + 1s);
  EXPECT_TRUE(Agreement.freeable(Start + 9s).empty());
  Agreement.onTold(asked[1], true, Start + 9s);
  TimePoint safe = Start + 9s + Settings.FetchTime;
  EXPECT_TRUE(Agreement.freeable(safe - 1us).empty());
  EXPECT_EQ(Agreement.freeable(safe), Now.Retired);
}

/// An entry that can't be asked names nothing on what it knew before.
TEST_F(RetirementRules, FreesOnceAllKnowledgeFromBeforeIsTooOld) {
  tells(Start);
  TimePoint safe = Start + Settings.Trust + Settings.FetchTime;
  EXPECT_TRUE(Agreement.freeable(safe - 1us).empty());
  EXPECT_EQ(Agreement.freeable(safe), Now.Retired);
}

TEST_F(RetirementRules, AnAnswerToAnEarlierRecordAgreesToThatOnly) {
  auto first = tells(Start);
  Now.Retired = Now.RetiredRecorded = {{2, 1}};
  Now.RetiredRevision = 20;
  tells(Start + 1s);
  for (const TellEntry &it : first)
    Agreement.onTold(it, true, Start + 1s);
  EXPECT_EQ(Agreement.freeable(Start + 1s + Settings.FetchTime),
            (std::vector<Retirement>{{2, 0.5}}));
  for (const TellEntry &it : tells(Start + 2s))
    Agreement.onTold(it, true, Start + 2s);
  EXPECT_EQ(Agreement.freeable(Start + 2s + Settings.FetchTime), Now.Retired);
}

TEST_F(RetirementRules, RemovesTheAddressOfAnEntryThatNamesNothingAnyMore) {
  auto removals = [&](TimePoint now) {
    return of<RemoveRegistration>(Agreement.next(Now, 0, now));
  };
  unlist(PeerB);
  EXPECT_TRUE(removals(Start).empty());
  // Announced once more, and gone again, between two looks.
  Now.Registered[PeerB] = 7;
  EXPECT_TRUE(removals(Start + 5s).empty());
  TimePoint gone = Start + 5s + Settings.Trust + Settings.FetchTime;
  EXPECT_TRUE(removals(gone - 1us).empty());
  EXPECT_EQ(removals(gone), (std::vector<RemoveRegistration>{{PeerB, 7}}));
  EXPECT_TRUE(removals(gone).empty()) << "while the removal is under way";
}

TEST_F(RetirementRules, WritesOverTheRecordThatItKnowsAndNeverTakesBack) {
  Now.Wanted["m"] = {{3, Start}};
  BackendServer old;
  old.Weights = {{"m", 2}};
  BackendServer current;
  current.Weights = {{"m", 3}};
  Now.AllServers = {old, old, old, current};
  auto writes = of<WriteRetired>(Agreement.next(Now, 0, Start));
  ASSERT_EQ(writes.size(), 1);
  EXPECT_EQ(writes[0], (WriteRetired{{{2, 0.5}, {3, 0.25}}, 10}));
  EXPECT_TRUE(of<WriteRetired>(Agreement.next(Now, 0, Start + 1s)).empty());
  Agreement.onWritten(Start + 1s);
  // Nobody has had version 1 for long enough.
  writes = of<WriteRetired>(Agreement.next(Now, 0, Start + Settings.FreeDelay));
  ASSERT_EQ(writes.size(), 1);
  EXPECT_EQ(writes[0].What, (std::vector<Retirement>{{2, 1}, {3, 0.25}}));
}

/// Two versions named in series while stores have room: what is retired too
/// early is read again by the servers that have yet to move.
TEST_F(RetirementRules, RetiresNoMoreThanMakesRoomForServersThatHaveMoved) {
  Now.Retired.clear();
  Now.RetiredRecorded.clear();
  Now.Wanted["m"] = {{3, Start}};
  BackendServer old;
  old.Weights = {{"m", 2}};
  BackendServer current;
  current.Weights = {{"m", 3}};
  Now.AllServers = {old, old, old, old};
  auto retired = [&](double spareShare) {
    RetirementAgreement it({}, PeerA);
    auto writes = of<WriteRetired>(it.next(Now, spareShare, Start));
    return writes.empty() ? 0 : writes[0].What.back().Share;
  };
  EXPECT_EQ(retired(0), 0); // Nobody has moved.
  Now.AllServers = {old, current, current, current};
  EXPECT_EQ(retired(0), 0.75);
  EXPECT_EQ(retired(0.3), 0.25);
  EXPECT_EQ(retired(1), 0);
}

} // namespace
} // namespace daisytack::direct
