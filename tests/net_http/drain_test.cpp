/// Requests that the server receives completely, or begins to process, only
/// after it has stopped accepting and LateRequestGrace has passed: one case for
/// each state that the connection can be in when the server stops. None of them
/// may reach the handler.
#include "net_http/http_fixture.h"

#include <gtest/gtest.h>

#include <atomic>
#include <mutex>
#include <vector>

namespace daisytack::net {
namespace {

constexpr const char *LateRequestBytes =
    "GET /late HTTP/1.1\r\nHost: a\r\n\r\n";

/// Begins a response to /stream, holds back the one to /hold, counts requests
/// to /late and responds to /now at once. respondToAll() ends the open
/// exchanges.
class HoldingHandler {
public:
  HttpHandler handler() {
    return [this](const HttpRequest &request,
                  const std::shared_ptr<HttpExchange> &exchange) {
      if (request.Path == "/late") {
        ++LateRequests;
        return exchange->respond({200, {}, "served late"});
      }
      if (request.Path == "/now")
        return exchange->respond({200, {}, "now"});
      if (request.Path == "/stream") {
        exchange->beginStream(200, {});
        exchange->write("first");
      }
      std::lock_guard guard(Lock);
      Open.push_back(exchange);
    };
  }
  void respondToAll() {
    std::lock_guard guard(Lock);
    for (const auto &exchange : Open) {
      exchange->respond({200, {}, "whole"}); // Ignored if a stream was begun.
      exchange->endStream();
    }
    Open.clear();
  }
  std::atomic<int> LateRequests{0};

private:
  std::mutex Lock;
  std::vector<std::shared_ptr<HttpExchange>> Open;
};

/// What the caller sends before the server stops, and what it sends after
/// LateRequestGrace.
struct LateRequestCase {
  const char *Name;
  const char *Before;
  const char *AwaitedText; ///< The caller reads up to this text before the
                           ///< server stops; empty to read nothing.
  const char *After;       ///< Sent after LateRequestGrace.
  bool MustBeRefused;      ///< Must get a refusal; otherwise the connection
                           ///< may be closed instead.
};

class LateRequest : public testing::TestWithParam<LateRequestCase> {};

TEST_P(LateRequest, IsNotHandled) {
  HoldingHandler holding;
  HttpFixture fixture(holding.handler());
  const LateRequestCase &testCase = GetParam();
  RawClient caller(fixture.Server.port());
  caller.send(testCase.Before);
  if (*testCase.AwaitedText != '\0')
    caller.readUntil(testCase.AwaitedText);
  RawClient idle(fixture.Server.port());
  idle.send("GET /now HTTP/1.1\r\nHost: a\r\n\r\n");
  idle.readUntil("now");
  fixture.Server.closeConnectionsAfterResponses();
  fixture.Server.stopAccepting();
  idle.readAll(); // Returns after LateRequestGrace.
  caller.send(testCase.After);
  holding.respondToAll();
  std::string got = caller.readAll();
  EXPECT_EQ(holding.LateRequests, 0) << got;
  bool isRefused = got.find("HTTP/1.1 503") != std::string::npos &&
                   got.find("\"kind\":\"draining\"") != std::string::npos;
  EXPECT_TRUE(isRefused || !testCase.MustBeRefused) << got;
}

INSTANTIATE_TEST_SUITE_P(
    Connections, LateRequest,
    testing::Values(
        LateRequestCase{"AfterAStreamWithKeepAlive",
                        "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n", "first",
                        LateRequestBytes, true},
        LateRequestCase{"PipelinedAfterAStreamBeforeTheStop",
                        "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n"
                        "GET /late HTTP/1.1\r\nHost: a\r\n\r\n",
                        "first", "", true},
        LateRequestCase{"WithHalfOfItsHeaderBeforeTheStop",
                        "GET /late HTTP/1.1\r\nHo", "", "st: a\r\n\r\n", true},
        LateRequestCase{
            "WithItsBodyAfterTheStop",
            "POST /late HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n", "",
            "ab", true},
        LateRequestCase{"AfterAResponseThatHadNotBegun",
                        "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n", "",
                        LateRequestBytes, false},
        LateRequestCase{"OnAConnectionThatWasIdle", "", "", LateRequestBytes,
                        false}),
    [](const auto &row) { return row.param.Name; });

/// The caller sees a connection as established once it is in the listen
/// backlog. Closing the listener would reset connections that are not yet
/// accepted.
TEST(HttpServer, ServesConnectionsAcceptedJustBeforeItStopped) {
  constexpr int Rounds = 20;
  for (int i = 0; i < Rounds; ++i) {
    HttpServerInit init;
    init.LateRequestGrace = WaitLimit;
    HttpFixture fixture(echo, init);
    RawClient first(fixture.Server.port());
    RawClient second(fixture.Server.port());
    fixture.Server.stopAccepting();
    for (RawClient *it : {&first, &second}) {
      it->send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
      EXPECT_TRUE(it->readAll().starts_with("HTTP/1.1 200")) << i;
    }
  }
}

} // namespace
} // namespace daisytack::net
