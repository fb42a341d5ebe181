#include "edge/edge_rig.h"
#include "edge/engine.h"
#include "edge/engine_codec.h"
#include "edge/service.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <future>

namespace daisytack::edge::test {
namespace {

using namespace serve;

const std::string OwnId = toString(RunToken{{1, 2}, 1, 5});

std::string textEvent(const std::string &id, const std::string &text) {
  return "data: {\"id\":\"" + id + "\",\"choices\":[{\"text\":\"" + text +
         "\"}]}\n\n";
}

std::string usageEvent(const std::string &id) {
  return "data: {\"id\":\"" + id +
         "\",\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}],"
         "\"usage\":{\"prompt_tokens\":9,\"cached_tokens\":4,"
         "\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";
}

/// Runs one request against a server that responds with the status and body.
std::vector<AgentInput> runAgainst(unsigned status, const std::string &body,
                                   size_t inputs) {
  EdgeRig rig([&](const net::HttpRequest &, const auto &exchange) {
    exchange->beginStream(status, {});
    exchange->write(body);
    exchange->endStream();
  });
  Engine engine = makeHttpEngine(rig.Client, {rig.address(), {}}, rig.sink());
  engine.Start(startOf("{\"prompt\":\"x\"}"));
  return rig.wait(inputs);
}

TEST(EngineCodec, RequestCarriesTokenPriorityPiecesAndResumeText) {
  StartRun start =
      startOf(R"({"prompt":"x","max_tokens":3,"resume_text":"forged"})");
  Error reason;
  auto plain = boost::json::parse(*engineRequestBody(start, reason));
  EXPECT_FALSE(plain.as_object().contains("resume_text"));
  start.ResumeText = "so far";
  auto body = boost::json::parse(*engineRequestBody(start, reason));
  EXPECT_EQ(body.at("request_id").as_string(), OwnId);
  EXPECT_EQ(body.at("priority").to_number<int>(), 7);
  EXPECT_EQ(body.at("resume_text").as_string(), "so far");
  EXPECT_TRUE(body.at("stream").as_bool());
  EXPECT_FALSE(engineRequestBody(startOf("[1]"), reason));
  EXPECT_EQ(reason.Kind, ErrorKind::BadRequest);
}

TEST(Engine, StreamsTextAndUsage) {
  auto inputs = runAgainst(
      200, textEvent(OwnId, "a") + textEvent(OwnId, "b") + usageEvent(OwnId),
      3);
  ASSERT_EQ(inputs.size(), 3U);
  EXPECT_EQ(std::get<RunText>(inputs[1]).Text, "b");
  EXPECT_EQ(std::get<RunText>(inputs[1]).Answer, (RunToken{{1, 2}, 1, 5}));
  const auto &done = std::get<RunDone>(inputs[2]);
  EXPECT_EQ(done.PromptTokens, 9U);
  EXPECT_EQ(done.CachedTokens, 4U);
  EXPECT_EQ(done.FinishReason, "stop");
}

TEST(Engine, AnswerOfAnotherRunKeepsItsToken) {
  std::string other = toString(RunToken{{3, 4}, 1, 6});
  auto inputs = runAgainst(200, textEvent(other, "a"), 1);
  EXPECT_EQ(std::get<RunText>(inputs.at(0)).Answer, (RunToken{{3, 4}, 1, 6}));
}

TEST(Engine, FailuresReportWhetherTheRunMayHaveStarted) {
  struct Case {
    const char *Name;
    unsigned Status;
    std::string Body;
    ErrorKind Kind;
    Outcome RunOutcome;
  };
  const Case cases[] = {
      {"broken off", 200, "data: {\"choices\":[]}\n\n", ErrorKind::ServerFailed,
       Outcome::MayHaveRun},
      {"not JSON", 200, "data: {\n\n", ErrorKind::ServerFailed,
       Outcome::MayHaveRun},
      {"error event", 200, "data: {\"error\":{\"message\":\"out\"}}\n\n",
       ErrorKind::ServerFailed, Outcome::MayHaveRun},
      {"bad request", 400, "no", ErrorKind::BadRequest, Outcome::NotRun},
      {"accepted", 202, "no", ErrorKind::ServerFailed, Outcome::MayHaveRun},
      {"no content", 204, "", ErrorKind::ServerFailed, Outcome::MayHaveRun},
      {"moved", 302, "no", ErrorKind::ServerFailed, Outcome::MayHaveRun},
      {"too many", 429, "no", ErrorKind::Overloaded, Outcome::NotRun},
      {"overloaded", 503, "no", ErrorKind::Overloaded, Outcome::NotRun},
      {"failed", 500, "no", ErrorKind::ServerFailed, Outcome::MayHaveRun},
      {"timed out", 504, "no", ErrorKind::ServerFailed, Outcome::MayHaveRun},
  };
  for (const Case &it : cases) {
    auto inputs = runAgainst(it.Status, it.Body, 1);
    ASSERT_EQ(inputs.size(), 1U) << it.Name;
    const auto &failed = std::get<RunFailed>(inputs[0]);
    EXPECT_EQ(failed.Why.Kind, it.Kind) << it.Name;
    EXPECT_EQ(failed.RunOutcome, it.RunOutcome) << it.Name;
  }
}

TEST(Engine, ConnectionRefusedIsNotRun) {
  EdgeRig rig([](const auto &, const auto &) {});
  Engine engine =
      makeHttpEngine(rig.Client, {{"127.0.0.1", 1}, {}}, rig.sink());
  engine.Start(startOf("{}"));
  auto inputs = rig.wait(1);
  EXPECT_EQ(std::get<RunFailed>(inputs.at(0)).RunOutcome, Outcome::NotRun);
  EXPECT_EQ(std::get<RunFailed>(inputs.at(0)).Why.Kind, ErrorKind::ServerLost);
}

TEST(Engine, ConnectionBrokenAfterSendingMayHaveRun) {
  EdgeRig rig([](const auto &, const auto &exchange) { exchange->abort(); });
  Engine engine = makeHttpEngine(rig.Client, {rig.address(), {}}, rig.sink());
  engine.Start(startOf("{}"));
  auto inputs = rig.wait(1);
  EXPECT_EQ(std::get<RunFailed>(inputs.at(0)).RunOutcome, Outcome::MayHaveRun);
}

TEST(Engine, CancelEndsTheRunAndNotifiesTheEngine) {
  std::promise<std::string> cancelled;
  EdgeRig rig([&](const net::HttpRequest &request, const auto &exchange) {
    if (request.Path == "/control/cancel") {
      cancelled.set_value(request.Body);
      exchange->respond({});
      return;
    }
    rig.keep(exchange);
    exchange->beginStream(200, {});
    exchange->write(textEvent(OwnId, "a"));
  });
  Engine engine = makeHttpEngine(rig.Client, {rig.address(), {}}, rig.sink());
  engine.Start(startOf("{}"));
  rig.wait(1);
  engine.Cancel({{1, 2}, 1, 5});
  auto inputs = rig.wait(2);
  EXPECT_EQ(std::get<RunFailed>(inputs.at(1)).Why.Kind, ErrorKind::Cancelled);
  EXPECT_EQ(cancelled.get_future().get(), "{\"request_id\":\"" + OwnId + "\"}");
}

TEST(Engine, CacheEventsAndStatusAreRead) {
  std::string key(64, 'a');
  EdgeRig rig([&](const net::HttpRequest &request, const auto &exchange) {
    net::HttpResponse out;
    out.Body = request.Path == "/control/status"
                   ? R"({"model":"m","version":"v3","loading":true,"fence":7})"
                   : R"({"events":[{"sequence":4,"kind":"stored","piece":")" +
                         key + R"("}],"next":5})";
    exchange->respond(out);
  });
  Engine engine = makeHttpEngine(rig.Client, {rig.address(), {}}, rig.sink());
  engine.PollStatus();
  auto inputs = rig.wait(1);
  EXPECT_EQ(std::get<EngineStatus>(inputs.at(0)).Version, "v3");
  EXPECT_EQ(std::get<EngineStatus>(inputs.at(0)).Fence, 7U);
  engine.PollCacheEvents({4});
  inputs = rig.wait(2);
  const auto &events = std::get<CacheEvents>(inputs.at(1));
  EXPECT_EQ(events.Next, 5U);
  ASSERT_EQ(events.Events.size(), 1U);
  EXPECT_EQ(events.Events[0].Sequence, 4U);
}

TEST(Service, ForwardsStatusHeadersAndBody) {
  EdgeRig rig([](const net::HttpRequest &request, const auto &exchange) {
    net::HttpResponse out;
    out.Status = 418;
    out.Headers.push_back({"X-Kind", "teapot"});
    out.Body = request.Method + " " + request.Path + "?" + request.Query + " " +
               request.Body;
    exchange->respond(out);
  });
  Service service = makeHttpService(rig.Client, rig.address(), rig.sink());
  StartRun start = startOf("body");
  auto offer = std::make_shared<wire::Offer>(*start.Offer);
  offer->Call = {"PUT", "/pages/1?draft=2", {{"Content-Type", "text/plain"}}};
  start.Offer = offer;
  service.Start(start);
  auto inputs = rig.wait(2);
  EXPECT_EQ(std::get<RunText>(inputs.at(0)).Text, "PUT /pages/1?draft=2 body");
  EXPECT_EQ(std::get<RunDone>(inputs.at(1)).ServiceStatus, 418U);
}

} // namespace
} // namespace daisytack::edge::test
