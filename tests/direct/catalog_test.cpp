#include "direct/catalog_fixture.h"
#include "direct/revision.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <limits>

namespace daisytack::direct {
namespace {

const TimePoint Start = CatalogStart;

TEST(CatalogKeeper, NeverGoesBackToAnOlderRecord) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("config", "7", 20)}, Start);
  keeper.apply({put("config", "5", 10)}, Start);
  EXPECT_EQ(keeper.view()->Config->config().Version, 7);
  EXPECT_EQ(keeper.view()->ConfigRevision, 20);
  keeper.apply({put("config", "8", 21)}, Start);
  EXPECT_EQ(keeper.view()->Config->config().Version, 8);
}

TEST(CatalogKeeper, KeepsTheConfigurationThatTheStoreNoLongerHas) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("config", "7", 20)}, Start);
  keeper.apply({deletion("config", 30)}, Start);
  keeper.applyAll({}, 40, Start);
  ASSERT_NE(keeper.view()->Config, nullptr);
  EXPECT_EQ(keeper.view()->Config->config().Version, 7);
}

TEST(CatalogKeeper, KeepsThePreviousValueWhenANewOneCannotBeDecoded) {
  std::vector<std::string> log;
  CatalogKeeper keeper({}, textHooks(&log));
  keeper.apply({put("config", "7", 20), put("config", "bad", 21)}, Start);
  EXPECT_EQ(keeper.view()->Config->config().Version, 7);
  EXPECT_EQ(log.back(), "config unreadable");
}

TEST(CatalogKeeper, GivesNoNewRequestsToDrainingServers) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("server:a", "1", 1), put("server:b", "1!", 2)}, Start);
  EXPECT_EQ(idsOf(keeper), Ids{"a"});
  EXPECT_EQ(keeper.view()->AllServers.size(), 2);
}

TEST(CatalogKeeper, DropsAServerThatIsGoneAtOnce) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("server:a", "1", 1), deletion("server:a", 2)}, Start);
  EXPECT_EQ(idsOf(keeper), Ids{});
}

TEST(CatalogKeeper, KeepsServersWhoseRecordsExpiredWithAnOutage) {
  CatalogKeeper keeper({2s}, textHooks());
  keeper.onStoreAnswered(2, Start);
  keeper.apply({put("server:a", "1", 1), put("server:b", "1", 2)}, Start);
  keeper.onStoreLost();
  keeper.onStoreAnswered(9, Start + 10s);
  keeper.applyAll({}, 9, Start + 10s);
  EXPECT_EQ(idsOf(keeper), (Ids{"a", "b"}));
  keeper.apply({put("server:b", "1", 10)}, Start + 11s);
  keeper.onTimer(Start + 11'900ms);
  EXPECT_EQ(idsOf(keeper), (Ids{"a", "b"}));
  keeper.onStoreAnswered(10, Start + 12s);
  keeper.onTimer(Start + 12s);
  EXPECT_EQ(idsOf(keeper), Ids{"b"});
}

/// This entry is still without answers when another one has the first.
TEST(CatalogKeeper, CountsTheGraceFromTheFirstAnswerToAnyEntry) {
  CatalogKeeper keeper({2s}, textHooks());
  keeper.onStoreAnswered(1, Start);
  keeper.apply({put("server:a", "1", 1)}, Start);
  keeper.onStoreLost();
  keeper.onPeerAnswers({{Start + 60s}, 5, {Start + 60s, 5}}, Start + 60s);
  keeper.apply({deletion("server:a", 5)}, Start + 60s);
  keeper.onPeerAnswers({{Start + 61s}, 6, {Start + 60s, 5}}, Start + 61s);
  keeper.onTimer(Start + 61'900ms);
  EXPECT_EQ(idsOf(keeper), Ids{"a"});
  keeper.onStoreAnswered(8, Start + 62s);
  keeper.onTimer(Start + 62s);
  EXPECT_EQ(idsOf(keeper), Ids{});
}

/// Guards against dropping servers that run when an outage follows another one
/// within the grace period: they could not register anew in between.
TEST(CatalogKeeper, KeepsServersThroughOutagesInSeries) {
  CatalogKeeper keeper({2s}, textHooks());
  keeper.onStoreAnswered(1, Start);
  keeper.apply({put("server:a", "1", 1)}, Start);
  keeper.onStoreAnswered(5, Start + 10s);
  keeper.apply({deletion("server:a", 5)}, Start + 10s);
  keeper.onStoreLost();
  keeper.onTimer(Start + 30s);
  EXPECT_EQ(idsOf(keeper), Ids{"a"});
  keeper.onStoreAnswered(6, Start + 30s);
  keeper.onTimer(Start + 31'900ms);
  EXPECT_EQ(idsOf(keeper), Ids{"a"});
  keeper.onStoreAnswered(6, Start + 32s);
  keeper.onTimer(Start + 32s);
  EXPECT_EQ(idsOf(keeper), Ids{});
}

/// Guards against requests to a server that left: its removal was taken for an
/// expiry, as a call of this entry had failed just before.
TEST(CatalogKeeper, DropsARemovedServerAtOnceAfterAFailedCall) {
  CatalogKeeper keeper({2s}, textHooks());
  keeper.onStoreAnswered(1, Start);
  keeper.apply({put("server:a", "1", 1)}, Start);
  keeper.onStoreLost();
  keeper.onStoreAnswered(2, Start + 500ms);
  keeper.apply({deletion("server:a", 2)}, Start + 500ms);
  EXPECT_EQ(idsOf(keeper), Ids{});
}

/// Guards against the same if the path of this entry alone was broken for long.
TEST(CatalogKeeper, DropsARemovedServerOnceOthersHadAnswersAllTheTime) {
  CatalogKeeper keeper({2s}, textHooks());
  keeper.onStoreAnswered(1, Start);
  keeper.apply({put("server:a", "1", 1)}, Start);
  keeper.onStoreLost();
  keeper.onStoreAnswered(9, Start + 10s);
  keeper.apply({deletion("server:a", 4)}, Start + 10s);
  EXPECT_TRUE(keeper.keepsServers());
  keeper.onPeerAnswers({{Start + 9s}, 8, {Start - 60s, 1}}, Start + 10'100ms);
  EXPECT_FALSE(keeper.keepsServers());
  EXPECT_EQ(idsOf(keeper), Ids{});
}

/// Guards against requests later than 2 s after a removal by a store that
/// answers again.
TEST(CatalogKeeper, KeepsAServerThatWasRemovedAfterAnOutageForLess) {
  CatalogSettings settings;
  CatalogKeeper keeper(settings, textHooks());
  keeper.onStoreAnswered(1, Start);
  keeper.apply({put("server:a", "1", 1)}, Start);
  keeper.onStoreAnswered(9, Start + 10s);
  keeper.apply({deletion("server:a", 10)}, Start + 10'100ms);
  keeper.onTimer(Start + 10'100ms + settings.LateExpiryGrace - 1ms);
  EXPECT_EQ(idsOf(keeper), Ids{"a"});
  TimePoint end = Start + 10'100ms + settings.LateExpiryGrace;
  keeper.onStoreAnswered(11, end);
  keeper.onTimer(end);
  EXPECT_EQ(idsOf(keeper), Ids{});
}

/// Guards against a start that is taken for a restore: records of another entry
/// came before this one's first read.
TEST(CatalogKeeper, SeesNoRestoreInItsFirstRead) {
  CatalogKeeper keeper({2s}, textHooks());
  StoreRecord record = put("server:a", "1", monotonicRevision(3, 1));
  keeper.apply({record}, Start);
  keeper.onStoreAnswered(monotonicRevision(3, 2), Start);
  keeper.applyAll({record}, monotonicRevision(3, 2), Start);
  EXPECT_EQ(keeper.restoredTo(), 0U);
  keeper.apply({deletion("server:a", monotonicRevision(3, 4))}, Start + 100ms);
  EXPECT_EQ(idsOf(keeper), Ids{});
}

/// The records of another entry are older than the restore.
TEST(CatalogKeeper, SeesARestoreInItsFirstRead) {
  CatalogKeeper keeper({2s}, textHooks());
  keeper.apply({put("server:a", "1", monotonicRevision(3, 9))}, Start);
  keeper.onStoreAnswered(monotonicRevision(4, 2), Start);
  keeper.applyAll({}, monotonicRevision(4, 2), Start);
  EXPECT_EQ(keeper.restoredTo(), monotonicRevision(4, 2));
  EXPECT_EQ(idsOf(keeper), Ids{"a"});
}

TEST(CatalogKeeper, GivesNoGraceToAServerThatWasDraining) {
  CatalogKeeper keeper({2s}, textHooks());
  keeper.onStoreAnswered(1, Start);
  keeper.apply({put("server:a", "1!", 1)}, Start);
  keeper.onStoreLost();
  keeper.onStoreAnswered(9, Start + 10s);
  keeper.applyAll({}, 9, Start + 10s);
  EXPECT_TRUE(keeper.view()->AllServers.empty());
}

TEST(Catalog, TellsWhichServersTakeRequests) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("server:a", "1#5", 1), put("server:b", "1!", 2)}, Start);
  EXPECT_TRUE(keeper.view()->takesRequests({"a", 5}));
  EXPECT_FALSE(keeper.view()->takesRequests({"a", 4}));
  EXPECT_FALSE(keeper.view()->takesRequests({"b"}));
  EXPECT_FALSE(keeper.view()->takesRequests({"c"}));
}

/// Guards against servers that never leave: an answer of another entry that was
/// older than the first read named one that had been removed in between.
TEST(CatalogKeeper, TakesNoUnknownRecordThatIsOlderThanItsRead) {
  CatalogKeeper keeper({}, textHooks());
  keeper.applyAll({put("server:a", "1", 3)}, 10, Start);
  keeper.apply({put("server:b", "1", 5), put("server:c", "1", 11)}, Start);
  EXPECT_EQ(idsOf(keeper), (Ids{"a", "c"}));
}

TEST(CatalogKeeper, AFullReadKeepsRecordsThatAreNewerThanTheRead) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("server:a", "1", 1), put("server:b", "1", 12)}, Start);
  keeper.applyAll({}, 10, Start);
  EXPECT_EQ(idsOf(keeper), Ids{"b"});
}

/// A new process can't know how long a version has been desired. If it counted
/// from its own start, old weights would be used for twice the allowed time.
TEST(CatalogKeeper, AssumesThatAVersionFoundAtTheFirstReadIsOld) {
  CatalogKeeper keeper({}, textHooks());
  keeper.applyAll({{"weights:model", "2", 7, false}}, 7, Start);
  EXPECT_EQ(keeper.view()->outdatedSince("model", 1), Start - 5s);
  keeper.applyAll({{"weights:model", "3", 9, false}}, 9, Start + 1s);
  EXPECT_EQ(keeper.view()->outdatedSince("model", 2), Start + 1s);
}

/// An entry that had started 7.7 s after a version was named took it to be 5 s
/// old, and sent requests to servers with older weights for too long.
TEST(CatalogKeeper, TakesTheAgeOfAVersionFromAnEntryThatKnowsIt) {
  CatalogKeeper keeper({}, textHooks());
  keeper.applyAll({put("weights:model", "2", 7), put("server:a", "1", 8)}, 8,
                  Start);
  EXPECT_TRUE(keeper.view()->rolloutAges(Start).empty()); // Only assumed.
  std::vector<DesiredVersionAge> ages{{{"model", 2}, 7'700'000}};
  EXPECT_EQ(keeper.onPeerAges(ages, Start), ages);
  EXPECT_EQ(keeper.view()->outdatedSince("model", 1), Start - 7700ms);
  EXPECT_EQ(keeper.view()->rolloutAges(Start), ages);
  EXPECT_TRUE(keeper.onPeerAges({{{"model", 2}, 7'600'000}}, Start).empty());
}

/// A process that starts reads only the newest version. Guards against weights
/// that pass for younger than they are because earlier versions were missed.
TEST(CatalogKeeper, LearnsOfEarlierVersionsFromAnEntryThatKnowsThem) {
  CatalogKeeper keeper({}, textHooks());
  keeper.applyAll({put("weights:model", "5", 7), put("server:a", "1", 8)}, 8,
                  Start);
  std::vector<DesiredVersionAge> ages{{{"model", 3}, 9'000'000},
                                      {{"model", 2}, 12'000'000},
                                      {{"model", 5}, 1'000'000}};
  EXPECT_EQ(keeper.onPeerAges(ages, Start), ages);
  EXPECT_EQ(keeper.view()->outdatedSince("model", 1), Start - 12s);
  EXPECT_EQ(keeper.view()->outdatedSince("model", 2), Start - 9s);
  EXPECT_EQ(keeper.view()->outdatedSince("model", 3), Start - 1s);
  EXPECT_EQ(keeper.view()->outdatedSince("model", 4), Start - 1s);
  EXPECT_TRUE(keeper.onPeerAges(ages, Start).empty()); // Known by now.
  EXPECT_EQ(keeper.view()->rolloutAges(Start).size(), 3U);
}

/// An entry that hears of a version from another one before its first read must
/// not tell that it was named just then.
TEST(CatalogKeeper, TellsNoAgeOfAVersionHeardOfBeforeTheFirstRead) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("weights:model", "2", 7), put("server:a", "1", 8)}, Start);
  EXPECT_TRUE(keeper.view()->rolloutAges(Start + 1s).empty());
  keeper.applyAll({put("weights:model", "2", 7), put("server:a", "1", 8)}, 8,
                  Start + 1s);
  EXPECT_TRUE(keeper.view()->rolloutAges(Start + 1s).empty());
}

TEST(CatalogKeeper, ReplacesAnAssumedAgeByASmallerOneThatIsKnown) {
  CatalogKeeper keeper({}, textHooks());
  keeper.applyAll({put("weights:model", "2", 7)}, 7, Start);
  keeper.onPeerAges({{{"model", 2}, 1'000'000}}, Start + 100ms);
  EXPECT_EQ(keeper.view()->outdatedSince("model", 1), Start - 900ms);
}

/// An entry that was cut off when a version was named hears of it late.
TEST(CatalogKeeper, CorrectsTheAgeOfAVersionThatItHeardOfLate) {
  CatalogKeeper keeper({}, textHooks());
  keeper.applyAll({put("server:a", "1", 6)}, 6, Start);
  keeper.apply({put("weights:model", "2", 7)}, Start + 10s);
  keeper.onPeerAges({{{"model", 2}, 150'000}}, Start + 10s);
  EXPECT_EQ(keeper.view()->outdatedSince("model", 1), Start + 10s);
  keeper.onPeerAges({{{"model", 2}, 5'000'000}}, Start + 10s);
  EXPECT_EQ(keeper.view()->outdatedSince("model", 1), Start + 5s);
}

TEST(CatalogKeeper, IgnoresAgesThatCannotBe) {
  CatalogKeeper keeper({}, textHooks());
  keeper.applyAll({put("weights:model", "2", 7)}, 7, Start);
  constexpr int64_t Huge = std::numeric_limits<int64_t>::max();
  EXPECT_TRUE(keeper
                  .onPeerAges({{{"model", 2}, -1},
                               {{"model", 2}, Huge},
                               {{"model", 3}, 1000},
                               {{"other", 2}, 1000}},
                              Start)
                  .empty());
  EXPECT_EQ(keeper.view()->outdatedSince("model", 1), Start - 5s);
}

/// Ages are of use only while a server can still be sent requests that begin on
/// older weights.
TEST(CatalogKeeper, TellsAgesUntilEveryServerHasTheVersion) {
  CatalogKeeper keeper({}, textHooks());
  keeper.applyAll({put("server:a", "1", 5), put("server:b", "1", 6)}, 6, Start);
  keeper.apply({put("weights:model", "2", 7)}, Start + 1s);
  std::vector<DesiredVersionAge> ages{{{"model", 2}, 2'000'000}};
  EXPECT_EQ(keeper.view()->rolloutAges(Start + 3s), ages);
  keeper.apply({put("server:a", "2", 8)}, Start + 3s);
  EXPECT_EQ(keeper.view()->rolloutAges(Start + 3s), ages);
  keeper.apply({put("server:b", "2", 9)}, Start + 3s);
  EXPECT_TRUE(keeper.view()->rolloutAges(Start + 3s).empty());
}

TEST(CatalogKeeper, PublishesTheRecordedTimesOfDesiredVersions) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("rollout-times", "5", 7)}, Start);
  EXPECT_EQ(keeper.view()->RolloutTimes,
            (std::vector<DesiredVersionTime>{{{"model", 2}, 5}}));
  EXPECT_EQ(keeper.view()->RolloutTimesRevision, 7);
  // An unreadable record must be replaced by its own revision.
  keeper.apply({put("rollout-times", "bad", 8)}, Start);
  EXPECT_EQ(keeper.view()->RolloutTimes.size(), 1);
  EXPECT_EQ(keeper.view()->RolloutTimesRevision, 8);
  keeper.apply({deletion("rollout-times", 9)}, Start);
  EXPECT_TRUE(keeper.view()->RolloutTimes.empty());
  EXPECT_EQ(keeper.view()->RolloutTimesRevision, 0);
}

/// A restore takes the record back, and with it only hints.
TEST(CatalogKeeper, TakesRolloutTimesAsARestoredStoreHasThem) {
  CatalogKeeper keeper({}, textHooks());
  keeper.applyAll({put("weights:model", "2", 7), put("rollout-times", "5", 8)},
                  8, Start);
  uint64_t restored = monotonicRevision(1, 9);
  keeper.applyAll({put("weights:model", "2", restored)}, restored, Start + 1s);
  EXPECT_TRUE(keeper.view()->RolloutTimes.empty());
  EXPECT_EQ(keeper.view()->outdatedSince("model", 1), Start - 5s);
}

TEST(CatalogKeeper, KeepsTheTimeOfEachDesiredVersion) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("weights:model", "2", 5)}, Start);
  keeper.apply({put("weights:model", "3", 6)}, Start + 4s);
  keeper.apply({put("weights:model", "2", 5)}, Start + 5s);
  auto view = keeper.view();
  EXPECT_EQ(view->desiredVersion("model"), 3);
  EXPECT_EQ(view->outdatedSince("model", 1), Start);
  EXPECT_EQ(view->outdatedSince("model", 2), Start + 4s);
  EXPECT_EQ(view->outdatedSince("model", 3), std::nullopt);
  EXPECT_EQ(view->outdatedSince("other", 1), std::nullopt);
}

TEST(CatalogKeeper, AcceptsAReportOfNewWeightsAheadOfTheRecord) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("server:a", "1", 1)}, Start);
  keeper.noteLoaded({"a", 0}, {"model", 2}, Start);
  EXPECT_EQ(keeper.view()->serversOf("service")[0].versionOf("model"), 2);
  keeper.apply({put("server:a", "1", 2)}, Start); // An outdated record.
  EXPECT_EQ(keeper.view()->serversOf("service")[0].versionOf("model"), 2);
  keeper.apply({put("server:a", "3", 3)}, Start);
  EXPECT_EQ(keeper.view()->serversOf("service")[0].versionOf("model"), 3);
}

TEST(CatalogKeeper, KeepsABoundedNumberOfDeletions) {
  CatalogKeeper keeper({}, textHooks());
  uint64_t revision = 0;
  for (int i = 0; i < 5000; ++i) {
    std::string key = "server:" + std::to_string(i);
    keeper.apply({put(key, "1", ++revision)}, Start);
    keeper.apply({deletion(key, ++revision)}, Start);
  }
  size_t kept = keeper.recordsSince(0, SIZE_MAX).Records.size();
  EXPECT_LE(kept, 4100);
  EXPECT_GE(kept, 2000);
  EXPECT_EQ(keeper.recordsSince(revision - 1).Records.size(), 1);
}

TEST(CatalogKeeper, PassesOnNewerRecordsIncludingDeletions) {
  CatalogKeeper first({}, textHooks());
  CatalogKeeper second({}, textHooks());
  first.apply({put("config", "1", 1), put("server:a", "1", 2)}, Start);
  second.apply(first.recordsSince(0).Records, Start);
  first.apply({deletion("server:a", 3), put("server:b", "1", 4)}, Start);
  second.apply(first.recordsSince(second.revision()).Records, Start);
  EXPECT_EQ(idsOf(second), Ids{"b"});
  EXPECT_EQ(second.revision(), first.revision());
}

/// Guards against answers between entries that grow with the records' number.
TEST(CatalogKeeper, PassesOnManyRecordsInPages) {
  CatalogKeeper first({}, textHooks());
  CatalogKeeper second({}, textHooks());
  for (uint64_t i = 1; i <= 100; ++i)
    first.apply({put("server:" + std::to_string(i), "1", i)}, Start);
  size_t pages = 0;
  for (uint64_t upTo = 0; ++pages < 100;) {
    RecordPage page = first.recordsSince(upTo, 100);
    EXPECT_LE(page.Records.size(), 11U);
    second.apply(page.Records, Start);
    upTo = page.UpTo;
    if (!page.HasMore)
      break;
  }
  EXPECT_GT(pages, 9U);
  EXPECT_EQ(idsOf(second), idsOf(first));
}

TEST(CatalogKeeper, OffersLargeRecordsAndKeepsEarlierValues) {
  CatalogKeeper keeper({}, textHooks());
  // Decoded as the number before the blanks.
  std::string padding(LargeValueBytes, ' ');
  keeper.apply({put("config", "1" + padding, 1)}, Start);
  keeper.apply({put("config", "2" + padding, 2), put("server:a", "1", 3)},
               Start);
  RecordPage page = keeper.recordsSince(0);
  EXPECT_EQ(page.Offers, (std::vector<RecordOffer>{{"config", 2}}));
  EXPECT_EQ(page.Records, (std::vector<StoreRecord>{put("server:a", "1", 3)}));
  EXPECT_EQ(page.UpTo, 3U);
  ASSERT_NE(keeper.valueAt("config", 1), nullptr);
  EXPECT_EQ(*keeper.valueAt("config", 1), "1" + padding);
  EXPECT_EQ(*keeper.valueAt("config", 2), "2" + padding);
  EXPECT_EQ(keeper.valueAt("config", 9), nullptr);
  EXPECT_EQ(keeper.revisionOf("config"), 2U);
}

/// Guards against: an entry that was cut off from the store asked an entry that
/// had just started, and never learned that a server had left in between.
TEST(CatalogKeeper, ReportsUpToWhereDeletionsMayBeMissing) {
  CatalogKeeper keeper({}, textHooks());
  EXPECT_EQ(keeper.deletionsMissingTo(), 0);
  keeper.applyAll({put("server:a", "1", 5)}, 20, Start);
  EXPECT_EQ(keeper.deletionsMissingTo(), 20)
      << "earlier deletions were not read";
  keeper.apply({deletion("server:a", 25)}, Start);
  EXPECT_EQ(keeper.deletionsMissingTo(), 20);
  std::vector<StoreRecord> many;
  for (uint64_t i = 0; i < 5000; ++i) {
    many.push_back(put("server:" + std::to_string(i), "1", 30));
    many.push_back(deletion("server:" + std::to_string(i), 100 + i));
  }
  keeper.apply(many, Start);
  EXPECT_GT(keeper.deletionsMissingTo(), 25);
  EXPECT_LT(keeper.deletionsMissingTo(), 5099);
}

/// An entry that follows readers learns of an outage of the store from them.
/// They pass the records that expired in it on as deleted.
TEST(CatalogKeeper, KeepsServersThatExpiredInAnOutageThatOthersSaw) {
  CatalogSettings settings;
  CatalogKeeper reader(settings, textHooks());
  reader.onStoreAnswered(5, Start);
  reader.apply({put("server:a", "1", 5)}, Start);
  CatalogKeeper keeper(settings, textHooks());
  keeper.onPeerAnswers({{Start}, 5, {Start, 5}}, Start);
  keeper.apply(reader.recordsSince(0).Records, Start);
  EXPECT_FALSE(reader.storeUptime().periodAfterOutage());
  reader.onStoreLost();
  EXPECT_FALSE(reader.storeUptime().periodAfterOutage());
  reader.onStoreAnswered(9, Start + 3s);
  EXPECT_EQ(reader.storeUptime().periodAfterOutage(),
            (AnswerPeriod{Start + 3s, 9}));
  keeper.onPeerAnswers(
      {*reader.storeUptime().latest(), 9, *reader.storeUptime().period()},
      Start + 4s);
  keeper.apply({deletion("server:a", 9)}, Start + 4s);
  EXPECT_EQ(keeper.view()->AllServers.size(), 1);
  TimePoint end = Start + 3s + settings.ExpiryGrace;
  keeper.onPeerAnswers({{end}, 9, *reader.storeUptime().period()}, end);
  keeper.onTimer(end);
  EXPECT_TRUE(keeper.view()->AllServers.empty());
  keeper.apply({put("server:a", "1", 10), deletion("server:a", 11)}, end);
  EXPECT_TRUE(keeper.view()->AllServers.empty());
}

/// Records may arrive in any order, repeatedly and from any source. The final
/// state depends only on the newest record of each key.
RC_GTEST_PROP(CatalogKeeper, ConvergesInAnyOrder, ()) {
  std::vector<StoreRecord> history;
  auto n = *rc::gen::inRange<uint64_t>(1, 30);
  for (uint64_t revision = 1; revision <= n; ++revision) {
    std::string key = "server:" + std::string(1, *rc::gen::inRange('a', 'e'));
    bool isDeleted = *rc::gen::arbitrary<bool>();
    history.push_back(isDeleted ? deletion(key, revision)
                                : put(key, std::to_string(revision), revision));
  }
  std::vector<StoreRecord> shuffled = history;
  for (size_t i = 0; i < history.size(); ++i)
    shuffled.push_back(*rc::gen::elementOf(history));
  for (size_t i = shuffled.size() - 1; i > 0; --i)
    std::swap(shuffled[i], shuffled[*rc::gen::inRange<size_t>(0, i + 1)]);
  CatalogKeeper inOrder({}, textHooks());
  CatalogKeeper mixed({}, textHooks());
  for (const StoreRecord &record : history)
    inOrder.apply({record}, Start);
  for (const StoreRecord &record : shuffled)
    mixed.apply({record}, Start);
  RC_ASSERT(inOrder.view()->AllServers == mixed.view()->AllServers);
}

} // namespace
} // namespace daisytack::direct
