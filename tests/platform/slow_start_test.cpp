/// Cold servers get at most a bounded rate of requests from all entries
/// together.
///
/// Guards against exceeding the bound: cold servers got 32 requests in a second
/// where 30.5 are allowed, because the decoder checked the field that says that
/// a server is cold, but did not store it.
#include "platform/entry_fixture.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>

namespace daisytack::platform {
namespace {

constexpr int EntryCount = 26;
/// cold-per-s x cold-overshoot + cold-slack, rounded down: 17 x 1.5 + 5.
constexpr size_t MaxRequestsPerSecond = 30;

/// Entries that know the same records, and two servers, "one" and "other", of
/// which only "one" may be cold.
class ColdServerSetup {
public:
  explicit ColdServerSetup(int coldMs) {
    std::vector<direct::StoreRecord> all{configRecord(1)};
    uint64_t revision = 1;
    for (int i = 0; i < EntryCount; ++i)
      all.push_back(registrationRecord(i, ++revision));
    all.push_back(serverRecord("one", "engines", "a", coldMs, ++revision));
    all.push_back(serverRecord("other", "engines", "b", 0, ++revision));
    for (int i = 0; i < EntryCount; ++i) {
      EntryList.push_back(std::make_unique<Entry>(i));
      EntryList.back()->Catalog.applyAll(all, revision, Start);
    }
  }

  /// Sends 250 requests of 61 sessions within 2.5 s, which is 50 requests per
  /// second for each server. Returns the most requests that "one" gets in a
  /// second.
  size_t sendLoad(TimePoint from) {
    std::deque<TimePoint> sent; ///< To "one" in the last second.
    size_t maxSent = 0;
    for (int i = 0; i < 250; ++i) {
      TimePoint now = from + i * Duration(10'000);
      std::string to = EntryList[static_cast<size_t>(i * 7 % EntryCount)]->send(
          Entry::promptRequest(std::to_string(i % 61)), now);
      ++RequestCounts[to];
      if (to != "one")
        continue;
      sent.push_back(now);
      while (sent.front() <= now - 1s)
        sent.pop_front();
      maxSent = std::max(maxSent, sent.size());
    }
    return maxSent;
  }

  std::vector<std::unique_ptr<Entry>> EntryList;
  std::map<std::string, int> RequestCounts; ///< By server id; empty: rejected.
};

TEST(SlowStart, BoundsTheTotalRateOfAllEntriesToAColdServer) {
  ColdServerSetup setup(3000);
  EXPECT_LE(setup.sendLoad(Start), MaxRequestsPerSecond);
  EXPECT_GT(setup.RequestCounts["one"], 0);
  // The other requests go to the other server.
  EXPECT_EQ(setup.RequestCounts[""], 0);
}

/// While the key-value service does not answer, servers may become cold without
/// a record that says so; such servers got 32 and 37 requests in a second. The
/// bound must hold whether or not entries can reach the service.
TEST(SlowStart, BoundsServersThatMayBeColdWhileTheStoreIsLost) {
  ColdServerSetup setup(0);
  for (auto &it : setup.EntryList)
    it->Catalog.onStoreLost();
  EXPECT_LE(setup.sendLoad(Start + 4s), MaxRequestsPerSecond);
}

/// Servers are cold after an evacuation, but their records say so only up to a
/// heartbeat later.
TEST(SlowStart, CountsServersAsColdAfterAnEvacuation) {
  auto coldUntil = [](const Entry &entry) {
    return entry.Catalog.view()->serversOf("engines").at(0).ColdUntil;
  };
  Entry entry;
  entry.Catalog.applyAll({configRecord(1), registrationRecord(0, 2),
                          serverRecord("e", "engines", "a", 0, 3),
                          record("op/evacuate/a", "{}", 4)},
                         4, Start);
  entry.Catalog.apply({deletedRecord("op/evacuate/a", 5)}, Start + 8s);
  EXPECT_EQ(coldUntil(entry), Start + 11s);
  // A later record of the server takes precedence.
  entry.Catalog.apply({serverRecord("e", "engines", "a", 0, 6)}, Start + 9s);
  EXPECT_EQ(coldUntil(entry), Start + 9s);
  entry.Catalog.apply({serverRecord("e", "engines", "a", 2500, 7)},
                      Start + 10s);
  EXPECT_EQ(coldUntil(entry), Start + 12500ms);
  // An entry that was disconnected learns only of the end of the evacuation.
  Entry late;
  late.Catalog.applyAll(
      {configRecord(1), serverRecord("e", "engines", "a", 0, 3)}, 3, Start);
  late.Catalog.apply({deletedRecord("op/evacuate/a", 5)}, Start + 8s);
  EXPECT_EQ(coldUntil(late), Start + 11s);
}

} // namespace
} // namespace daisytack::platform
