/// Tests of a complete entry against servers whose answers are broken.
#include "gateway/gateway_fixture.h"
#include "gateway/stdout_capture.h"
#include "net_http/scripted_server.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <string>
#include <vector>

namespace daisytack::gateway {
namespace {

using net::ConnectionServer;
using net::tcp;

constexpr size_t LongBodyBytes = 4U << 20;

/// What a server sends that answers as it should, but for what is passed.
std::string answerWith(const std::string &status,
                       const std::string &fields = "Content-Length: 5\r\n",
                       const std::string &body = "whole") {
  return "HTTP/1.1 " + status + " X\r\nX-Daisytack-Request-Id: r1\r\n" +
         "X-Daisytack-Server-Signature: sig\r\n" + fields + "\r\n" + body;
}

/// Path prefixes of the routes, and their kinds.
const std::map<std::string, std::string> Routes{
    {"/call/", "unsafe"}, {"/safe/", "safe"}, {"/stream/", "streaming"}};

std::string configWithRoutes() {
  std::string routes;
  for (const auto &[prefix, kind] : Routes)
    routes += (routes.empty() ? "" : ",") + std::string(R"({"name":")") + kind +
              R"(","host":"a.example","path-prefix":")" + prefix +
              R"(","kind":")" + kind +
              R"(","timeout-ms":3000,"service":"plain","attempts":2})";
  return R"({"version":1,"routes":[)" + routes +
         R"(],"services":[{"name":"plain"}],"limits":{)"
         R"("max-header-bytes":16384,"max-body-bytes":8000000},"tenants":[]})";
}

class BrokenAnswerTest : public GatewayTest {
protected:
  /// Starts an entry that knows the server alone.
  Entry &startBefore(const Endpoint &server) {
    KvService.put("servers/i-1",
                  R"({"service":"plain","address":")" + toString(server) +
                      R"(","zone":"d1","version":"v1","slots":4,)"
                      R"("state":"ready","cold-remaining-ms":0,)"
                      R"("sequence":1,"born":1,"models":[]})");
    KvService.put("op/config", configWithRoutes());
    Entry &out = start("e1", KvService.address());
    EXPECT_TRUE(waitReady(out));
    return out;
  }

  /// Expects of each answer that a caller of each kind of route gets an error
  /// in its place, which doesn't promise that the request has not run.
  void expectBadGateway(const std::vector<std::string> &answers) {
    std::atomic<int> requests = 0;
    ConnectionServer server([&](tcp::socket &s) {
      std::string call = net::readCall(s);
      if (call.empty())
        return;
      ++requests;
      // The last part of the path is the number of the answer.
      size_t number = std::stoul(call.substr(call.find('/', 6) + 1));
      net::ErrorCode ignored;
      net::asio::write(s, net::asio::buffer(answers.at(number)), ignored);
      s.shutdown(tcp::socket::shutdown_send, ignored);
    });
    Entry &entry = startBefore(server.endpoint());
    for (size_t i = 0; i < answers.size(); ++i)
      for (const auto &[prefix, kind] : Routes) {
        requests = 0;
        Fetched got =
            fetch(entry.Options.Callers, request(prefix + std::to_string(i)));
        EXPECT_EQ(got.Response.Status, 502U)
            << kind << " " << answers[i] << got.Reason.Detail;
        EXPECT_EQ(got.Response.Body.find("whole"), std::string::npos) << kind;
        EXPECT_EQ(requests, 1) << kind << ": there is one server";
      }
  }
};

/// Guards against an answer whose status is none reaching a caller.
TEST_F(BrokenAnswerTest, StatusThatIsNoneIsNotPassedOn) {
  test::StdoutCapture lines;
  std::vector<std::string> answers;
  for (const std::string status : {"000", "001", "099", "600", "999"})
    answers.push_back(answerWith(status));
  expectBadGateway(answers);
  EXPECT_TRUE(eventually([&] {
    return !lines.findLine({"answer_malformed", "i-1", "undefined status"})
                .empty();
  }));
  Threads.stop(); // Handlers use what is destroyed here.
}

/// Guards against the part of an answer that came before a reset reaching a
/// caller with a length of its own.
TEST_F(BrokenAnswerTest, PartBeforeAResetIsNotPassedOnAsWhole) {
  const std::vector<std::string> statuses{"200", "201", "404", "413", "500"};
  ConnectionServer server([&](tcp::socket &s) {
    std::string call;
    net::ErrorCode ignored;
    net::asio::read_until(s, net::asio::dynamic_buffer(call), "\r\n\r\n",
                          ignored);
    if (call.empty())
      return;
    size_t number = std::stoul(call.substr(call.find('/', 6) + 1));
    std::string answer = answerWith(statuses.at(number), "");
    net::asio::write(s, net::asio::buffer(answer), ignored);
    s.set_option(net::asio::socket_base::linger(true, 0), ignored);
    s.close(ignored);
  });
  Entry &entry = startBefore(server.endpoint());
  for (size_t i = 0; i < statuses.size(); ++i)
    for (const auto &[prefix, kind] : Routes) {
      HttpRequest upload = request(prefix + std::to_string(i));
      upload.Body = std::string(LongBodyBytes, 'x');
      Fetched got = fetch(entry.Options.Callers, upload);
      EXPECT_EQ(got.Response.Status, 502U)
          << kind << " " << statuses[i] << got.Reason.Detail;
    }
}

/// Guards against a line whose name is none reaching a caller, and against a
/// field that frames the body being lost in the value of the one before it.
TEST_F(BrokenAnswerTest, LineThatIsNoFieldIsNotPassedOn) {
  const std::string length = "Content-Length: 5\r\n";
  std::vector<std::string> answers{
      answerWith("200", "A: b\r\n Transfer-Encoding: chunked\r\n",
                 "5\r\nwhole\r\n0\r\n\r\n"),
      answerWith("200", "A: b\r\n Content-Length: 5\r\n"),
      answerWith("200", "A: b\r\n\tc\r\n" + length)};
  for (const std::string name : {"A b", "A ", "A\t", "A\x01", "A\x7f", "\x01"})
    answers.push_back(answerWith("200", length + name + ": c\r\n"));
  expectBadGateway(answers);
}

} // namespace
} // namespace daisytack::gateway
