/// Routes and organisations that are restricted to regions: where their
/// requests may run, and where the kept context of their prompts may be stored.
#include "platform/entry_fixture.h"

#include <gtest/gtest.h>

#include <set>

namespace daisytack::platform {
namespace {

/// Domains a and b are in region north, c is in south, and d is in west.
const direct::Locality TestLocality{
    "a", {{"a", "north"}, {"b", "north"}, {"c", "south"}, {"d", "west"}}};

direct::StoreRecord confinedConfigRecord(const std::string &route,
                                         const std::string &organisation) {
  auto store = [](const std::string &domain) {
    return R"({"name":"store-)" + domain +
           R"(","kv-store-address":"10.9.0.1:)" +
           std::to_string(8000 + domain[0]) + R"(","zone":")" + domain +
           R"(","kv-capacity-tokens":1000000,"link-mbps":1000.0,)" +
           R"("managed":true})";
  };
  return record("op/config",
                R"({"version":1,"routes":[
      {"name":"draft","host":"h","path-prefix":"/d/","kind":"streaming",
       "service":"engines","target-latency-ms":800,"sticky":true)" +
                    route + R"(}],"services":[{"name":"engines",
       "engine":{"slots":128,"kv-capacity-tokens":142129,"kv-token-bytes":1,
                 "link-mbps":1000.0,"managed":true,"models":[{"name":"m"}]}},)" +
                    store("a") + "," + store("c") + "," + store("d") +
                    R"(],"tenants":[{"name":"org","api-keys":["k"])" +
                    organisation + "}]}",
                1);
}

/// An entry with servers in all domains and stores in a, c and d. The arguments
/// are JSON fields added to its route and its organisation.
class ConfinedSetup {
public:
  ConfinedSetup(const std::string &route, const std::string &organisation)
      : TestEntry(0, TestLocality) {
    std::vector<direct::StoreRecord> all{
        confinedConfigRecord(route, organisation)};
    uint64_t revision = 1;
    for (const char *domain : {"a", "b", "c", "d", "unknown"})
      for (int i = 0; i < 3; ++i)
        all.push_back(serverRecord(domain + std::to_string(i), "engines",
                                   domain, 0, ++revision));
    TestEntry.Catalog.applyAll(all, revision, Start);
    const direct::ServingConfig &config =
        TestEntry.Catalog.view()->Config->config();
    TestEntry.Kept.setStores(config.Services);
    for (const direct::Service &service : config.Services)
      if (service.Store)
        TestEntry.Kept.apply(service.Name,
                             direct::PartChanges{1, 0, false, {}, {}}, {},
                             Start - 1h);
    Regions = direct::intersect(config.Routes[0].Regions,
                                config.Organisations[0].Regions);
  }

  struct Used {
    std::set<std::string> Domains;      ///< Domains of selected servers.
    std::set<std::string> Destinations; ///< Domains of stores to save to.
  };

  /// Sends 200 prompts of different sessions.
  Used send() {
    Used out;
    for (int i = 0; i < 200; ++i) {
      direct::ForwardRequest request = Entry::promptRequest(std::to_string(i));
      request.Regions = Regions;
      request.Arrived = Start;
      request.Deadline = Start + 12s;
      request.Head.Parts = {
          {"system", 100}, {std::to_string(i), 100}, {"own", 100}};
      Error reason;
      auto choice =
          TestEntry.Placer.choose(request, *TestEntry.Catalog.view(), {}, 1000,
                                  Start + Duration(i), reason);
      if (!choice)
        continue;
      out.Domains.insert(
          choice->Order.ServerId.substr(0, choice->Order.ServerId.size() - 1));
      for (const direct::PartAddress &it : choice->Order.Destinations)
        if (it)
          out.Destinations.insert(
              std::string(1, static_cast<char>(it->Port - 8000)));
    }
    return out;
  }

  Entry TestEntry;
  direct::AllowedRegions Regions;
};

using Names = std::set<std::string>;

TEST(Regions, RestrictNothingWhenUnset) {
  auto used = ConfinedSetup("", "").send();
  EXPECT_EQ(used.Domains, (Names{"a", "b", "c", "d", "unknown"}));
  EXPECT_EQ(used.Destinations, (Names{"a", "c", "d"}));
}

TEST(Regions, RestrictRequestsAndKeptContextOfARoute) {
  auto used = ConfinedSetup(R"(,"allowed-regions":["north"])", "").send();
  EXPECT_EQ(used.Domains, (Names{"a", "b"}));
  EXPECT_EQ(used.Destinations, Names{"a"});
}

TEST(Regions, RestrictRequestsOfAnOrganisation) {
  auto used =
      ConfinedSetup("", R"(,"allowed-regions":["south","west"])").send();
  EXPECT_EQ(used.Domains, (Names{"c", "d"}));
  EXPECT_EQ(used.Destinations, (Names{"c", "d"}));
}

TEST(Regions, OfRouteAndOrganisationAreIntersected) {
  auto used = ConfinedSetup(R"(,"allowed-regions":["north","south"])",
                            R"(,"allowed-regions":["south","west"])")
                  .send();
  EXPECT_EQ(used.Domains, Names{"c"});
  EXPECT_EQ(used.Destinations, Names{"c"});
}

TEST(Regions, RejectRequestsWithNoAllowedRegion) {
  ConfinedSetup nowhere(R"(,"allowed-regions":["north"])",
                        R"(,"allowed-regions":["west"])");
  EXPECT_EQ(nowhere.send().Domains, Names{});
  direct::ForwardRequest request = Entry::promptRequest("s");
  request.Regions = nowhere.Regions;
  EXPECT_EQ(nowhere.TestEntry.send(request, Start), "");
  EXPECT_EQ(nowhere.TestEntry.Reason.Kind, ErrorKind::NoServer);
}

/// Kept context in a store outside the allowed regions is not fetched for a
/// restricted request.
TEST(Regions, RestrictSourcesOfKeptContext) {
  ConfinedSetup confined(R"(,"allowed-regions":["north"])", "");
  std::string scope = direct::cacheScope("shared", 1);
  auto keep = [&](const std::string &store) {
    confined.TestEntry.Kept.apply(
        store,
        direct::PartChanges{
            1, 2, false, 1000, {{1, true, scope, "session", 100}}},
        {}, Start - 1h);
  };
  auto source = [&](const direct::AllowedRegions &regions) {
    direct::ForwardRequest request = Entry::promptRequest("session");
    request.Regions = regions;
    request.Arrived = Start;
    request.Deadline = Start + 12s;
    Error reason;
    auto choice = confined.TestEntry.Placer.choose(
        request, *confined.TestEntry.Catalog.view(), {}, 1000, Start, reason);
    return choice->Order.Sources[1].has_value();
  };
  keep("store-c");
  EXPECT_TRUE(source(std::nullopt));
  EXPECT_FALSE(source(confined.Regions));
  keep("store-a");
  EXPECT_TRUE(source(confined.Regions));
}

} // namespace
} // namespace daisytack::platform
