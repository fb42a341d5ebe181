/// The individual rules of RetirementAgreement. retirement_test.cpp tests their
/// interaction.
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
std::vector<Action> actionsOf(const std::vector<RetirementAction> &actions) {
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
      announce(peer, 5);
    Known.Retired = Known.RetiredInRecord = {{2, 0.5}};
    Known.RetiredRecordRevision = 10;
  }
  void announce(const Endpoint &peer, uint64_t revision) {
    Known.Entries.push_back({toString(peer), peer});
    Known.Registered[peer] = revision;
  }
  void withdraw(const Endpoint &peer) {
    std::erase_if(Known.Entries,
                  [&](const EntryPeer &it) { return it.Peer == peer; });
  }
  std::vector<NotifyEntry> notifications(TimePoint now) {
    return actionsOf<NotifyEntry>(Agreement.next(Known, 0, now));
  }

  Catalog Known;
  RetirementAgreement Agreement{Settings, Own};
};

TEST(MayNameSources, RequiresAllConditions) {
  SourceEligibility whole{true, true, true, Start};
  EXPECT_TRUE(mayNameSources(whole, MaxSourceStaleness,
                             Start + MaxSourceStaleness - 1us));
  EXPECT_FALSE(
      mayNameSources(whole, MaxSourceStaleness, Start + MaxSourceStaleness));
  SourceEligibility part = whole;
  // Agreements of an earlier process at the address are not known.
  part.HasReadAll = false;
  EXPECT_FALSE(mayNameSources(part, MaxSourceStaleness, Start));
  part = whole;
  part.KnowsRetired = false;
  EXPECT_FALSE(mayNameSources(part, MaxSourceStaleness, Start));
  part = whole;
  part.IsRegistered = false;
  EXPECT_FALSE(mayNameSources(part, MaxSourceStaleness, Start));
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

TEST_F(RetirementRules, DoesNotReplaceARecordThatItCannotDecode) {
  Known.Retired.clear();
  Known.RetiredInRecord.clear();
  Known.IsRetiredRecordReadable = false;
  RetirementAgreement it(Settings, Own);
  EXPECT_TRUE(it.next(Known, 0, Start).empty());
}

TEST_F(RetirementRules, NotifiesEveryRegisteredAddressUntilItHasAgreed) {
  withdraw(PeerB); // Its lease has expired, but it may be running.
  auto asked = notifications(Start);
  ASSERT_EQ(asked.size(), 2);
  EXPECT_EQ(asked[0], (NotifyEntry{PeerA, {{2, 0.5}}, 10}));
  EXPECT_TRUE(notifications(Start + 100ms).empty());
  Agreement.onNotified(asked[0], true, Start + 100ms);
  Agreement.onNotified(asked[1], false, Start + 100ms);
  asked = notifications(Start + 100ms + Settings.RetryDelay);
  ASSERT_EQ(asked.size(), 1);
  EXPECT_EQ(asked[0].Peer, PeerB);
}

TEST_F(RetirementRules, FreesOnceAllHaveAgreedAndTheLongestFetchIsOver) {
  auto asked = notifications(Start);
  Agreement.onNotified(asked[0], true, Start + 1s);
  EXPECT_TRUE(Agreement.freeable(Start + 9s).empty());
  Agreement.onNotified(asked[1], true, Start + 9s);
  TimePoint safe = Start + 9s + Settings.FetchTime;
  EXPECT_TRUE(Agreement.freeable(safe - 1us).empty());
  EXPECT_EQ(Agreement.freeable(safe), Known.Retired);
}

/// An entry that can't be notified stops naming sources once its state is too
/// old.
TEST_F(RetirementRules, FreesOnceAllStateFromBeforeTheRecordIsTooOld) {
  notifications(Start);
  TimePoint safe = Start + Settings.MaxStaleness + Settings.FetchTime;
  EXPECT_TRUE(Agreement.freeable(safe - 1us).empty());
  EXPECT_EQ(Agreement.freeable(safe), Known.Retired);
}

TEST_F(RetirementRules, AnAnswerToAnEarlierRecordAgreesToThatRecordOnly) {
  auto first = notifications(Start);
  Known.Retired = Known.RetiredInRecord = {{2, 1}};
  Known.RetiredRecordRevision = 20;
  notifications(Start + 1s);
  for (const NotifyEntry &it : first)
    Agreement.onNotified(it, true, Start + 1s);
  EXPECT_EQ(Agreement.freeable(Start + 1s + Settings.FetchTime),
            (std::vector<Retirement>{{2, 0.5}}));
  for (const NotifyEntry &it : notifications(Start + 2s))
    Agreement.onNotified(it, true, Start + 2s);
  EXPECT_EQ(Agreement.freeable(Start + 2s + Settings.FetchTime), Known.Retired);
}

TEST_F(RetirementRules, RemovesTheAddressOfAnEntryThatCanNameNoMoreSources) {
  auto removals = [&](TimePoint now) {
    return actionsOf<RemoveRegistration>(Agreement.next(Known, 0, now));
  };
  withdraw(PeerB);
  EXPECT_TRUE(removals(Start).empty());
  // The entry was announced and removed again between two calls.
  Known.Registered[PeerB] = 7;
  EXPECT_TRUE(removals(Start + 5s).empty());
  TimePoint gone = Start + 5s + Settings.MaxStaleness + Settings.FetchTime;
  EXPECT_TRUE(removals(gone - 1us).empty());
  EXPECT_EQ(removals(gone), (std::vector<RemoveRegistration>{{PeerB, 7}}));
  EXPECT_TRUE(removals(gone).empty()) << "while the removal is under way";
}

TEST_F(RetirementRules, WritesOverTheKnownRecordAndRevokesNoRetirement) {
  Known.DesiredVersions["m"] = {{3, Start}};
  BackendServer old;
  old.Weights = {{"m", 2}};
  BackendServer current;
  current.Weights = {{"m", 3}};
  Known.AllServers = {old, old, old, current};
  auto writes = actionsOf<WriteRetired>(Agreement.next(Known, 0, Start));
  ASSERT_EQ(writes.size(), 1);
  EXPECT_EQ(writes[0], (WriteRetired{{{2, 0.5}, {3, 0.25}}, 10}));
  EXPECT_TRUE(
      actionsOf<WriteRetired>(Agreement.next(Known, 0, Start + 1s)).empty());
  Agreement.onWritten(Start + 1s);
  // No server has had version 1 for long enough.
  writes = actionsOf<WriteRetired>(
      Agreement.next(Known, 0, Start + Settings.FreeDelay));
  ASSERT_EQ(writes.size(), 1);
  EXPECT_EQ(writes[0].Retirements,
            (std::vector<Retirement>{{2, 1}, {3, 0.25}}));
}

/// When two versions become desired in succession while context stores have
/// free space: servers that still have old weights would have to recompute
/// context that is retired too early.
TEST_F(RetirementRules, RetiresNoMoreThanUpdatedServersNeed) {
  Known.Retired.clear();
  Known.RetiredInRecord.clear();
  Known.DesiredVersions["m"] = {{3, Start}};
  BackendServer old;
  old.Weights = {{"m", 2}};
  BackendServer current;
  current.Weights = {{"m", 3}};
  Known.AllServers = {old, old, old, old};
  auto retired = [&](double freeToUsedRatio) {
    RetirementAgreement it({}, PeerA);
    auto writes =
        actionsOf<WriteRetired>(it.next(Known, freeToUsedRatio, Start));
    return writes.empty() ? 0 : writes[0].Retirements.back().Share;
  };
  EXPECT_EQ(retired(0), 0); // No server has the new weights.
  Known.AllServers = {old, current, current, current};
  EXPECT_EQ(retired(0), 0.75);
  EXPECT_EQ(retired(0.3), 0.25);
  EXPECT_EQ(retired(1), 0);
}

} // namespace
} // namespace daisytack::direct
