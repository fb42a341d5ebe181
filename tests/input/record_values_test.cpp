/// Guards against odd values under the keys that entries read, and in the
/// answers of engines and stores.
#include "platform/engine_calls.h"
#include "platform/record_format.h"
#include "platform/request_head.h"

#include <gtest/gtest.h>

#include <cmath>

namespace daisytack::platform {
namespace {

/// Values that no field of any record has, as JSON.
std::vector<std::string> oddValues() {
  return {"1e400",
          "-1e400",
          "1e300",
          "-1",
          "-9223372036854775808",
          "18446744073709551615",
          "18446744073709551616",
          "9007199254740993",
          "4294967296",
          "0.5",
          "NaN",
          "null",
          "true",
          "\"\"",
          "\"x\"",
          "[]",
          "{}",
          "[[1]]",
          "[null,7,\"x\",{}]",
          std::string(40, '[') + std::string(40, ']'),
          std::string(100'000, '['),
          "\"" + std::string(100'000, 'x') + "\"",
          std::string(100'000, '9')};
}

/// The text with each value of its fields replaced by the odd one in turn.
std::vector<std::string> withEachField(const std::string &text,
                                       const std::string &odd) {
  std::vector<std::string> out;
  for (size_t at = text.find("\":"); at != std::string::npos;
       at = text.find("\":", at + 1)) {
    size_t begin = at + 2;
    size_t end = begin;
    int depth = 0;
    for (bool isQuoted = false; end < text.size(); ++end) {
      char c = text[end];
      isQuoted ^= c == '"';
      if (isQuoted)
        continue;
      if (depth == 0 && (c == ',' || c == '}' || c == ']'))
        break;
      depth += c == '{' || c == '[' ? 1 : c == '}' || c == ']' ? -1 : 0;
    }
    out.push_back(text.substr(0, begin) + odd + text.substr(end));
  }
  return out;
}

direct::StoreRecord record(const std::string &key, const std::string &value) {
  return {key, value, 5, false};
}

struct Sample {
  std::string Key;
  std::string Value;
};

std::vector<Sample> samples() {
  return {{"op/config",
           R"({"version":1,"routes":[{"name":"r","host":"h","path-prefix":"/",)"
           R"("kind":"streaming","traffic-split":[{"service":"s","weight":1}],)"
           R"("attempts":2,"timeout-ms":3000,"target-latency-ms":300,)"
           R"("target-gap-ms":40,"priority":1,"public":false,"resumable":true,)"
           R"("sticky":true,"allowed-regions":["a"]}],)"
           R"("services":[{"name":"s","connection-limit":9,"cold-start-s":2,)"
           R"("cold-per-s":3,"engine":{"slots":4,"kv-capacity-tokens":9,)"
           R"("kv-token-bytes":9,"link-mbps":5,"managed":true,)"
           R"("models":[{"name":"m"}]}},{"name":"k","kv-store-address":)"
           R"("10.0.0.1:80","zone":"d","kv-capacity-tokens":9,"link-mbps":5,)"
           R"("first_ms":2,"managed":true,"max-concurrent":4}],)"
           R"("tenants":[{"name":"o","api-keys":["k"],"priority":2,)"
           R"("isolated":false,"allowed-regions":["a"]}],)"
           R"("limits":{"max-header-bytes":16384,"max-body-bytes":100000,)"
           R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})"},
          {"op/version/m", R"({"version":2})"},
          {"servers/i",
           R"({"service":"s","address":"10.0.0.1:80","zone":"d","version":"v",)"
           R"("slots":4,"state":"ready","cold-remaining-ms":0,"sequence":1,)"
           R"("born":1,"models":[{"name":"m","version":1}]})"},
          {"daisytack/entries/e",
           R"({"peer":"10.0.0.1:80","failure-domain":"d","link-mbps":10})"},
          {"daisytack/registered/10.0.0.1:80", R"({"peer":"10.0.0.1:80"})"},
          {"daisytack/holder", R"({"entry":"e","peer":"10.0.0.1:80"})"},
          {"daisytack/retired-context",
           R"({"retired":[{"below-version":2,"share":0.5}]})"},
          {"daisytack/rollout-times",
           R"({"versions":[{"model":"m","version":2,"since-ms":5}]})"},
          {"daisytack/store-epochs", R"({"stores":[{"name":"k","epoch":5}]})"},
          {"daisytack/quarantined/00000000000000010000000000000002",
           R"({"crashed-servers":[1,2]})"}};
}

void expectFinite(const direct::ServingConfig &config) {
  for (const direct::Service &it : config.Services) {
    EXPECT_TRUE(std::isfinite(it.ColdRequestsPerSecond));
    EXPECT_TRUE(!it.Engine || std::isfinite(it.Engine->LinkMbps));
    EXPECT_TRUE(!it.Store || std::isfinite(it.Store->LinkMbps));
  }
  // Twice a duration, in nanoseconds, has to fit a timer.
  constexpr Duration Max{INT64_MAX / 4000};
  for (const direct::Route &it : config.Routes) {
    EXPECT_LE(it.MaxFirstEventWait, Max);
    for (Duration time : {it.Timeout, it.TargetLatency, it.TargetEventGap}) {
      EXPECT_GE(time, Duration::zero());
      EXPECT_LE(time, Max);
    }
    for (const direct::TrafficShare &share : it.Shares)
      EXPECT_GT(share.Weight, 0U);
    EXPECT_GT(it.Attempts, 0U);
  }
  EXPECT_LE(config.Limits.HeaderTimeout, Max);
  EXPECT_LE(config.Limits.IdleTimeout, Max);
  // The parser can't hold a longer field.
  EXPECT_LT(config.Limits.MaxHeaderBytes, 65'536U);
}

/// Guards against numbers that overflow where they are used: an infinite rate,
/// a time that no timer holds, a count that becomes zero.
TEST(OddRecordValue, IsUnreadableOrHarmless) {
  for (const Sample &it : samples()) {
    Error none;
    ASSERT_TRUE(decodeRecord(record(it.Key, it.Value), none)) << it.Key;
    for (const std::string &odd : oddValues())
      for (const std::string &text : withEachField(it.Value, odd)) {
        SCOPED_TRACE(it.Key + " " + text.substr(0, 600));
        Error reason;
        auto value = decodeRecord(record(it.Key, text), reason);
        EXPECT_EQ(value.has_value(), !reason);
        if (!value)
          continue;
        if (const auto *config = std::get_if<direct::ServingConfig>(&*value))
          expectFinite(*config);
        if (const auto *retired =
                std::get_if<direct::RetiredContext>(&*value)) {
          for (const direct::Retirement &retirement : retired->Retirements)
            EXPECT_TRUE(retirement.Share >= 0 && retirement.Share <= 1);
        }
      }
  }
}

/// Guards against a prompt of thousands of parts, or a server's id, that makes
/// a header of the attempt longer than the HTTP library can hold.
TEST(OddRecordValue, NothingMakesAHeaderOfAnAttemptTooLong) {
  direct::AttemptOrder order;
  order.Sources.assign(4'000, Endpoint{"100.100.100.100", 18'080});
  order.Destinations = order.Sources;
  for (const net::HttpHeader &it : writeAttempt({}, order, nullptr).Headers)
    EXPECT_LT(it.Value.size(), 65'000U) << it.Name;
  order.Sources.resize(2'000);
  size_t headers = writeAttempt({}, order, nullptr).Headers.size();
  order.Sources.clear();
  EXPECT_EQ(writeAttempt({}, order, nullptr).Headers.size() + 1, headers);
  Error reason;
  EXPECT_FALSE(decodeRecord(
      record("servers/" + std::string(70'000, 'x'), samples()[2].Value),
      reason));
}

TEST(OddRecordValue, IsUnreadableWhenCut) {
  for (const Sample &it : samples())
    for (size_t n = 0; n < it.Value.size(); ++n) {
      Error reason;
      EXPECT_FALSE(decodeRecord(record(it.Key, it.Value.substr(0, n)), reason));
      EXPECT_TRUE(reason);
    }
}

/// Guards against the clock of one store overflowing the time until which
/// fetches are named, and against reports that can't be read.
TEST(OddEngineAnswer, IsUnreadableOrHarmless) {
  const std::string changes =
      R"({"epoch":1,"next":7,"lost":false,"clock_ms":1000,)"
      R"("events":[[6,"+","s","p",9]]})";
  const std::string list = R"({"epoch":1,"next":7,"held":[["s","p",9]],)"
                           R"("incomplete-parts":[["s","q"]]})";
  const std::string report = R"({"busy":false,"sequence":3,"born":1,)"
                             R"("models":[{"name":"m","version":2}]})";
  ASSERT_TRUE(readChanges(changes, 1)->ClockMs);
  ASSERT_TRUE(readList(list));
  ASSERT_TRUE(readReport(report));
  constexpr int64_t MaxClockMs = int64_t{1} << 53U;
  for (const std::string &odd : oddValues()) {
    for (const std::string &text : withEachField(changes, odd))
      if (auto read = readChanges(text, 1); read && read->ClockMs) {
        EXPECT_TRUE(*read->ClockMs >= 0 && *read->ClockMs <= MaxClockMs)
            << text.substr(0, 300);
      }
    for (const std::string &text : withEachField(list, odd))
      readList(text);
    for (const std::string &text : withEachField(report, odd))
      readReport(text);
    for (size_t i = 0; i < 5; ++i) {
      std::vector<std::string> row{"6", "\"+\"", "\"s\"", "\"p\"", "9"};
      row[i] = odd;
      std::string text;
      for (const std::string &it : row)
        text += (text.empty() ? "" : ",") + it;
      readChanges(R"({"epoch":1,"next":7,"events":[[)" + text + "]]}", 1);
      readList(R"({"epoch":1,"next":7,"held":[[)" + text + "]]}");
    }
  }
}

} // namespace
} // namespace daisytack::platform
