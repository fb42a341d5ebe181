/// Guards against requests to backend servers whose records were removed, which
/// entries took for records that had expired in an outage of the key-value
/// service.
///
/// Entries kept such a server for as long as their own path to the service was
/// broken, and 2 s longer, while the service answered all others.
#include "gateway/gateway_fixture.h"

#include "direct/follow_plan.h"
#include "direct/peer_messages.h"
#include "direct/revision.h"
#include "wire/codec.h"

#include <algorithm>

namespace daisytack::gateway {
namespace {

class RemovedServerTest : public GatewayTest {
protected:
  RemovedServerTest() {
    registerServer("i-1", startBackend(answer));
    KvService.put("op/config", configText("\"k1\""));
  }

  /// Starts entries that have a path to the service each, and know those that
  /// started before them.
  void startEntries(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      Paths.push_back(
          std::make_unique<test::FakeKvService::Path>(Threads.Io, KvService));
      std::vector<Endpoint> seeds;
      for (auto &it : Entries)
        seeds.push_back(it->Options.Peers);
      startWith("e" + std::to_string(i), seeds);
    }
    for (auto &entry : Entries)
      ASSERT_TRUE(waitReady(*entry));
  }
  /// Starts an entry on the last path. The service has no outage, however long
  /// the machine takes.
  Entry &startWith(const std::string &name, std::vector<Endpoint> seeds) {
    GatewayOptions options =
        Entry::optionsFor(name, Paths.back()->address(), std::move(seeds));
    options.Catalog.MinOutage = 60s;
    Entries.push_back(std::make_unique<Entry>(Threads.Io, options));
    Entries.back()->start();
    return *Entries.back();
  }
  std::string metrics(const Entry &entry) {
    return fetch(entry.Options.Metrics, request("/metrics")).Response.Body;
  }
  bool hasMetric(const Entry &entry, const std::string &line) {
    return metrics(entry).find("\n" + line + "\n") != std::string::npos;
  }
  bool allHave(const std::string &line) {
    return std::all_of(Entries.begin(), Entries.end(),
                       [&](auto &it) { return hasMetric(*it, line); });
  }
  unsigned status(const Entry &entry) {
    return statusOf(entry, request("/safe/x", "r" + std::to_string(++Sent)));
  }
  /// Lets all calls on the path fail and waits until the entry knows.
  void breakPath(test::FakeKvService::Path &path, const Entry &entry) {
    path.RefusalStatus = 503;
    EXPECT_TRUE(eventually([&] {
      KvService.completeWatches();
      return hasMetric(entry, "daisytack_service_reachable 0");
    }));
  }
  /// Whether all entries give up the only server, while the service answers.
  bool allGiveUp() {
    return eventually([&] {
      KvService.completeWatches();
      return std::all_of(Entries.begin(), Entries.end(),
                         [&](auto &it) { return status(*it) == 503; });
    });
  }
  void expectNoneKept() {
    EXPECT_TRUE(allHave("daisytack_removed_servers_kept_total 0"));
  }

  std::vector<std::unique_ptr<test::FakeKvService::Path>> Paths;
  std::mutex HeldLock;
  std::vector<ExchangePtr> Held; ///< Calls of entries that wait for an answer.
  int Sent = 0;
};

TEST_F(RemovedServerTest, IsGivenUpByAnEntryWhosePathToTheServiceIsBroken) {
  startEntries(2);
  ASSERT_TRUE(eventually([&] { return status(*Entries[1]) == 200; }));
  breakPath(*Paths[1], *Entries[1]);
  KvService.remove("servers/i-1");
  EXPECT_TRUE(allGiveUp());
  expectNoneKept();
  Threads.stop(); // Handlers use what is destroyed here.
}

TEST_F(RemovedServerTest, IsGivenUpAfterOneCallFailed) {
  startEntries(1);
  breakPath(*Paths[0], *Entries[0]);
  KvService.remove("servers/i-1");
  Paths[0]->RefusalStatus = 0;
  EXPECT_TRUE(allGiveUp());
  expectNoneKept();
  Threads.stop(); // Handlers use what is destroyed here.
}

/// An entry that hears records of others before its first read has not seen the
/// service restored.
TEST_F(RemovedServerTest, IsGivenUpByAnEntryThatHasJustStarted) {
  startEntries(1);
  Paths.push_back(
      std::make_unique<test::FakeKvService::Path>(Threads.Io, KvService));
  Paths[1]->RefusalStatus = 503;
  Entry &late = startWith("late", {Entries[0]->Options.Peers});
  ASSERT_TRUE(eventually([&] {
    KvService.completeWatches();
    return status(late) == 200;
  })) << "heard of the server from the other entry";
  Paths[1]->RefusalStatus = 0;
  ASSERT_TRUE(eventually(
      [&] { return hasMetric(late, "daisytack_service_reachable 1"); }));
  KvService.remove("servers/i-1");
  EXPECT_TRUE(allGiveUp());
  expectNoneKept();
  Threads.stop(); // Handlers use what is destroyed here.
}

/// Entries that rely on others to read the service don't take the trouble of
/// one of them for an outage.
TEST_F(RemovedServerTest, IsGivenUpByEntriesWhoseReaderLostTheService) {
  startEntries(5);
  ASSERT_TRUE(eventually([&] {
    KvService.completeWatches();
    return std::count_if(Entries.begin(), Entries.end(), [&](auto &it) {
             return hasMetric(*it, "daisytack_service_watched 0");
           }) >= 2;
  }));
  direct::Catalog catalog;
  for (auto &it : Entries)
    catalog.Entries.push_back({it->Options.Name, it->Options.Peers, "d1"});
  Endpoint reader = direct::readersOf(catalog, "d1", {}).front();
  for (size_t i = 0; i < Entries.size(); ++i)
    if (Entries[i]->Options.Peers == reader)
      breakPath(*Paths[i], *Entries[i]);
  KvService.remove("servers/i-1");
  EXPECT_TRUE(allGiveUp());
  expectNoneKept();
  Threads.stop(); // Handlers use what is destroyed here.
}

/// An answer of another entry that is older than the first read names a server
/// that was removed in between.
TEST_F(RemovedServerTest, IsNotTakenFromAnAnswerOlderThanTheFirstRead) {
  std::string key = "servers/i-1";
  direct::RecordsResponse old;
  test::FakeKvService::Snapshot snapshot = KvService.snapshot();
  old.Records.push_back({key, snapshot.Items.at(key).Value,
                         direct::monotonicRevision(1, snapshot.Revision),
                         false});
  KvService.remove(key);
  test::FakeServer &peer =
      startBackend([&](const HttpRequest &, const ExchangePtr &to) {
        std::lock_guard guard(HeldLock);
        Held.push_back(to);
      });
  Paths.push_back(
      std::make_unique<test::FakeKvService::Path>(Threads.Io, KvService));
  Paths[0]->RefusalStatus = 503;
  Entry &entry = startWith("e1", {peer.address()});
  ASSERT_TRUE(eventually([&] { return !peer.requests().empty(); }));
  Paths[0]->RefusalStatus = 0;
  ASSERT_TRUE(waitReady(entry));
  {
    std::lock_guard guard(HeldLock);
    for (const ExchangePtr &to : Held)
      to->respond({200, {}, wire::encode(direct::PeerMessage(old))});
  }
  for (int i = 0; i < 40; ++i) {
    EXPECT_EQ(status(entry), 503U);
    std::this_thread::sleep_for(10ms);
  }
  Threads.stop(); // Handlers use what is destroyed here.
}

} // namespace
} // namespace daisytack::gateway
