/// Entries of one failure domain of which only a few read the key-value
/// service: answers to callers must not depend on which entries read it.
#include "gateway/gateway_fixture.h"

#include "direct/follow_plan.h"

#include <algorithm>

namespace daisytack::gateway {
namespace {

class FollowTest : public GatewayTest {
protected:
  static constexpr size_t Fleet = 5;

  void startFleet() {
    KvService.put("op/config", configText("\"k1\",\"k2\""));
    for (size_t i = 0; i < Fleet; ++i)
      start("e" + std::to_string(i), KvService.address());
    for (auto &entry : Entries)
      ASSERT_TRUE(waitReady(*entry));
  }
  bool isWatching(const Entry &entry) {
    std::string text =
        fetch(entry.Options.Metrics, request("/metrics")).Response.Body;
    return text.find("daisytack_service_watched 0") == std::string::npos;
  }
  /// Whether at most the two readers and the holder of the order lease watch
  /// the key-value service.
  bool onlyReadersWatch() {
    KvService.completeWatches();
    return std::count_if(Entries.begin(), Entries.end(),
                         [&](auto &entry) { return isWatching(*entry); }) <= 3;
  }
  std::vector<Endpoint> readers() {
    direct::Catalog catalog;
    for (auto &entry : Entries)
      catalog.Entries.push_back(
          {entry->Options.Name, entry->Options.Peers, "d1"});
    return direct::readersOf(catalog, "d1", {});
  }
  bool allAnswer(const std::string &key, unsigned status) {
    KvService.completeWatches();
    return std::all_of(Entries.begin(), Entries.end(), [&](auto &entry) {
      return statusOf(*entry, request("/call/x", "r", key)) == status;
    });
  }
};

TEST_F(FollowTest, EntriesThatDoNotWatchLearnOfARevokedKey) {
  test::FakeServer &server =
      startBackend([](const HttpRequest &what, const ExchangePtr &to) {
        to->respond(test::signedAnswer(what));
      });
  registerServer("i-1", server);
  startFleet();
  ASSERT_TRUE(eventually([&] { return onlyReadersWatch(); }));
  KvService.put("op/config", configText("\"k2\"", 2));
  EXPECT_TRUE(eventually([&] { return allAnswer("k1", 401); }));
  EXPECT_TRUE(allAnswer("k2", 200));
  Threads.stop(); // Handlers use what is destroyed here.
}

TEST_F(FollowTest, EntriesWatchAgainWhenTheirReadersStop) {
  startFleet();
  ASSERT_TRUE(eventually([&] { return onlyReadersWatch(); }));
  std::vector<Endpoint> stopped = readers();
  for (auto &entry : Entries)
    if (std::find(stopped.begin(), stopped.end(), entry->Options.Peers) !=
        stopped.end())
      entry->Daemon.drain(TimePoint::max(), [](bool) {});
  KvService.put("op/config", configText("\"k2\"", 2));
  EXPECT_TRUE(eventually([&] {
    KvService.completeWatches();
    return std::all_of(Entries.begin(), Entries.end(), [&](auto &entry) {
      bool isStopped = std::find(stopped.begin(), stopped.end(),
                                 entry->Options.Peers) != stopped.end();
      return isStopped ||
             statusOf(*entry, request("/call/x", "r", "k1")) == 401;
    });
  }));
  Threads.stop(); // Handlers use what is destroyed here.
}

} // namespace
} // namespace daisytack::gateway
