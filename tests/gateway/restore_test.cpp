/// Guards against: after the key-value service had come back from an older copy
/// of itself, which gives revisions out again, entries took new configurations
/// for old ones.
///
/// Seen: a key that was revoked three seconds after the service's return still
/// opened a route 2.1 s after the revocation was acknowledged.
#include "gateway/gateway_fixture.h"

namespace daisytack::gateway {
namespace {

/// Watches that may find their history gone after one return of the service:
/// one for each entry, and one that was sent before it had read anew.
constexpr size_t MaxLostWatches = 2;

class RestoreTest : public GatewayTest {
protected:
  RestoreTest() { registerServer("i-1", startBackend(answer)); }

  void configure(const std::string &keys, int version) {
    KvService.put("op/config", configText(keys, version));
  }
  /// Changes that the copy does not have.
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
  Threads.stop(); // Handlers use what ends here.
}

/// The copy still has the key; nobody may be let in by it.
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
  Threads.stop(); // Handlers use what ends here.
}

/// One that has left the service to readers learns of the restore too.
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
  Threads.stop(); // Handlers use what ends here.
}

/// What the system wrote since the copy is gone: an entry announces itself
/// anew, though its lease is older than the copy.
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
  Threads.stop(); // Handlers use what ends here.
}

/// Guards against: an entry whose every watch found its history gone read the
/// whole service again and again, up to 67 times a second.
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
  Threads.stop(); // Handlers use what ends here.
}

/// Once revisions have passed those that were known, no watch is told that its
/// history is gone.
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
  Threads.stop(); // Handlers use what ends here.
}

} // namespace
} // namespace daisytack::gateway
