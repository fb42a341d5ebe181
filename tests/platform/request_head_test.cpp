#include "platform/request_head.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace daisytack::platform {
namespace {

using namespace std::chrono_literals;
using net::HttpHeader;

net::HttpRequest sample() {
  net::HttpRequest out;
  out.Method = "POST";
  out.Target = "/a/b?c=1";
  out.Path = "/a/b";
  out.Query = "c=1";
  out.Headers = {{"Host", "a.example"},
                 {"X-Daisytack-Request-Id", "abc"},
                 {"X-Daisytack-Deadline-Milliseconds", "1500"},
                 {"X-Daisytack-Model", "m"},
                 {"X-Daisytack-Token-Counts", "1460,80"},
                 {"X-Daisytack-Prompt-Prefix", "5c:800, 91:410,e4:250"},
                 {"X-Api-Key", " secret "},
                 {"X-Other", "kept"}};
  return out;
}

std::string valueOf(const std::vector<HttpHeader> &headers,
                    std::string_view name) {
  std::string out;
  for (const HttpHeader &it : headers)
    if (it.Name == name)
      out += (out.empty() ? "" : "|") + it.Value;
  return out;
}

std::shared_ptr<const std::string> sharedBody() {
  return std::make_shared<const std::string>("body");
}

direct::CallerHead readSample(const net::HttpRequest &request) {
  Error reason;
  auto out = readCallerHead(request, reason);
  EXPECT_TRUE(out) << reason.Detail;
  return out.value_or(direct::CallerHead{});
}

direct::AttemptOrder orderSample() {
  direct::AttemptOrder out;
  out.ServerId = "i-1";
  out.TimeLeft = 1234567us;
  out.Organisation = "org";
  return out;
}

TEST(ReadCallerHead, DecodesThePrompt) {
  direct::CallerHead head = readSample(sample());
  EXPECT_EQ(head.RequestId, "abc");
  EXPECT_EQ(head.CallerTimeout, 1500ms);
  EXPECT_EQ(head.ApiKey, "secret");
  EXPECT_EQ(head.PromptTokens, 1460);
  EXPECT_EQ(head.MaxOutputTokens, 80);
  EXPECT_EQ(head.Parts, (std::vector<direct::PromptPart>{
                            {"5c", 800}, {"91", 410}, {"e4", 250}}));
}

TEST(ReadCallerHead, RejectsAnInvalidDeadline) {
  for (const char *text :
       {"soon", "-1", "1.5", "99999999999999999999", "1 2"}) {
    net::HttpRequest request = sample();
    request.Headers[2].Value = text;
    Error reason;
    EXPECT_FALSE(readCallerHead(request, reason)) << text;
    EXPECT_EQ(reason.Kind, ErrorKind::BadRequest);
  }
}

TEST(ReadCallerHead, IgnoresAnInvalidPromptPrefix) {
  for (const char *text : {"5c", "5c:", ":5", "5c:x", "5c:800,,x:y"}) {
    net::HttpRequest request = sample();
    request.Headers[5].Value = text;
    EXPECT_TRUE(readSample(request).Parts.empty()) << text;
  }
}

/// Drops the headers that only this system may set, in any letter case, and the
/// API key.
TEST(WriteAttempt, DropsHeadersThatACallerMayNotSet) {
  for (const char *name :
       {"X-Daisytack-Cache-Salt", "x-daisytack-kv-source",
        "X-Daisytack-Kv-Destination", "X-Daisytack-Kv-Until",
        "X-Daisytack-Request-Priority", "X-Daisytack-Expected-Version",
        "X-Daisytack-Hold", "X-DAISYTACK-PIN-MILLISECONDS",
        "X-Daisytack-Kv-Backup", "Kv-From", "X-Api-Key"}) {
    net::HttpRequest request = sample();
    request.Headers.push_back({name, "forged"});
    net::HttpRequest out =
        writeAttempt(readSample(request), orderSample(), sharedBody());
    for (const HttpHeader &it : out.Headers)
      EXPECT_NE(it.Value, "forged") << name;
  }
}

TEST(WriteAttempt, ReplacesHeadersThatTheCallerForged) {
  net::HttpRequest request = sample();
  request.Headers.push_back({"X-Daisytack-Tenant", "other"});
  request.Headers.push_back({"X-Daisytack-Expected-Instance", "i-9"});
  net::HttpRequest out =
      writeAttempt(readSample(request), orderSample(), sharedBody());
  EXPECT_EQ(valueOf(out.Headers, "X-Daisytack-Tenant"), "org");
  EXPECT_EQ(valueOf(out.Headers, "X-Daisytack-Expected-Instance"), "i-1");
  EXPECT_EQ(valueOf(out.Headers, "X-Daisytack-Deadline-Milliseconds"), "1234");
}

TEST(WriteAttempt, ForwardsOtherHeadersUnchanged) {
  net::HttpRequest out =
      writeAttempt(readSample(sample()), orderSample(), sharedBody());
  EXPECT_EQ(out.Target, "/a/b?c=1");
  ASSERT_TRUE(out.SharedBody);
  EXPECT_EQ(*out.SharedBody, "body");
  EXPECT_EQ(out.Body, "");
  for (const char *name :
       {"Host", "X-Daisytack-Request-Id", "X-Daisytack-Model",
        "X-Daisytack-Token-Counts", "X-Daisytack-Prompt-Prefix", "X-Other"})
    EXPECT_EQ(valueOf(out.Headers, name), sample().header(name)) << name;
}

TEST(WriteAttempt, DropsHopByHopHeaders) {
  net::HttpRequest request = sample();
  request.Headers.push_back({"Connection", "keep-alive, X-Hop"});
  request.Headers.push_back({"X-Hop", "1"});
  request.Headers.push_back({"Transfer-Encoding", "chunked"});
  request.Headers.push_back({"Expect", "100-continue"});
  net::HttpRequest out =
      writeAttempt(readSample(request), orderSample(), sharedBody());
  for (const char *name :
       {"Connection", "X-Hop", "Transfer-Encoding", "Expect"})
    EXPECT_EQ(valueOf(out.Headers, name), "") << name;
}

TEST(WriteAttempt, ListsSourcesAndDestinationsByPart) {
  direct::AttemptOrder order = orderSample();
  order.Sources = {Endpoint{"10.0.0.1", 80}, std::nullopt, std::nullopt};
  order.Destinations = {std::nullopt, Endpoint{"10.0.0.2", 81}, std::nullopt};
  order.CacheScope = "shared@2";
  order.WeightVersion = 2;
  order.Priority = 3;
  order.FetchUntilMs = 99;
  net::HttpRequest out = writeAttempt(readSample(sample()), order, nullptr);
  EXPECT_EQ(valueOf(out.Headers, "X-Daisytack-Kv-Source"), "10.0.0.1:80,-,-");
  EXPECT_EQ(valueOf(out.Headers, "X-Daisytack-Kv-Destination"),
            "-,10.0.0.2:81,-");
  EXPECT_EQ(valueOf(out.Headers, "X-Daisytack-Cache-Salt"), "shared@2");
  EXPECT_EQ(valueOf(out.Headers, "X-Daisytack-Expected-Version"), "2");
  EXPECT_EQ(valueOf(out.Headers, "X-Daisytack-Request-Priority"), "3");
  EXPECT_EQ(valueOf(out.Headers, "X-Daisytack-Kv-Until"), "99");
}

TEST(WriteAttempt, OmitsTheSourceHeaderWithoutSources) {
  direct::AttemptOrder order = orderSample();
  order.Sources = {std::nullopt, std::nullopt};
  net::HttpRequest out = writeAttempt(readSample(sample()), order, nullptr);
  EXPECT_EQ(valueOf(out.Headers, "X-Daisytack-Kv-Source"), "");
}

TEST(ReadServerHead, ReadsWhetherTheRequestRan) {
  EXPECT_FALSE(readServerHead(503, {}).WasNotRun);
  EXPECT_TRUE(
      readServerHead(503, {{"X-Daisytack-Not-Executed", "1"}}).WasNotRun);
  EXPECT_TRUE(readServerHead(421, {}).WasNotRun);
  EXPECT_FALSE(readServerHead(500, {}).WasNotRun);
  EXPECT_EQ(readServerHead(503, {{"Retry-After", "1.5"}}).RetryAfter, 1500ms);
}

TEST(ReadServerHead, CapsRetryAfterAndIgnoresInvalidValues) {
  auto after = [](const std::string &text) {
    return readServerHead(503, {{"Retry-After", text}}).RetryAfter;
  };
  EXPECT_EQ(after("0"), 0s);
  EXPECT_EQ(after("1e300"), 24h);
  EXPECT_EQ(after("inf"), 24h);
  EXPECT_EQ(after("-1"), std::nullopt);
  EXPECT_EQ(after("nan"), std::nullopt);
  EXPECT_EQ(after("Wed, 21 Oct 2015 07:28:00 GMT"), std::nullopt);
}

TEST(ReadServerHead, ReadsTheServerLeavingHeader) {
  EXPECT_TRUE(readServerHead(200, {{"server-leaving", " 1 "}}).IsLeaving);
  EXPECT_FALSE(readServerHead(200, {{"Server-Leaving", "0"}}).IsLeaving);
  EXPECT_FALSE(readServerHead(200, {}).IsLeaving);
}

TEST(ReadServerHead, ReadsTheServerLimitHeader) {
  auto limit = [](const std::string &text) {
    return readServerHead(200, {{"server-limit", text}}).RequestLimit;
  };
  EXPECT_EQ(limit(" 2.3 "), 2.3);
  EXPECT_EQ(limit("0"), 0);
  EXPECT_EQ(limit("1e9"), 1e9);
  EXPECT_FALSE(readServerHead(200, {}).IsLimitUnreadable);
  for (const char *text : {"", "nan", "inf", "-1", "-0", "2.3,2.4", "2 a"}) {
    EXPECT_FALSE(limit(text)) << text;
    EXPECT_TRUE(
        readServerHead(200, {{"Server-Limit", text}}).IsLimitUnreadable);
  }
  direct::ServerHead twice =
      readServerHead(200, {{"Server-Limit", "2"}, {"Server-Limit", "2"}});
  EXPECT_FALSE(twice.RequestLimit);
  EXPECT_TRUE(twice.IsLimitUnreadable);
}

/// Guards against a resumption whose stream the entry can't find, and against
/// the server not getting the name of the stream.
TEST(ReadCallerHead, ReadsTheRequestThatBeganTheResumedStream) {
  net::HttpRequest request;
  request.Headers = {{"last-event-id", "7"}, {"resumes", " abc "}};
  Error reason;
  auto head = readCallerHead(request, reason);
  ASSERT_TRUE(head);
  EXPECT_EQ(head->LastEventId, "7");
  EXPECT_EQ(head->ResumedRequestId, "abc");
  EXPECT_EQ(valueOf(head->ForwardedHeaders, "resumes"), " abc ");
  request.Headers = {{"Resumes", ""}};
  EXPECT_FALSE(readCallerHead(request, reason)->ResumedRequestId);
}

TEST(ReadServerHead, PassesTheSignatureAndDropsHopByHopHeaders) {
  direct::ServerHead head = readServerHead(
      200, {{"X-Daisytack-Server-Signature", "s"},
            {"Connection", "close"},
            {"Keep-Alive", "timeout=5"},
            {"Content-Length", "3"},
            {"Content-Type", "text/event-stream; charset=utf-8"}});
  EXPECT_TRUE(head.IsEventStream);
  EXPECT_EQ(head.ForwardedHeaders.size(), 2);
  EXPECT_EQ(valueOf(head.ForwardedHeaders, "X-Daisytack-Server-Signature"),
            "s");
}

/// Guards against an answer of another kind on a route of streams being judged
/// by the events that it doesn't have.
TEST(ReadServerHead, ReadsHowTheAnswerIsFramedAndWhetherItIsAStream) {
  direct::ServerHead bare = readServerHead(200, {});
  EXPECT_TRUE(bare.IsCloseDelimited);
  EXPECT_TRUE(bare.IsEventStream);
  direct::ServerHead json = readServerHead(
      200, {{"content-type", "application/json"}, {"content-length", "2"}});
  EXPECT_FALSE(json.IsCloseDelimited);
  EXPECT_FALSE(json.IsEventStream);
  EXPECT_FALSE(
      readServerHead(200, {{"Transfer-Encoding", "chunked"}}).IsCloseDelimited);
}

TEST(ReadAnsweredId, ReadsTheIdThatAnAnswerNames) {
  EXPECT_EQ(readAnsweredId({{"x-daisytack-request-id", "abc"}}), "abc");
  EXPECT_EQ(readAnsweredId({{"X-Daisytack-Request-Id", ""}}), "");
  EXPECT_EQ(readAnsweredId({{"Content-Length", "0"}}), std::nullopt);
}

TEST(IsAnswerTo, DetectsAnAnswerToAnotherRequest) {
  direct::CallerHead head;
  head.RequestId = "abc";
  for (bool isFirst : {false, true}) {
    EXPECT_TRUE(direct::isAnswerTo(head, "abc", isFirst));
    EXPECT_FALSE(direct::isAnswerTo(head, "abd", isFirst));
    EXPECT_FALSE(direct::isAnswerTo(head, "", isFirst));
  }
}

/// Guards against an answer without an id that is sent once more and taken for
/// the next request's.
TEST(IsAnswerTo, RequiresAnIdOnAConnectionThatHasCarriedAnotherRequest) {
  direct::CallerHead head;
  head.RequestId = "abc";
  EXPECT_TRUE(direct::isAnswerTo(head, std::nullopt, true));
  EXPECT_FALSE(direct::isAnswerTo(head, std::nullopt, false));
  head.RequestId.clear(); // No server runs a request without an id.
  EXPECT_TRUE(direct::isAnswerTo(head, std::nullopt, false));
  EXPECT_FALSE(direct::isAnswerTo(head, "abc", false));
}

TEST(WriteErrorAnswer, CarriesRetryAfter) {
  net::HttpResponse out =
      writeErrorAnswer(503, "abc", {ErrorKind::Overloaded, "full", 300ms});
  EXPECT_EQ(valueOf(out.Headers, "Retry-After"), "0.300");
  EXPECT_EQ(valueOf(out.Headers, "X-Daisytack-Request-Id"), "abc");
  EXPECT_NE(out.Body.find("\"kind\":\"overloaded\""), std::string::npos);
  EXPECT_EQ(
      valueOf(writeErrorAnswer(502, "", {ErrorKind::ServerLost, ""}).Headers,
              "Retry-After"),
      "");
}

/// Guards against a refusal that tells its caller to return at once because the
/// time is below half a millisecond.
TEST(WriteErrorAnswer, RoundsRetryAfterUp) {
  for (auto [after, text] :
       {std::pair(Duration(1), "0.001"), std::pair(Duration(1000), "0.001"),
        std::pair(Duration(1001), "0.002")})
    EXPECT_EQ(
        valueOf(
            writeErrorAnswer(503, "", {ErrorKind::NoServer, "", after}).Headers,
            "Retry-After"),
        text);
}

} // namespace
} // namespace daisytack::platform
