/// Guards against taking the trouble of one entry for an outage of the store,
/// and an outage for the trouble of one entry.
#include "direct/store_uptime.h"

#include "direct/revision.h"

#include <gtest/gtest.h>

namespace daisytack::direct {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{Duration(1'000'000'000)};
constexpr Duration MinOutage = 2s;

AnswerPeriod period(Duration since, uint64_t revision) {
  return {Start + since, revision};
}

/// An entry that had answers up to `latest`, in a period since `since`.
PeerAnswers peer(Duration latest, uint64_t revision, Duration since,
                 uint64_t sinceRevision) {
  return {{Start + latest}, revision, period(since, sinceRevision)};
}

TEST(StoreUptime, KnowsOfNoOutageBeforeTheFirstAnswer) {
  StoreUptime uptime(MinOutage);
  EXPECT_FALSE(uptime.period());
  EXPECT_TRUE(uptime.onAnswer(Start, 7));
  EXPECT_EQ(uptime.period(), period(0s, 7));
  EXPECT_FALSE(uptime.periodAfterOutage());
}

TEST(StoreUptime, TakesALongTimeWithoutAnswersForAnOutage) {
  StoreUptime uptime(MinOutage);
  uptime.onAnswer(Start, 7);
  EXPECT_FALSE(uptime.onAnswer(Start + MinOutage, 8));
  EXPECT_TRUE(uptime.onAnswer(Start + MinOutage + 2001ms, 12));
  EXPECT_EQ(uptime.periodAfterOutage(), period(MinOutage + 2001ms, 12));
}

TEST(StoreUptime, CountsAnswersToOtherEntries) {
  StoreUptime uptime(MinOutage);
  uptime.onAnswer(Start, 7);
  EXPECT_FALSE(uptime.onPeerAnswers(peer(1500ms, 9, 0s, 7)));
  EXPECT_FALSE(uptime.onAnswer(Start + 3s, 10));
  EXPECT_FALSE(uptime.periodAfterOutage());
}

/// Guards against an outage that is hidden by a slow message: it tells of an
/// answer whose earliest possible time lies in the outage.
TEST(StoreUptime, NoticesAnOutageBehindASlowMessage) {
  StoreUptime uptime(MinOutage);
  uptime.onAnswer(Start, 7);
  PeerAnswers slow = peer(1900ms, 9, 1900ms, 9);
  slow.Latest.Delay = 500ms;
  slow.Period.Since += slow.Latest.Delay;
  EXPECT_TRUE(uptime.onPeerAnswers(slow));
  EXPECT_EQ(uptime.periodAfterOutage(), period(2400ms, 9));
}

TEST(StoreUptime, LearnsFromOthersThatTheStoreAnsweredAllTheTime) {
  StoreUptime uptime(MinOutage);
  uptime.onAnswer(Start, 7);
  uptime.onAnswer(Start + 10s, 20);
  ASSERT_TRUE(uptime.periodAfterOutage());
  EXPECT_TRUE(uptime.onPeerAnswers(peer(9s, 19, -5s, 2)));
  EXPECT_FALSE(uptime.periodAfterOutage());
  EXPECT_EQ(uptime.period(), period(-5s, 2));
}

TEST(StoreUptime, LearnsFromOthersThatAnOutageEndedEarlier) {
  StoreUptime uptime(MinOutage);
  uptime.onAnswer(Start, 7);
  uptime.onAnswer(Start + 10s, 20);
  EXPECT_TRUE(uptime.onPeerAnswers(peer(10s, 20, 9s, 15)));
  EXPECT_EQ(uptime.periodAfterOutage(), period(9s, 15));
}

/// Otherwise servers that run would be dropped after an outage.
TEST(StoreUptime, IgnoresEntriesThatHaveNotNoticedTheOutageYet) {
  StoreUptime uptime(MinOutage);
  uptime.onAnswer(Start, 7);
  uptime.onAnswer(Start + 10s, 20);
  EXPECT_FALSE(uptime.onPeerAnswers(peer(1s, 8, -60s, 2)));
  EXPECT_EQ(uptime.periodAfterOutage(), period(10s, 20));
}

TEST(StoreUptime, NeverTakesAnOutageFromAnotherEntry) {
  StoreUptime uptime(MinOutage);
  uptime.onAnswer(Start, 7);
  uptime.onAnswer(Start + 1s, 8);
  EXPECT_FALSE(uptime.onPeerAnswers(peer(1500ms, 9, 1500ms, 9)));
  EXPECT_FALSE(uptime.periodAfterOutage());
  EXPECT_EQ(uptime.period(), period(0s, 7));
}

TEST(StoreUptime, TakesARestoreForAnOutageThatNobodyCanDeny) {
  StoreUptime uptime(MinOutage);
  uptime.onAnswer(Start, monotonicRevision(1, 7));
  uint64_t restored = monotonicRevision(2, 5);
  uptime.onRestored(Start + 1s, restored);
  EXPECT_EQ(uptime.periodAfterOutage(), period(1s, restored));
  uptime.onPeerAnswers(
      peer(1s, monotonicRevision(1, 9), -60s, monotonicRevision(1, 2)));
  EXPECT_EQ(uptime.periodAfterOutage(), period(1s, restored));
  uptime.onPeerAnswers(peer(1s, restored, -1s, restored));
  EXPECT_EQ(uptime.periodAfterOutage(), period(-1s, restored));
}

} // namespace
} // namespace daisytack::direct
