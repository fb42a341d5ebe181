#include "gateway/gateway_options.h"

#include <gtest/gtest.h>

namespace daisytack::gateway {
namespace {

constexpr const char *MinimalSettings = R"([instance]
name = e
failure_domain = a
{regions}
[callers]
listen = 10.0.0.1:1
[readiness]
listen = 10.0.0.1:2
[metrics]
listen = 10.0.0.1:3
[peers]
listen = 10.0.0.1:4
[store]
address = 10.0.0.2:5
{slow_start})";

Settings settingsWith(const std::string &regions,
                      const std::string &slowStart = "") {
  std::string text = MinimalSettings;
  text.replace(text.find("{regions}"), 9, regions);
  text.replace(text.find("{slow_start}"), 12, slowStart);
  return {"entry.ini", text};
}

TEST(GatewayOptions, ReadTheBandwidthOfTheLink) {
  Settings settings = settingsWith("link_mbps = 10.0");
  EXPECT_EQ(readGatewayOptions(settings).LinkMbps, 10U);
  EXPECT_TRUE(settings.finish().empty());
  Settings without = settingsWith("");
  EXPECT_EQ(readGatewayOptions(without).LinkMbps, 0U);
  Settings negative = settingsWith("link_mbps = -1");
  readGatewayOptions(negative);
  EXPECT_FALSE(negative.finish().empty());
}

TEST(GatewayOptions, ReadTheMemoryOfTheInstance) {
  Settings settings = settingsWith("memory_mb = 110");
  EXPECT_EQ(readGatewayOptions(settings).MemoryBytes, 110'000'000U);
  EXPECT_TRUE(settings.finish().empty());
  Settings none = settingsWith("memory_mb = 0");
  readGatewayOptions(none);
  EXPECT_FALSE(none.finish().empty());
}

TEST(GatewayOptions, ReadRegionsOfFailureDomains) {
  Settings settings = settingsWith("regions = a:north,b:north,c:south");
  GatewayOptions options = readGatewayOptions(settings);
  EXPECT_TRUE(settings.finish().empty());
  EXPECT_EQ(options.Regions,
            (std::map<std::string, std::string, std::less<>>{
                {"a", "north"}, {"b", "north"}, {"c", "south"}}));
}

TEST(GatewayOptions, RefuseARegionWithoutItsFailureDomain) {
  for (const char *bad :
       {"regions = north", "regions = :north", "regions = a:north,b:"}) {
    Settings settings = settingsWith(bad);
    readGatewayOptions(settings);
    auto mistakes = settings.finish();
    ASSERT_EQ(mistakes.size(), 1) << bad;
    EXPECT_EQ(mistakes[0].Key, "instance.regions");
  }
}

TEST(GatewayOptions, ReadTheBoundOnColdServers) {
  Settings settings =
      settingsWith("", "[slow_start]\novershoot = 1.5\nslack = 5");
  GatewayOptions options = readGatewayOptions(settings);
  EXPECT_TRUE(settings.finish().empty());
  EXPECT_EQ(options.SlowStart.Overshoot, 1.5);
  EXPECT_EQ(options.SlowStart.Slack, 5);
  Settings bad = settingsWith("", "[slow_start]\nslack = -1");
  readGatewayOptions(bad);
  EXPECT_EQ(bad.finish().size(), 1);
}

/// Both quotas that entries share are switched by one setting.
TEST(GatewayOptions, ReadWhetherEntriesLendQuota) {
  Settings defaults = settingsWith("");
  GatewayOptions options = readGatewayOptions(defaults);
  EXPECT_TRUE(options.Limits.HasLoans);
  EXPECT_TRUE(options.SlowStart.HasLoans);
  Settings off = settingsWith("", "[balancing]\nquota_loans = false");
  options = readGatewayOptions(off);
  EXPECT_TRUE(off.finish().empty());
  EXPECT_FALSE(options.Limits.HasLoans);
  EXPECT_FALSE(options.SlowStart.HasLoans);
  Settings bad = settingsWith("", "[balancing]\nquota_loans = 2");
  readGatewayOptions(bad);
  auto mistakes = bad.finish();
  ASSERT_EQ(mistakes.size(), 1);
  EXPECT_EQ(mistakes[0].Key, "balancing.quota_loans");
}

} // namespace
} // namespace daisytack::gateway
