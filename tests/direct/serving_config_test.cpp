#include "direct/serving_config.h"

#include <gtest/gtest.h>

namespace daisytack::direct {
namespace {

Route routeOf(std::string name, std::string host, std::string prefix) {
  Route out;
  out.Name = std::move(name);
  out.Host = std::move(host);
  out.PathPrefix = std::move(prefix);
  out.Shares = {{"service", 1}};
  return out;
}

ConfigIndex sample() {
  ServingConfig config;
  config.Routes = {routeOf("short", "a.example", "/x/"),
                   routeOf("long", "a.example", "/x/y/"),
                   routeOf("other", "b.example", "/x/")};
  config.Organisations = {{"first", {"k1", "k2"}, std::nullopt, false},
                          {"second", {"k3"}, 2, true}};
  Service service;
  service.Name = "service";
  config.Services = {service};
  return ConfigIndex(config);
}

struct Lookup {
  const char *Host;
  const char *Path;
  const char *Route; ///< Expected route; empty: none.
};

class FindRoute : public testing::TestWithParam<Lookup> {};

TEST_P(FindRoute, TakesTheLongestPrefixOfTheHost) {
  ConfigIndex index = sample();
  const Route *route = index.findRoute(GetParam().Host, GetParam().Path);
  EXPECT_EQ(route ? route->Name : "", GetParam().Route);
}

INSTANTIATE_TEST_SUITE_P(
    Table, FindRoute,
    testing::Values(Lookup{"a.example", "/x/y/z", "long"},
                    Lookup{"a.example", "/x/y/", "long"},
                    Lookup{"a.example", "/x/y", "short"},
                    Lookup{"a.example", "/x/yy/", "short"},
                    Lookup{"a.example", "/x", ""}, Lookup{"a.example", "/", ""},
                    Lookup{"a.example", "", ""},
                    Lookup{"A.Example:8080", "/x/1", "short"},
                    Lookup{"b.example", "/x/y/z", "other"},
                    Lookup{"c.example", "/x/", ""}));

TEST(ConfigIndex, FindsTheOrganisationOfEachKey) {
  ConfigIndex index = sample();
  EXPECT_TRUE(index.needsKeys());
  EXPECT_EQ(index.findKey("k2")->Organisation, "first");
  EXPECT_TRUE(index.findKey("k3")->IsIsolated);
  EXPECT_EQ(index.findKey("k"), nullptr);
  EXPECT_EQ(index.findKey(""), nullptr);
}

TEST(ConfigIndex, NeedsNoKeysWithoutOrganisations) {
  EXPECT_FALSE(ConfigIndex(ServingConfig{}).needsKeys());
}

TEST(Route, MayRepeatIdempotentRequestsAndResumableStreams) {
  Route route;
  route.Kind = RouteKind::NonIdempotent;
  route.IsResumable = true;
  EXPECT_FALSE(route.mayRepeat());
  route.Kind = RouteKind::Stream;
  EXPECT_TRUE(route.mayRepeat());
  route.IsResumable = false;
  EXPECT_FALSE(route.mayRepeat());
  route.Kind = RouteKind::Idempotent;
  EXPECT_TRUE(route.mayRepeat());
}

} // namespace
} // namespace daisytack::direct
