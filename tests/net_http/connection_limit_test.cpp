/// Guards against silent connections that keep others out once a server has as
/// many connections as it may take.
#include "net_http/http_fixture.h"

#include <gtest/gtest.h>

#include <list>

namespace daisytack::net {
namespace {

constexpr size_t MaxConnections = 8;
const std::string Request = "GET /now HTTP/1.1\r\nHost: a\r\n\r\n";

class ConnectionLimitTest : public testing::Test {
protected:
  ConnectionLimitTest() {
    HttpServerInit init;
    init.Listen = {"127.0.0.1", 0};
    init.MaxConnections = MaxConnections;
    Server.emplace(Threads.Io, init,
                   [this](const HttpRequest &request, const auto &exchange) {
                     if (request.Path == "/hold")
                       Held.push_back(exchange);
                     else
                       exchange->respond({200, {}, "now"});
                   });
    Error reason;
    EXPECT_TRUE(Server->start(reason)) << reason.Detail;
  }
  ~ConnectionLimitTest() override { Threads.stop(); }

  RawClient &connect(const std::string &bytes) {
    RawClient &out = Clients.emplace_back(Server->port());
    out.send(bytes);
    return out;
  }
  std::string askAnew() { return connect(Request).readUntil("now"); }

  IoThreads Threads{1};
  std::list<std::shared_ptr<HttpExchange>> Held;
  std::optional<HttpServer> Server;
  std::list<RawClient> Clients;
};

TEST_F(ConnectionLimitTest, SilentConnectionsKeepNobodyOut) {
  for (size_t i = 0; i < 3 * MaxConnections; ++i)
    connect("");
  EXPECT_NE(askAnew().find("200"), std::string::npos);
}

TEST_F(ConnectionLimitTest, UnfinishedRequestsKeepNobodyOut) {
  for (size_t i = 0; i < 3 * MaxConnections; ++i)
    connect(i % 2 == 0 ? "GET /now HT"
                       : "POST /now HTTP/1.1\r\nHost: a\r\n"
                         "Content-Length: 9\r\n\r\nab");
  EXPECT_NE(askAnew().find("200"), std::string::npos);
}

TEST_F(ConnectionLimitTest, KeepsConnectionsThatHaveSentARequest) {
  RawClient &known = connect(Request);
  known.readUntil("now");
  for (size_t i = 0; i < 3 * MaxConnections; ++i)
    connect("");
  EXPECT_NE(askAnew().find("200"), std::string::npos);
  known.send(Request);
  EXPECT_NE(known.readUntil("now").find("200"), std::string::npos);
}

/// Served requests are not broken off for further connections.
TEST_F(ConnectionLimitTest, ClosesFurtherOnesWhileAllAreServed) {
  std::list<RawClient *> served;
  for (size_t i = 0; i < MaxConnections; ++i)
    served.push_back(&connect("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n"));
  while (Server->unsentResponses() < MaxConnections)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  EXPECT_EQ(askAnew(), "");
  std::promise<void> answered;
  asio::post(Threads.Io, [&] {
    for (const auto &it : Held)
      it->respond({200, {}, "whole"});
    answered.set_value();
  });
  answered.get_future().wait();
  for (RawClient *it : served)
    EXPECT_NE(it->readUntil("whole").find("200"), std::string::npos);
}

} // namespace
} // namespace daisytack::net
