/// Invalid records under the keys of servers, as other writers may put them
/// there.
///
/// Guards against three failures: a record without a state counted as a
/// draining server, a record whose service was a number kept the previous
/// server of the key in use, and a server id with a line break was sent in a
/// header. The decoder used fallbacks for missing fields, and a rejected record
/// left the older one in effect.
#include "platform/record_format.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace daisytack::platform {
namespace {

namespace json = boost::json;

constexpr const char *CompleteRecord =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",
    "slots":128,"state":"ready","cold-remaining-ms":0,"sequence":4,
    "born":1700000000123,"stage":"combined",
    "models":[{"name":"m","version":3,"adapters":[]}]})";

json::object completeRecord() {
  return json::parse(CompleteRecord).as_object();
}

std::optional<direct::RecordValue>
decode(const std::string &key, const std::string &value, Error &reason) {
  return decodeRecord({key, value, 5, false}, reason);
}

/// Whether the decoder accepts the value as the record of a server.
bool isAccepted(const std::string &value, const std::string &id = "i-1") {
  Error reason;
  bool out = decode("servers/" + id, value, reason).has_value();
  EXPECT_EQ(out, reason.Kind == ErrorKind::None) << value;
  return out;
}

TEST(ServerRecord, IsAcceptedWhenComplete) {
  EXPECT_TRUE(isAccepted(CompleteRecord));
  json::object plain = completeRecord();
  plain.erase("models");
  plain.erase("stage");
  EXPECT_TRUE(isAccepted(json::serialize(plain)));
  plain["state"] = "draining";
  plain["unknown"] = json::array{1, "x"};
  EXPECT_TRUE(isAccepted(json::serialize(plain)));
}

/// Guards against a server without its software version, which decides on which
/// servers a stream may go on.
TEST(ServerRecord, HoldsTheSoftwareVersion) {
  Error reason;
  auto decoded = decode("servers/i", CompleteRecord, reason);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(std::get<direct::BackendServer>(*decoded).SoftwareVersion, "v1");
}

TEST(ServerRecord, HoldsTheStartTime) {
  auto startOf = [](const std::string &record) {
    Error reason;
    auto decoded = decode("servers/i", record, reason);
    return decoded ? std::get<direct::BackendServer>(*decoded).StartedMs
                   : UINT64_MAX;
  };
  EXPECT_EQ(startOf(CompleteRecord), 1'700'000'000'123);
  json::object record = completeRecord();
  record["born"] = 1.7e12; // A whole number, in any notation.
  EXPECT_EQ(startOf(json::serialize(record)), 1'700'000'000'000);
  record.erase("born"); // Optional: not all servers write it.
  EXPECT_EQ(startOf(json::serialize(record)), 0);
}

TEST(ServerRecord, IsRejectedWithoutARequiredField) {
  for (const char *field : {"service", "address", "zone", "version", "slots",
                            "state", "cold-remaining-ms", "sequence"}) {
    json::object record = completeRecord();
    record.erase(field);
    EXPECT_FALSE(isAccepted(json::serialize(record))) << field;
    record[field] = nullptr;
    EXPECT_FALSE(isAccepted(json::serialize(record))) << field;
  }
}

TEST(ServerRecord, IsRejectedWithAnInvalidField) {
  struct Case {
    const char *Field;
    const char *Value;
  };
  for (const Case &it : {Case{"service", "7"},
                         Case{"service", R"("")"},
                         Case{"service", R"(["s"])"},
                         Case{"address", R"("nowhere")"},
                         Case{"address", R"("10.0.0.1")"},
                         Case{"address", R"("10.0.0.1:0")"},
                         Case{"address", R"("10.0.0.1:99999")"},
                         Case{"address", R"("a.example:80")"},
                         Case{"address", R"("0.0.0.0:80")"},
                         Case{"address", R"("224.0.0.1:80")"},
                         Case{"address", R"("255.255.255.255:80")"},
                         Case{"address", R"({"ip":"10.0.0.1"})"},
                         Case{"zone", "true"},
                         Case{"slots", R"("128")"},
                         Case{"slots", "-1"},
                         Case{"slots", "0"},
                         Case{"slots", "1.5"},
                         Case{"slots", "1e300"},
                         Case{"slots", "4294967296"},
                         Case{"state", R"("starting")"},
                         Case{"state", R"("Ready")"},
                         Case{"state", R"("")"},
                         Case{"state", "1"},
                         Case{"models", R"({"name":"m","version":1})"},
                         Case{"born", R"("1700000000123")"},
                         Case{"born", "null"},
                         Case{"born", "1700000000123.5"},
                         Case{"born", "-1"},
                         Case{"born", "1e300"},
                         Case{"version", "1"},
                         Case{"cold-remaining-ms", R"("0")"},
                         Case{"sequence", R"("4")"},
                         Case{"sequence", "-4"},
                         Case{"sequence", "4.5"},
                         Case{"models", "[1]"},
                         Case{"models", R"([{"version":1}])"},
                         Case{"models", R"([{"name":"","version":1}])"},
                         Case{"models", R"([{"name":"m"}])"},
                         Case{"models", R"([{"name":"m","version":0}])"},
                         Case{"models", R"([{"name":"m","version":"1"}])"},
                         Case{"models", R"([{"name":"m","version":-1}])"}}) {
    json::object record = completeRecord();
    record[it.Field] = json::parse(it.Value);
    EXPECT_FALSE(isAccepted(json::serialize(record)))
        << it.Field << " " << it.Value;
  }
}

TEST(ServerRecord, IsRejectedWhenItIsNotAnObject) {
  for (const std::string &bytes :
       {std::string(), std::string("{"), std::string("null"), std::string("[]"),
        std::string("\"text\""), std::string(3, '\0'),
        std::string("\xff\xfe{}"), std::string(CompleteRecord) + "}",
        std::string(10'000, '['), std::string(R"({"service":")") + "\xff\"}"})
    EXPECT_FALSE(isAccepted(bytes));
}

/// The id is written to headers and logs.
TEST(ServerRecord, IsRejectedUnderAnIdThatNoHeaderCanCarry) {
  for (const std::string &id :
       {std::string(), std::string("a b"), std::string("a\r\nX-Evil: 1"),
        std::string("a\0b", 3), std::string("\xc3\xa9"), std::string("\x7f")})
    EXPECT_FALSE(isAccepted(CompleteRecord, id)) << id;
  EXPECT_TRUE(isAccepted(CompleteRecord, "i-7f3a91c2/x:y_z.1"));
}

/// Anyone may write any bytes to the key-value service.
RC_GTEST_PROP(ServerRecord, IsAcceptedOrRejectedWithAReasonForAnyBytes,
              (const std::string &bytes)) {
  Error reason;
  auto decoded = decode("servers/i", bytes, reason);
  RC_ASSERT(decoded.has_value() == (reason.Kind == ErrorKind::None));
}

/// A random JSON value, nested up to two levels deep.
json::value anyValue(int depth = 0) {
  switch (*rc::gen::inRange(0, depth < 2 ? 8 : 6)) {
  case 0:
    return nullptr;
  case 1:
    return *rc::gen::arbitrary<bool>();
  case 2:
    return *rc::gen::arbitrary<int64_t>();
  case 3:
    return *rc::gen::arbitrary<uint64_t>();
  case 4:
    return *rc::gen::arbitrary<double>();
  case 5:
    return json::value(*rc::gen::element<std::string>(
        "", "ready", "draining", "10.0.0.1:80", "s", "1", "[::1]:9"));
  case 6:
    return json::array{anyValue(depth + 1), anyValue(depth + 1)};
  default:
    return json::object{{"name", anyValue(depth + 1)},
                        {"version", anyValue(depth + 1)}};
  }
}

/// Replaces one field with a random value: a record that is still accepted must
/// have valid fields.
RC_GTEST_PROP(ServerRecord, HoldsValidFieldsWhenAccepted, ()) {
  json::object record = completeRecord();
  std::vector<std::string> fields;
  for (const auto &it : record)
    fields.emplace_back(it.key());
  record[*rc::gen::elementOf(fields)] = anyValue();
  Error reason;
  auto decoded = decode("servers/i", json::serialize(record), reason);
  RC_ASSERT(decoded.has_value() == (reason.Kind == ErrorKind::None));
  if (!decoded)
    return;
  const auto &server = std::get<direct::BackendServer>(*decoded);
  RC_ASSERT(!server.Service.empty());
  RC_ASSERT(server.Address.isValid());
  RC_ASSERT(server.Slots > 0U);
  for (const direct::ModelVersion &it : server.Weights)
    RC_ASSERT(!it.Model.empty() && it.Version > 0U);
}

} // namespace
} // namespace daisytack::platform
