/// The catalog after the key-value service has been restored from an older copy
/// and issues the same revisions again.
///
/// Guards against two faults: new configurations were taken for old ones,
/// because their revisions were lower than that of the one in force; and the
/// contents of the copy were taken for new records.
#include "direct/catalog_fixture.h"

#include "direct/order_lease.h"
#include "direct/revision.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <random>

namespace daisytack::direct {
namespace {

/// Monotonic revisions before the restore (era 1) and after it (era 2).
uint64_t inFirstEra(uint64_t revision) {
  return monotonicRevision(1, revision);
}
uint64_t inSecondEra(uint64_t revision) {
  return monotonicRevision(2, revision);
}

TEST(MonotonicRevision, IncreasesFromEraToEra) {
  EXPECT_LT(inFirstEra(1'000'000), inSecondEra(1));
  EXPECT_EQ(monotonicRevision(3, 0), 0);
  EXPECT_EQ(eraOf(inSecondEra(67)), 2);
  EXPECT_EQ(countInEra(inSecondEra(67)), 67);
  EXPECT_EQ(monotonicRevision(0, 67), 67);
}

class RestoreCatalogTest : public testing::Test {
protected:
  uint64_t configVersion() const {
    return Keeper.view()->Config->config().Version;
  }
  TimePoint afterGrace() const { return CatalogStart + 4s; }

  CatalogKeeper Keeper{{}, textHooks()};
};

TEST_F(RestoreCatalogTest, AcceptsRecordsWrittenAfterTheRestore) {
  Keeper.applyAll({put("config", "84", inFirstEra(67))}, inFirstEra(67),
                  CatalogStart);
  Keeper.applyAll({put("config", "84", inSecondEra(60))}, inSecondEra(61),
                  CatalogStart);
  Keeper.apply({put("config", "90", inSecondEra(65))}, CatalogStart);
  EXPECT_EQ(configVersion(), 90);
}

/// Configurations and desired weights are compared by their own versions.
TEST_F(RestoreCatalogTest, NeverGoesBackToAnOlderVersion) {
  Keeper.applyAll({put("config", "84", inFirstEra(67)),
                   put("weights:m", "3", inFirstEra(66))},
                  inFirstEra(67), CatalogStart);
  Keeper.applyAll({put("config", "81", inSecondEra(58)),
                   put("weights:m", "2", inSecondEra(50))},
                  inSecondEra(58), CatalogStart);
  EXPECT_EQ(configVersion(), 84);
  EXPECT_EQ(Keeper.view()->desiredVersion("m"), 3);
  // Nor if a later read returns the same records or none.
  Keeper.applyAll({put("config", "81", inSecondEra(58))}, inSecondEra(59),
                  afterGrace());
  Keeper.applyAll({}, monotonicRevision(3, 9), afterGrace() + 1s);
  EXPECT_EQ(configVersion(), 84);
  EXPECT_EQ(Keeper.view()->desiredVersion("m"), 3);
}

/// An entry that has read only the copy learns from another entry what was in
/// force before the restore.
TEST_F(RestoreCatalogTest, AcceptsTheNewerVersionFromAnEntryOfThePreviousEra) {
  Keeper.applyAll({put("config", "81", inSecondEra(58))}, inSecondEra(58),
                  CatalogStart);
  Keeper.apply({put("config", "84", inFirstEra(67))}, CatalogStart);
  EXPECT_EQ(configVersion(), 84);
  Keeper.apply({put("config", "83", inFirstEra(66))}, CatalogStart);
  EXPECT_EQ(configVersion(), 84);
}

TEST_F(RestoreCatalogTest, KeepsServersOutThatLeftAfterTheCopyWasMade) {
  Keeper.applyAll({put("server:leaves", "1", inFirstEra(10)),
                   put("server:left", "1", inFirstEra(11)),
                   put("server:stays", "1", inFirstEra(12))},
                  inFirstEra(12), CatalogStart);
  Keeper.apply({put("server:leaves", "1!", inFirstEra(13)),
                deletion("server:left", inFirstEra(14))},
               CatalogStart);
  std::vector<StoreRecord> copy{put("server:leaves", "1", inSecondEra(10)),
                                put("server:left", "1", inSecondEra(11)),
                                put("server:stays", "1", inSecondEra(12))};
  Keeper.applyAll(copy, inSecondEra(12), CatalogStart);
  EXPECT_EQ(idsOf(Keeper), Ids{"stays"});
  // Records written after the restore are new, whatever their revision.
  Keeper.apply({put("server:left", "1", inSecondEra(13))}, CatalogStart);
  EXPECT_EQ(idsOf(Keeper), (Ids{"left", "stays"}));
}

/// Servers that registered after the copy was made register again.
TEST_F(RestoreCatalogTest, KeepsServersThatTheCopyLacksForTheGracePeriod) {
  Keeper.applyAll({put("server:new", "1", inFirstEra(10))}, inFirstEra(10),
                  CatalogStart);
  Keeper.applyAll({}, inSecondEra(5), CatalogStart);
  Keeper.onTimer(CatalogStart + 1'900ms);
  EXPECT_EQ(idsOf(Keeper), Ids{"new"});
  Keeper.onStoreAnswered(inSecondEra(5), CatalogStart + 2s);
  Keeper.onTimer(CatalogStart + 2s);
  EXPECT_EQ(idsOf(Keeper), Ids{});
}

/// Guards against cold and limited servers that get too many requests: to an
/// entry that saw the others' registrations vanish, the whole quota was its
/// own.
TEST_F(RestoreCatalogTest, KeepsRegistrationsThatTheCopyLacksUntilItIsRead) {
  Keeper.applyAll({put("registered:a", "1", inFirstEra(10)),
                   put("registered:b", "2", inFirstEra(11))},
                  inFirstEra(11), CatalogStart);
  std::vector<StoreRecord> copy{put("registered:a", "1", inSecondEra(10))};
  Keeper.applyAll(copy, inSecondEra(10), CatalogStart);
  EXPECT_EQ(Keeper.view()->Registered.size(), 2U);
  Keeper.applyAll(copy, inSecondEra(12), afterGrace());
  EXPECT_EQ(Keeper.view()->Registered.size(), 1U);
}

/// Records that nobody writes again are dropped: after the grace period the
/// service is authoritative.
TEST_F(RestoreCatalogTest, FollowsTheServiceAfterTheGracePeriod) {
  Keeper.applyAll({put("server:left", "1", inFirstEra(10))}, inFirstEra(10),
                  CatalogStart);
  Keeper.apply({deletion("server:left", inFirstEra(14))}, CatalogStart);
  std::vector<StoreRecord> copy{put("server:left", "1", inSecondEra(10))};
  Keeper.applyAll(copy, inSecondEra(12), CatalogStart);
  EXPECT_FALSE(Keeper.needsReread(CatalogStart + 1s));
  EXPECT_EQ(idsOf(Keeper), Ids{});
  EXPECT_TRUE(Keeper.needsReread(afterGrace()));
  Keeper.applyAll(copy, inSecondEra(12), afterGrace());
  EXPECT_EQ(idsOf(Keeper), Ids{"left"});
  EXPECT_FALSE(Keeper.needsReread(afterGrace()));
}

/// A process that starts after the restore does not treat it as one.
TEST_F(RestoreCatalogTest, AcceptsTheFirstReadUnchanged) {
  Keeper.applyAll({put("server:a", "1", inSecondEra(10))}, inSecondEra(10),
                  CatalogStart);
  EXPECT_FALSE(Keeper.view()->RestoredAt);
  EXPECT_EQ(Keeper.view()->Era, 2);
  EXPECT_EQ(idsOf(Keeper), Ids{"a"});
}

/// Guards against two holders at once: one whose record and lease the copy
/// lacks, and another that finds no record.
TEST_F(RestoreCatalogTest, ClaimsTheOrderLeaseOnceAnEarlierHolderHasStopped) {
  OrderLeaseSettings settings;
  Keeper.applyAll({put("holder", "e1", inFirstEra(10))}, inFirstEra(10),
                  CatalogStart);
  EXPECT_TRUE(isClaimSafe(*Keeper.view(), settings, CatalogStart));
  Keeper.applyAll({}, inSecondEra(5), CatalogStart);
  EXPECT_EQ(claimableRevision(*Keeper.view(), {"e2"}), 0);
  EXPECT_FALSE(isClaimSafe(*Keeper.view(), settings, CatalogStart + 2s));
  EXPECT_TRUE(isClaimSafe(*Keeper.view(), settings, CatalogStart + 3s));
  settings.ServersCheckFence = false;
  EXPECT_FALSE(isClaimSafe(*Keeper.view(), settings, CatalogStart + 4s));
}

/// The same record in a later era is no longer the holder's own.
TEST_F(RestoreCatalogTest, AHolderOfThePreviousEraIsReplaced) {
  Keeper.applyAll({put("holder", "e1", inFirstEra(10))}, inFirstEra(10),
                  CatalogStart);
  EXPECT_FALSE(isHolderReplaced(*Keeper.view(), inFirstEra(10)));
  Keeper.applyAll({put("holder", "e1", inSecondEra(10))}, inSecondEra(12),
                  CatalogStart);
  EXPECT_TRUE(isHolderReplaced(*Keeper.view(), inFirstEra(10)));
}

/// Simulates a service that stores configurations and is repeatedly restored
/// from older copies, after which the operator writes lost configurations again
/// with some delay. Three entries read and watch the service, exchange records,
/// miss some changes and restart.
class RestoreWorld {
public:
  explicit RestoreWorld(uint64_t seed) : Random(seed) {
    for (int i = 0; i < 3; ++i)
      Entries.push_back(std::make_unique<Entry>());
    write();
  }

  /// Performs a random event. Returns what is wrong with an entry's state;
  /// empty if nothing is.
  std::string step() {
    Now = Now + 100ms;
    switch (randomUpTo(9)) {
    case 0:
    case 1:
      write();
      break;
    case 2:
      restore();
      break;
    case 3:
      *randomEntry() = Entry();
      break;
    case 4:
      receiveRecords(*randomEntry(), *randomEntry());
      break;
    default:
      read(*randomEntry());
    }
    for (const auto &it : Entries)
      if (std::string wrong = check(*it); !wrong.empty())
        return wrong;
    return {};
  }

  /// Whether all entries have the latest configuration once the operator has
  /// written it again and all have read it.
  bool areAllUpToDate() {
    rewrite();
    for (auto &it : Entries) {
      read(*it);
      read(*it);
    }
    return std::all_of(Entries.begin(), Entries.end(), [&](const auto &it) {
      return it->Keeper->view()->Config->config().Version == LatestVersion;
    });
  }

private:
  struct Entry {
    std::unique_ptr<CatalogKeeper> Keeper =
        std::make_unique<CatalogKeeper>(CatalogSettings{}, textHooks());
    uint64_t CompleteTo = 0;
    uint64_t Highest = 0; ///< Highest version that was in force.
  };
  struct State {
    uint64_t Version = 0;
    uint64_t ConfigRevision = 0; ///< Its revision.
    uint64_t Revision = 0;
  };

  uint64_t randomUpTo(uint64_t most) { return Random() % (most + 1); }
  std::unique_ptr<Entry> &randomEntryPtr() { return Entries[randomUpTo(2)]; }
  Entry *randomEntry() { return randomEntryPtr().get(); }

  void put(uint64_t version) {
    Service.Version = version;
    // Other keys change, too.
    Service.Revision += 1 + randomUpTo(3);
    Service.ConfigRevision = Service.Revision;
    Snapshots.push_back(Service);
  }
  /// The operator writes a new version.
  void write() { put(LatestVersion += 1 + randomUpTo(3)); }
  /// The operator writes the latest version again if a restore has lost it.
  void rewrite() {
    if (Service.Version < LatestVersion)
      put(LatestVersion);
  }
  void restore() {
    rewrite();
    size_t back = std::min<size_t>(Snapshots.size() - 1, randomUpTo(5));
    Snapshots.resize(Snapshots.size() - back);
    Service = Snapshots.back();
    ++Era;
  }
  void read(Entry &entry) {
    if (randomUpTo(3) == 0)
      rewrite();
    uint64_t upTo = monotonicRevision(Era, Service.Revision);
    StoreRecord record =
        daisytack::direct::put("config", std::to_string(Service.Version),
                               monotonicRevision(Era, Service.ConfigRevision));
    if (eraOf(entry.CompleteTo) != Era)
      entry.Keeper->applyAll({record}, upTo, Now);
    else if (record.Revision > entry.CompleteTo)
      entry.Keeper->apply({record}, Now);
    entry.CompleteTo = upTo;
  }
  void receiveRecords(Entry &to, const Entry &from) const {
    to.Keeper->onRestored(from.Keeper->restoredTo(), Now);
    to.Keeper->apply(from.Keeper->recordsSince(to.CompleteTo).Records, Now);
  }
  std::string check(Entry &entry) const {
    auto catalog = entry.Keeper->view();
    uint64_t version = catalog->Config ? catalog->Config->config().Version : 0;
    if (version < entry.Highest)
      return "went back from " + std::to_string(entry.Highest) + " to " +
             std::to_string(version);
    entry.Highest = version;
    bool isCurrent =
        entry.CompleteTo == monotonicRevision(Era, Service.Revision);
    return isCurrent && version < Service.Version ? "missed a version" : "";
  }

  std::mt19937_64 Random;
  TimePoint Now = CatalogStart;
  State Service;
  std::vector<State> Snapshots;
  uint64_t Era = 1;
  uint64_t LatestVersion = 0; ///< Latest one that the operator has written.
  std::vector<std::unique_ptr<Entry>> Entries;
};

RC_GTEST_PROP(RestoreModel, ConfigurationsNeverGoBackAndAreAllAccepted, ()) {
  RestoreWorld world(*rc::gen::arbitrary<uint64_t>());
  for (int i = 0; i < 300; ++i)
    RC_ASSERT(world.step() == "");
  RC_ASSERT(world.areAllUpToDate());
}

} // namespace
} // namespace daisytack::direct
