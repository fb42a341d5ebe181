/// Guards against entries that take new configurations for old ones after the
/// key-value service was restored from a backup and gives out revisions again.
///
/// A key that was revoked three seconds after such a restore still opened a
/// route 2.1 s after the revocation was acknowledged.
#include "gateway/gateway_fixture.h"

namespace daisytack::gateway {
namespace {

/// Watches that may lose their history in one restore: one of each entry, and
/// one that was sent before the entry read a new snapshot.
constexpr size_t MaxLostWatches = 2;

class RestoreTest : public GatewayTest {
protected:
  RestoreTest() { registerServer("i-1", startBackend(answer)); }

  void configure(const std::string &keys, int version) {
    KvService.put("op/config", configText(keys, version));
  }
  /// Writes keys that the snapshot lacks.
  void writeAfterSnapshot(size_t writes) {
    for (size_t i = 0; i < writes; ++i)
      KvService.put("op/version/m" + std::to_string(i),
                    R"({"model":"m)" + std::to_string(i) + R"(","version":1})");
  }
  bool isInEra(const Entry &entry, int era) {
    std::string text =
        fetch(entry.Options.Metrics, request("/metrics")).Response.Body;
    return text.find("daisytack_service_era " + std::to_string(era)) !=
           std::string::npos;
  }
  unsigned statusWith(const Entry &entry, const std::string &key) {
    return statusOf(entry, request("/call/x", "r", key));
  }
  Entry &startReady(const std::string &name) {
    Entry &out = start(name, KvService.address());
    EXPECT_TRUE(waitReady(out));
    return out;
  }
};

TEST_F(RestoreTest, AppliesWritesMadeAfterARestore) {
  configure("\"k1\"", 1);
  Entry &entry = startReady("e1");
  test::FakeKvService::Snapshot snapshot = KvService.snapshot();
  writeAfterSnapshot(20);
  configure("\"k1\",\"k2\"", 2);
  ASSERT_TRUE(eventually([&] { return statusWith(entry, "k2") == 200; }));
  uint64_t before = KvService.revision();
  KvService.restore(snapshot);
  configure("\"k1\",\"k2\"", 2);
  configure("\"k2\"", 3);
  ASSERT_LT(KvService.revision(), before);
  EXPECT_TRUE(eventually([&] { return statusWith(entry, "k1") == 401; }));
  EXPECT_EQ(statusWith(entry, "k2"), 200);
  EXPECT_LE(KvService.lostWatches(), MaxLostWatches);
  Threads.stop(); // Handlers use what is destroyed here.
}

/// The snapshot still has the key, but nobody may be let in by it.
TEST_F(RestoreTest, KeepsARevocationThatTheSnapshotLacks) {
  configure("\"k1\",\"k2\"", 1);
  Entry &entry = startReady("e1");
  test::FakeKvService::Snapshot snapshot = KvService.snapshot();
  writeAfterSnapshot(5);
  configure("\"k2\"", 2);
  ASSERT_TRUE(eventually([&] { return statusWith(entry, "k1") == 401; }));
  KvService.restore(snapshot);
  writeAfterSnapshot(1);
  ASSERT_TRUE(eventually([&] { return isInEra(entry, 2); }));
  for (int i = 0; i < 40; ++i) {
    unsigned status = statusWith(entry, "k1");
    EXPECT_TRUE(status == 401 || status == 503) << status;
    EXPECT_NE(statusWith(entry, "k2"), 401);
    std::this_thread::sleep_for(100ms);
  }
  Threads.stop(); // Handlers use what is destroyed here.
}

/// An entry that relies on readers learns of the restore too.
TEST_F(RestoreTest, EntriesThatDoNotWatchApplyWritesMadeAfterARestore) {
  configure("\"k1\"", 1);
  std::vector<Entry *> fleet;
  for (int i = 0; i < 5; ++i)
    fleet.push_back(&startReady("e" + std::to_string(i)));
  test::FakeKvService::Snapshot snapshot = KvService.snapshot();
  writeAfterSnapshot(20);
  configure("\"k1\",\"k2\"", 2);
  auto allAnswer = [&](const std::string &key, unsigned status) {
    KvService.completeWatches();
    return std::all_of(fleet.begin(), fleet.end(), [&](const Entry *it) {
      return statusWith(*it, key) == status;
    });
  };
  ASSERT_TRUE(eventually([&] { return allAnswer("k2", 200); }));
  KvService.restore(snapshot);
  configure("\"k2\"", 3);
  EXPECT_TRUE(eventually([&] { return allAnswer("k1", 401); }));
  EXPECT_TRUE(eventually([&] { return allAnswer("k2", 200); }));
  Threads.stop(); // Handlers use what is destroyed here.
}

/// Records written after the snapshot are lost, so an entry announces itself
/// again, although its lease is older than the snapshot.
TEST_F(RestoreTest, AnnouncesItselfAgainAfterARestore) {
  configure("\"k1\"", 1);
  startReady("e1");
  ASSERT_TRUE(
      eventually([&] { return KvService.has("daisytack/entries/e1"); }));
  test::FakeKvService::Snapshot snapshot = KvService.snapshot();
  snapshot.Items.erase("daisytack/entries/e1");
  KvService.restore(snapshot);
  EXPECT_TRUE(
      eventually([&] { return KvService.has("daisytack/entries/e1"); }));
  Threads.stop(); // Handlers use what is destroyed here.
}

/// Guards against an entry that reads a new snapshot repeatedly without a pause
/// when all its watches lose their history; it did so up to 67 times a second.
TEST_F(RestoreTest, BacksOffWhileHistoryIsLostRepeatedly) {
  constexpr size_t MaxReadsPerSecond = 10;
  configure("\"k1\"", 1);
  startReady("e1");
  auto begin = std::chrono::steady_clock::now();
  KvService.HasNoHistory = true;
  KvService.put("op/version/m", R"({"model":"m","version":1})");
  std::this_thread::sleep_for(2s);
  auto seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin);
  EXPECT_LE(static_cast<double>(KvService.lostWatches()),
            MaxReadsPerSecond * (1 + seconds.count()));
  KvService.HasNoHistory = false;
  KvService.put("op/version/m", R"({"model":"m","version":2})");
  configure("\"k2\"", 2);
  EXPECT_TRUE(
      eventually([&] { return statusWith(*Entries.front(), "k1") == 401; }));
  Threads.stop(); // Handlers use what is destroyed here.
}

/// Once revisions have passed those that were known, the service no longer
/// reports to any watch that its history is lost.
TEST_F(RestoreTest, DetectsARestoreWhoseRevisionsHavePassedThoseKnown) {
  configure("\"k1\"", 1);
  Entry &entry = startReady("e1");
  test::FakeKvService::Snapshot snapshot = KvService.snapshot();
  configure("\"k1\",\"k2\"", 2);
  ASSERT_TRUE(eventually([&] { return statusWith(entry, "k2") == 200; }));
  KvService.RefusalStatus = 503;
  KvService.restore(snapshot);
  configure("\"k2\"", 3);
  writeAfterSnapshot(20);
  KvService.RefusalStatus = 0;
  EXPECT_TRUE(eventually([&] { return statusWith(entry, "k1") == 401; }));
  Threads.stop(); // Handlers use what is destroyed here.
}

} // namespace
} // namespace daisytack::gateway
