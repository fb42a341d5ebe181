#include "direct/context_group.h"

#include "direct/kept_context.h"
#include "direct/serving_config.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace daisytack::direct {
namespace {

/// Names of organisations, with the words and separators of scopes.
rc::Gen<std::string> organisationName() {
  return rc::gen::map(
      rc::gen::container<std::vector<std::string>>(
          rc::gen::element<std::string>(
              "shared", "isolated-", "@", "1", ":", "-", "a", "\n", "\r", ",",
              commonContextGroup({"a"}), isolatedContextGroup("a"))),
      [](const std::vector<std::string> &words) {
        std::string out;
        for (const std::string &it : words)
          out += it;
        return out;
      });
}

/// Guards against organisations whose name makes them share the context of
/// others, such as one that is called "shared".
RC_GTEST_PROP(ContextGroup, NoNameLeadsToAnotherGroup, ()) {
  auto name = *organisationName();
  auto other = *organisationName();
  auto isolated =
      *rc::gen::container<std::set<std::string>>(organisationName());
  auto otherSet =
      *rc::gen::container<std::set<std::string>>(organisationName());
  auto common = [](const std::set<std::string> &names) {
    return commonContextGroup({names.begin(), names.end()});
  };
  RC_ASSERT((isolatedContextGroup(name) == isolatedContextGroup(other)) ==
            (name == other));
  RC_ASSERT(isolatedContextGroup(name) != common(isolated));
  RC_ASSERT((common(isolated) == common(otherSet)) == (isolated == otherSet));
  for (const std::string &group :
       {isolatedContextGroup(name), common(isolated)}) {
    RC_ASSERT(
        group.find_first_not_of("abcdefghijklmnopqrstuvwxyz-0123456789") ==
        std::string::npos);
    RC_ASSERT(versionOfScope(cacheScope(group, 12)) == 12U);
  }
}

TEST(ContextGroup, DoesNotDependOnTheOrderOfTheConfiguration) {
  EXPECT_EQ(commonContextGroup({"a", "b"}), commonContextGroup({"b", "a"}));
  EXPECT_NE(commonContextGroup({"a", "b"}), commonContextGroup({"ab"}));
}

ConfigIndex indexOf(const std::map<std::string, bool> &isolation) {
  ServingConfig config;
  for (const auto &[name, isIsolated] : isolation)
    config.Organisations.push_back({name, {name}, std::nullopt, isIsolated});
  return ConfigIndex(config);
}

TEST(ContextGroup, ChangesOnlyWithTheSetOfIsolatedOrganisations) {
  std::string before = indexOf({{"a", false}, {"b", true}}).contextGroup("a");
  EXPECT_EQ(
      before,
      indexOf({{"a", false}, {"b", true}, {"c", false}}).contextGroup("c"));
  EXPECT_EQ(before, indexOf({{"a", false}, {"b", true}}).contextGroup(""));
  EXPECT_NE(before, indexOf({{"a", false}, {"b", false}}).contextGroup("a"));
}

/// A request may still wait for a server when its organisation is removed.
TEST(ContextGroup, SharesNothingWithARemovedOrganisation) {
  ConfigIndex index = indexOf({{"a", false}, {"b", true}});
  EXPECT_NE(index.contextGroup("gone"), index.contextGroup("a"));
  EXPECT_NE(index.contextGroup("gone"), index.contextGroup("b"));
}

/// Guards against context that an organisation made before it was isolated:
/// others went on using it. Isolation comes, goes and moves, organisations come
/// and go, and some entries still have an earlier configuration when they have
/// context saved.
RC_GTEST_PROP(ContextGroup, NothingIsUsedAcrossTheBoundsOfIsolation, ()) {
  const std::vector<std::string> names{"shared", "a", "b", "a@1"};
  std::map<std::string, std::set<std::string>> makers; // By group.
  std::vector<ConfigIndex> configs;
  auto n = *rc::gen::inRange(1, 12);
  for (int version = 0; version < n; ++version) {
    std::map<std::string, bool> isolation;
    for (const std::string &name : names)
      if (*rc::gen::inRange(0, 4) != 0)
        isolation[name] = *rc::gen::arbitrary<bool>();
    configs.push_back(indexOf(isolation));
    for (const auto &[user, isUserIsolated] : isolation)
      for (const std::string &maker :
           makers[configs.back().contextGroup(user)]) {
        auto it = isolation.find(maker);
        bool isIsolated =
            isUserIsolated || (it != isolation.end() && it->second);
        RC_ASSERT(user == maker || !isIsolated);
      }
    for (const std::string &name : names) {
      const ConfigIndex &known =
          configs[*rc::gen::inRange<size_t>(0, configs.size())];
      if (known.findKey(name))
        makers[known.contextGroup(name)].insert(name);
    }
  }
}

} // namespace
} // namespace daisytack::direct
