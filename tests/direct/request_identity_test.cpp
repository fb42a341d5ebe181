#include "direct/request_identity.h"

#include <gtest/gtest.h>

#include <set>

namespace daisytack::direct {
namespace {

ForwardRequest sample() {
  ForwardRequest out;
  out.Organisation = "org";
  out.Head.Method = "POST";
  out.Head.Target = "/a/b?c=d";
  out.Head.RequestId = "r1";
  out.MatchedRoute.Host = "h.example";
  return out;
}

TEST(RequestIdentity, IgnoresTheRequestId) {
  ForwardRequest retry = sample();
  retry.Head.RequestId = "r2";
  retry.Head.CallerTimeout = Duration(1);
  EXPECT_EQ(requestIdentity(sample(), "body"), requestIdentity(retry, "body"));
}

TEST(RequestIdentity, DiffersByOrganisationMethodHostTargetAndBody) {
  std::set<Id128> all{requestIdentity(sample(), "body"),
                      requestIdentity(sample(), "bodY")};
  auto add = [&](auto change) {
    ForwardRequest it = sample();
    change(it);
    all.insert(requestIdentity(it, "body"));
  };
  add([](ForwardRequest &it) { it.Organisation = "other"; });
  add([](ForwardRequest &it) { it.Head.Method = "PUT"; });
  add([](ForwardRequest &it) { it.MatchedRoute.Host = "i.example"; });
  add([](ForwardRequest &it) { it.Head.Target = "/a/b"; });
  EXPECT_EQ(all.size(), 6);
}

/// The same characters, split into fields differently.
TEST(RequestIdentity, DependsOnFieldBoundaries) {
  ForwardRequest other = sample();
  other.Head.Method = "POS";
  other.MatchedRoute.Host = "Th.example";
  EXPECT_NE(requestIdentity(sample(), "body"), requestIdentity(other, "body"));
}

} // namespace
} // namespace daisytack::direct
