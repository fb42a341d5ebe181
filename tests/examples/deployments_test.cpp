/// Guards against example deployments that no longer match the code: invalid or
/// unknown configuration fields, instances that don't decode, and numbers of
/// instances and failure domains that differ from the described sizes.
#include "control/instance_codec.h"
#include "control/object_codec.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace daisytack {
namespace {

constexpr size_t Organisations = 10;

struct DeploymentSize {
  const char *Name;
  size_t Models;
  size_t Portals;
  size_t Domains;
};

class Deployments : public testing::TestWithParam<DeploymentSize> {
protected:
  static boost::json::value read(const std::string &file) {
    std::filesystem::path examples(DAISYTACK_EXAMPLES);
    auto path = examples / GetParam().Name / file;
    std::stringstream text;
    text << std::ifstream(path).rdbuf();
    return boost::json::parse(text.str());
  }
};

TEST_P(Deployments, ConfigurationIsValidAndWithoutUnknownFields) {
  size_t organisations = 0;
  boost::json::value objects = read("config.json");
  for (const auto &[text, value] : objects.get_object()) {
    Error reason;
    auto key = control::parseObjectKey(text, reason);
    ASSERT_TRUE(key) << text << reason.Detail;
    auto stored =
        control::decodeStored(*key, boost::json::serialize(value), reason);
    ASSERT_TRUE(stored && stored->Object) << text << reason.Detail;
    EXPECT_TRUE(stored->Unknown.empty()) << text << stored->Unknown;
    for (const auto &violation : control::validate(*stored->Object))
      ADD_FAILURE() << text << ": " << control::toString(violation);
    organisations += key->Kind == control::ObjectKind::Organisation;
  }
  EXPECT_EQ(organisations, Organisations);
}

TEST_P(Deployments, InstancesHaveTheSizeAndDomains) {
  std::set<std::string> names;
  std::set<std::string> domains;
  size_t models = 0;
  size_t portals = 0;
  boost::json::value instances = read("instances.json");
  for (const auto &value : instances.get_array()) {
    Error reason;
    auto json = value.get_object();
    json["changed"] = 1;
    auto decoded =
        control::decodeInstance(boost::json::serialize(json), reason);
    ASSERT_TRUE(decoded) << value << reason.Detail;
    const Member &member = decoded->Instance;
    EXPECT_TRUE(names.insert(member.Name).second) << member.Name;
    domains.insert(member.FailureDomain);
    bool agent = member.Role == MemberRole::Agent;
    models += agent && !member.IsService;
    portals += agent && member.IsService;
  }
  EXPECT_EQ(models, GetParam().Models);
  EXPECT_EQ(portals, GetParam().Portals);
  EXPECT_EQ(domains.size(), GetParam().Domains);
}

INSTANTIATE_TEST_SUITE_P(Sizes, Deployments,
                         testing::Values(DeploymentSize{"riga", 12, 3, 3},
                                         DeploymentSize{"dakar", 9, 4, 4}),
                         [](const auto &row) { return row.param.Name; });

} // namespace
} // namespace daisytack
