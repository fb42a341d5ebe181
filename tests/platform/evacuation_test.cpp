/// Evacuation of a failure domain.
///
/// Guards against sending requests to servers of an evacuated domain: 915
/// requests reached such servers after the evacuation was acknowledged and
/// before it was revoked, because the operator's key was dropped as a key of an
/// unknown kind.
#include "platform/entry_fixture.h"

#include <gtest/gtest.h>

#include <set>

namespace daisytack::platform {
namespace {

class EvacuationTest : public testing::Test {
protected:
  EvacuationTest() {
    std::vector<direct::StoreRecord> all{configRecord(1)};
    uint64_t revision = 1;
    for (const char *domain : {"a", "b", "c"})
      for (int i = 0; i < 3; ++i) {
        std::string name = domain + std::to_string(i);
        all.push_back(
            serverRecord("e" + name, "engines", domain, 0, ++revision));
        all.push_back(serverRecord("p" + name, "plain", domain, 0, ++revision));
      }
    TestEntry.Catalog.applyAll(all, revision, Start);
  }

  /// Sends 100 prompts and 100 plain requests. Returns the domains of the
  /// servers that were selected: the second letter of each server's name.
  std::set<char> usedDomains(TimePoint now,
                             const std::vector<std::string> &tried) {
    std::set<char> out;
    for (int i = 0; i < 100; ++i)
      for (const auto &request : {Entry::promptRequest(std::to_string(i)),
                                  Entry::plainRequest(std::to_string(i))}) {
        std::string to = TestEntry.send(request, now, tried);
        if (!to.empty())
          out.insert(to[1]);
        now += 50ms;
      }
    return out;
  }

  Entry TestEntry;
};

TEST_F(EvacuationTest, SendsNothingToServersOfAnEvacuatedDomain) {
  EXPECT_TRUE(usedDomains(Start, {}).contains('b'));
  TestEntry.Catalog.apply({record("op/evacuate/b", "{}", 100)}, Start + 1s);
  EXPECT_EQ(usedDomains(Start + 1s, {}), (std::set<char>{'a', 'c'}));
  // The same holds when all other servers have been tried, as by a retry or a
  // resumed stream.
  EXPECT_EQ(usedDomains(Start + 9s, {"ea0", "ea1", "ea2", "ec0", "ec1", "ec2",
                                     "pa0", "pa1", "pa2", "pc0", "pc1", "pc2"}),
            std::set<char>());
}

TEST_F(EvacuationTest, UsesServersAgainAfterItIsRevoked) {
  TestEntry.Catalog.apply({record("op/evacuate/b", "{}", 100)}, Start);
  TestEntry.Catalog.apply({deletedRecord("op/evacuate/b", 101)}, Start + 8s);
  EXPECT_TRUE(usedDomains(Start + 20s, {}).contains('b'));
}

TEST_F(EvacuationTest, TracksEachDomainSeparately) {
  TestEntry.Catalog.apply({record("op/evacuate/a", "{}", 100)}, Start);
  TestEntry.Catalog.apply({record("op/evacuate/b", "{}", 101)}, Start + 2s);
  EXPECT_EQ(usedDomains(Start + 3s, {}), std::set<char>{'c'});
  TestEntry.Catalog.apply({deletedRecord("op/evacuate/a", 102)}, Start + 30s);
  EXPECT_EQ(usedDomains(Start + 40s, {}), (std::set<char>{'a', 'c'}));
}

} // namespace
} // namespace daisytack::platform
