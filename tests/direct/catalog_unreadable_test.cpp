/// Records that can't be decoded ("unreadable") or don't match the
/// configuration.
///
/// Guards against two faults: a server whose record was overwritten with
/// invalid bytes stayed in use with its old record, because CatalogKeeper
/// skipped records that it could not decode; and a server of an unconfigured
/// service was asked for its weights, because every decodable record was
/// published.
#include "direct/catalog_fixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace daisytack::direct {
namespace {

const TimePoint Start = CatalogStart;

Ids allIdsOf(const CatalogKeeper &keeper) {
  Ids out;
  for (const BackendServer &it : keeper.view()->AllServers)
    out.push_back(it.Id);
  return out;
}

TEST(UnreadableRecord, TakesItsServerOutOfUseUntilTheNextGoodOne) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("server:a", "1", 1), put("server:b", "1", 2)}, Start);
  keeper.apply({put("server:a", "bad", 3)}, Start);
  EXPECT_EQ(idsOf(keeper), Ids{"b"});
  EXPECT_EQ(allIdsOf(keeper), Ids{"b"});
  keeper.apply({put("server:a", "1", 1)}, Start); // Older: no effect.
  EXPECT_EQ(idsOf(keeper), Ids{"b"});
  keeper.apply({put("server:a", "1", 4)}, Start);
  EXPECT_EQ(idsOf(keeper), (Ids{"a", "b"}));
}

TEST(UnreadableRecord, DoesNotAffectOtherRecords) {
  CatalogKeeper keeper({}, textHooks());
  keeper.applyAll({put("server:a", "bad", 1), put("server:b", "1", 2),
                   put("server:c", "bad", 3)},
                  3, Start);
  EXPECT_EQ(allIdsOf(keeper), Ids{"b"});
}

TEST(UnreadableRecord, IsReportedOnce) {
  std::vector<std::string> log;
  CatalogKeeper keeper({}, textHooks(&log));
  for (int i = 0; i < 3; ++i) {
    keeper.apply({put("server:a", "bad", 1), put("config", "bad", 2)}, Start);
    keeper.applyAll({put("server:a", "bad", 1), put("config", "bad", 2)}, 2,
                    Start);
  }
  EXPECT_EQ(std::count(log.begin(), log.end(), "server:a unreadable"), 1);
  EXPECT_EQ(std::count(log.begin(), log.end(), "config unreadable"), 1);
  keeper.apply({put("server:a", "bad", 5)}, Start);
  EXPECT_EQ(std::count(log.begin(), log.end(), "server:a unreadable"), 2);
}

TEST(UnreadableRecord, OfRetiredContextIsNotTakenForEmpty) {
  CatalogHooks hooks = textHooks();
  hooks.SubjectOf = [](std::string_view) {
    return RecordSubject{RecordKind::Retired, {}};
  };
  hooks.Decode = [](const StoreRecord &record,
                    Error &reason) -> std::optional<RecordValue> {
    if (record.Value != "bad")
      return RetiredContext{{{2, 1}}};
    reason = {ErrorKind::BadValue, "bad"};
    return std::nullopt;
  };
  CatalogKeeper keeper({}, hooks);
  EXPECT_TRUE(keeper.view()->IsRetiredRecordReadable);
  keeper.apply({put("retired", "bad", 1)}, Start);
  EXPECT_FALSE(keeper.view()->IsRetiredRecordReadable);
  keeper.apply({put("retired", "good", 2)}, Start);
  EXPECT_TRUE(keeper.view()->IsRetiredRecordReadable);
  EXPECT_EQ(keeper.view()->Retired, (std::vector<Retirement>{{2, 1}}));
}

/// The server may still be running, and other entries may still send it
/// requests. Kept context of its weights must not be freed while it has a
/// record.
TEST(UnreadableRecord, LeavesTheWeightsOfItsServerInUse) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("config", "1", 1), put("server:a", "1", 2),
                put("server:b", "2", 3), put("server:c", "bad", 4)},
               Start);
  keeper.apply({put("server:a", "bad", 5)}, Start);
  keeper.apply({put("server:a", "bad", 6)}, Start);
  EXPECT_EQ(keeper.view()->oldestVersion(), 1);
  keeper.apply({put("server:a", "1@other", 7)}, Start);
  EXPECT_EQ(keeper.view()->oldestVersion(), 1);
  keeper.apply({deletion("server:a", 8)}, Start);
  EXPECT_EQ(keeper.view()->oldestVersion(), 2);
  // This server was never usable.
  keeper.apply({put("server:a", "1@other", 9)}, Start);
  EXPECT_EQ(keeper.view()->oldestVersion(), 2);
  keeper.apply({put("server:a", "3", 10), put("server:b", "3", 11)}, Start);
  EXPECT_EQ(keeper.view()->oldestVersion(), 3);
}

TEST(UnreadableRecord, IsPassedOnUnchanged) {
  CatalogKeeper first({}, textHooks());
  CatalogKeeper second({}, textHooks());
  first.apply({put("server:a", "1", 1)}, Start);
  second.apply(first.recordsSince(0).Records, Start);
  first.apply({put("server:a", "bad", 2)}, Start);
  second.apply(first.recordsSince(1).Records, Start);
  EXPECT_EQ(allIdsOf(second), Ids{});
}

/// The deletion of an unreadable record in an outage is not an expiry of a
/// server in use.
TEST(UnreadableRecord, GetsNoGraceWhenItIsDeleted) {
  CatalogKeeper keeper({2s}, textHooks());
  keeper.onStoreAnswered(2, Start);
  keeper.apply({put("server:a", "1", 1), put("server:a", "bad", 2)}, Start);
  keeper.onStoreAnswered(3, Start + 10s);
  keeper.apply({deletion("server:a", 3)}, Start + 10s);
  EXPECT_EQ(allIdsOf(keeper), Ids{});
}

TEST(UnreadableRecord, ChangesNoDesiredVersionAndNoConfiguration) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("config", "7", 1), put("weights:m", "2", 2)}, Start);
  keeper.apply({put("config", "bad", 3), put("weights:m", "bad", 4)}, Start);
  EXPECT_EQ(keeper.view()->Config->config().Version, 7);
  EXPECT_EQ(keeper.view()->ConfigRevision, 1);
  EXPECT_EQ(keeper.view()->desiredVersion("m"), 2);
}

/// The key exists, so nobody can claim the order lease. Attempts would only
/// cost calls.
TEST(UnreadableRecord, OfTheHolderLeavesTheLeaseTaken) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("holder", "bad", 1)}, Start);
  EXPECT_FALSE(keeper.view()->Holder.empty());
  keeper.apply({deletion("holder", 2)}, Start);
  EXPECT_TRUE(keeper.view()->Holder.empty());
  keeper.apply({put("holder", "e1", 3)}, Start);
  keeper.apply({put("holder", "bad", 4)}, Start);
  EXPECT_EQ(keeper.view()->Holder, "e1");
}

/// The entry is still running and must still be notified.
TEST(UnreadableRecord, OfAnEntryLeavesItAnnouncedUntilItIsDeleted) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("entry:e", "1", 1), put("entry:f", "bad", 2)}, Start);
  keeper.apply({put("entry:e", "bad", 3)}, Start);
  keeper.apply({put("entry:e", "bad", 4)}, Start);
  ASSERT_EQ(keeper.view()->Entries.size(), 1);
  EXPECT_EQ(keeper.view()->Entries[0].Name, "e");
  keeper.apply({deletion("entry:e", 5), put("entry:e", "bad", 6)}, Start);
  EXPECT_TRUE(keeper.view()->Entries.empty());
}

TEST(ServerOfAnUnknownService, IsNotUsed) {
  std::vector<std::string> log;
  CatalogKeeper keeper({}, textHooks(&log));
  keeper.apply({put("config", "1", 1), put("server:a", "1", 2),
                put("server:b", "1@other", 3)},
               Start);
  EXPECT_EQ(allIdsOf(keeper), Ids{"a"});
  EXPECT_TRUE(keeper.view()->serversOf("other").empty());
  EXPECT_EQ(std::count(log.begin(), log.end(), "server:b unreadable"), 1);
}

/// The configuration that names the service may arrive later.
TEST(ServerOfAnUnknownService, IsUsedOnceTheConfigurationNamesIt) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("server:b", "1@other", 1), put("config", "1", 2)}, Start);
  EXPECT_EQ(allIdsOf(keeper), Ids{});
  keeper.apply({put("config", "2@other", 3)}, Start);
  EXPECT_EQ(allIdsOf(keeper), Ids{"b"});
  EXPECT_EQ(keeper.view()->serversOf("other").size(), 1);
}

/// Kept context is identified by the version of the weights.
TEST(EngineWithoutWeights, IsNotUsed) {
  CatalogKeeper keeper({}, textHooks());
  keeper.apply({put("config", "1", 1), put("server:a", "0@engines", 2),
                put("server:b", "1@engines", 3), put("server:c", "0", 4)},
               Start);
  EXPECT_EQ(allIdsOf(keeper), (Ids{"b", "c"}));
}

/// In any order of arrival, the final state depends only on the newest record
/// of each key, and an unreadable record yields no server.
RC_GTEST_PROP(UnreadableRecord, ConvergesInAnyOrder, ()) {
  std::vector<StoreRecord> history;
  std::map<std::string, std::string> newest;
  auto n = *rc::gen::inRange<uint64_t>(1, 30);
  for (uint64_t revision = 1; revision <= n; ++revision) {
    std::string key = "server:" + std::string(1, *rc::gen::inRange('a', 'e'));
    std::string value = *rc::gen::element<std::string>("1", "2", "bad", "");
    history.push_back(value.empty() ? deletion(key, revision)
                                    : put(key, value, revision));
    newest[key] = value;
  }
  Ids expected;
  for (const auto &[key, value] : newest)
    if (value == "1" || value == "2")
      expected.push_back(key.substr(key.find(':') + 1));
  for (size_t i = history.size() - 1; i > 0; --i)
    std::swap(history[i], history[*rc::gen::inRange<size_t>(0, i + 1)]);
  CatalogKeeper keeper({}, textHooks());
  for (const StoreRecord &record : history)
    keeper.apply({record}, Start);
  RC_ASSERT(allIdsOf(keeper) == expected);
}

} // namespace
} // namespace daisytack::direct
