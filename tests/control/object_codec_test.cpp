#include "control/object_codec.h"
#include "control/snapshot_builder.h"

#include "base/digest.h"

#include <gtest/gtest.h>

#include <cmath>

namespace daisytack::control {
namespace {

std::vector<ConfigObject> samples() {
  Organisation organisation;
  organisation.Name = "o";
  organisation.KeyHash = hexDigest(sha256("key"));
  organisation.RequestsPerSecond = 0.5;
  organisation.KeptBytes = 3ULL << 40;
  Model model{"m", "v1", "a", 3};
  RequestClass requestClass;
  requestClass.Name = "c";
  requestClass.Keep = KeepRule::Always;
  requestClass.ReleaseAt = WallTime(Duration(1'764'657'000'250'000));
  ReusePolicy policy;
  policy.Organisation = "o";
  policy.Reuse = false;
  PlainService service{"s", true, Duration(1'500'000)};
  ServerOverride server{"x", true, true};
  OperatorAccount account{"p", hexDigest(sha256("pass")),
                          OperatorRole::Administrator};
  return {organisation, model, requestClass, policy, service, server, account};
}

TEST(ObjectCodec, RoundTripsEveryKind) {
  for (const ConfigObject &object : samples()) {
    StoredObject stored;
    stored.Object = object;
    stored.Trail = {{{1, 2}, "ann"}};
    Error reason;
    std::optional<ObjectKey> key =
        parseObjectKey(toText(keyOf(object)), reason);
    ASSERT_TRUE(key) << reason.Detail;
    EXPECT_EQ(decodeStored(*key, encodeStored(stored), reason), stored)
        << reason.Detail;
    EXPECT_TRUE(validate(object).empty());
  }
}

TEST(ObjectCodec, FieldsRoundTripAsText) {
  for (const ConfigObject &object : samples()) {
    ConfigObject copy = defaultObject(keyOf(object));
    FieldError reason;
    for (const FieldText &field : fieldsOf(object))
      EXPECT_TRUE(setField(copy, field.Field, field.Value, reason))
          << toString(reason);
    EXPECT_EQ(copy, object);
  }
}

TEST(ObjectCodec, KeepsFieldsOfNewerBuilds) {
  Error reason;
  ObjectKey key{ObjectKind::Model, "m"};
  std::optional<StoredObject> stored = decodeStored(
      key, R"({"schema": 2, "needs": 1, "version": "v1", "colour": [1]})",
      reason);
  ASSERT_TRUE(stored) << reason.Detail;
  std::string written = encodeStored(*stored);
  EXPECT_NE(written.find(R"("colour":[1])"), std::string::npos);
  EXPECT_FALSE(decodeStored(key, R"({"needs": 2})", reason));
  EXPECT_NE(reason.Detail.find("needs schema 2"), std::string::npos);
}

TEST(ObjectCodec, RefusesMalformedTexts) {
  ObjectKey key{ObjectKind::RequestClass, "c"};
  std::string deep(100, '[');
  for (const std::string &text :
       {std::string(), std::string("[]"), std::string("{"), deep,
        std::string(R"({"priority": "5"})"), std::string(R"({"priority": -1})"),
        std::string(R"({"priority": 4294967296})"),
        std::string(R"({"deadline": "soon"})"),
        std::string(R"({"commands": [{}]})"),
        std::string(R"({"commands": [1,2,3,4,5]})")}) {
    Error reason;
    EXPECT_FALSE(decodeStored(key, text, reason)) << text;
    EXPECT_EQ(reason.Kind, ErrorKind::BadValue);
  }
  for (const char *text :
       {"/other/model/m", "/daisytack/config/model", "/daisytack/config/model/",
        "/daisytack/config/colour/x", "/daisytack/config/model/a/b",
        "/daisytack/config/reuse/o", "/daisytack/config/reuse/o:a:b"}) {
    Error reason;
    EXPECT_FALSE(parseObjectKey(text, reason)) << text;
  }
}

TEST(ObjectCodec, ValidationNamesFieldValueAndRemedy) {
  Organisation organisation;
  organisation.Name = "o";
  organisation.KeyHash = "secret";
  organisation.Weight = 0;
  organisation.RequestsPerSecond = std::nan("");
  std::vector<FieldError> errors = validate(organisation);
  ASSERT_EQ(errors.size(), 3U);
  EXPECT_EQ(toString(errors[0]),
            "key_hash = (hidden): use the SHA-256 of the key, 64 lower-case "
            "hexadecimal digits");
  EXPECT_EQ(toString(errors[1]), "weight = 0: use 1 to 1000");
  ConfigObject object = organisation;
  FieldError reason;
  EXPECT_FALSE(setField(object, "wait", "3", reason));
  EXPECT_NE(reason.Remedy.find("weight"), std::string::npos);
}

TEST(SnapshotBuilder, KeepsLastValidObject) {
  SnapshotBuilder builder;
  Error reason;
  std::string key = toText({ObjectKind::Model, "m"});
  ASSERT_TRUE(builder.applyConfig(key, R"({"version": "v1"})", reason));
  EXPECT_FALSE(builder.applyConfig(key, R"({"needs": 9})", reason));
  EXPECT_EQ(builder.build(1, 1)->model("m")->Version, "v1");
  ASSERT_TRUE(builder.applyConfig(key, R"({"deleted": true})", reason));
  EXPECT_EQ(builder.build(1, 1)->model("m"), nullptr);
}

TEST(SnapshotBuilder, PoolsLeaveOutLeavingAndDrained) {
  SnapshotBuilder builder;
  for (const char *name : {"a", "b", "c"}) {
    Member member;
    member.Name = name;
    member.Serves = "m";
    member.State = *name == 'b' ? MemberState::Leaving : MemberState::Live;
    builder.applyMember(member);
  }
  Error reason;
  ASSERT_TRUE(builder.applyConfig(toText({ObjectKind::ServerOverride, "c"}),
                                  R"({"drained": true})", reason));
  std::shared_ptr<const Snapshot> snapshot = builder.build(1, 1);
  const Pool *pool = snapshot->pool("m", false);
  ASSERT_NE(pool, nullptr);
  ASSERT_EQ(pool->Servers.size(), 1U);
  EXPECT_EQ(snapshot->Servers[pool->Servers[0].Index].Name, "a");
  EXPECT_EQ(snapshot->pool("m", true), nullptr);
  EXPECT_EQ(snapshot->Servers.size(), 3U);
}

TEST(Snapshot, FindsByKeyAndMostSpecificPolicy) {
  SnapshotBuilder builder;
  Error reason;
  for (const ConfigObject &object : samples()) {
    StoredObject stored;
    stored.Object = object;
    ASSERT_TRUE(builder.applyConfig(toText(keyOf(object)), encodeStored(stored),
                                    reason));
  }
  std::shared_ptr<const Snapshot> snapshot = builder.build(1, 1);
  ASSERT_NE(snapshot->organisationByKey("key"), nullptr);
  EXPECT_EQ(snapshot->organisationByKey("pass"), nullptr);
  ASSERT_NE(snapshot->operatorByKey("pass"), nullptr);
  EXPECT_FALSE(snapshot->policy("o", "c").Reuse);
  EXPECT_TRUE(snapshot->policy("other", "c").Reuse);
  EXPECT_EQ(snapshot->requestClass("")->Name, "default");
  EXPECT_EQ(snapshot->requestClass("absent"), nullptr);
}

} // namespace
} // namespace daisytack::control
