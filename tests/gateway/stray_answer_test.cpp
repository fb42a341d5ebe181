#include "gateway/gateway_fixture.h"
#include "net_http/scripted_server.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <string>

namespace daisytack::gateway {
namespace {

using net::ScriptedServer;
using net::tcp;

void write(tcp::socket &socket, const std::string &text) {
  net::asio::write(socket, net::asio::buffer(text));
}

/// Reads a request with the body of the fixture's requests. Unread bytes would
/// make the end of the connection a reset.
void readWhole(tcp::socket &socket) {
  net::readRequest(socket);
  std::array<char, 4> body{};
  net::asio::read(socket, net::asio::buffer(body));
}

/// An answer without the id of a request.
std::string answerWithoutId(const std::string &head) {
  return "HTTP/1.1 " + head + "Content-Length: 0\r\n\r\n";
}

std::string answerTo(const std::string &id) {
  return "HTTP/1.1 200 OK\r\nX-Daisytack-Request-Id: " + id +
         "\r\nX-Daisytack-Server-Signature: sig\r\n"
         "Content-Length: 5\r\n\r\nwhole";
}

class StrayAnswerTest : public GatewayTest {
protected:
  Entry &startBefore(const ScriptedServer &server) {
    KvService.put("servers/i-1",
                  R"({"service":"plain","address":")" +
                      toString(server.endpoint()) +
                      R"(","zone":"d1","version":"v1","slots":4,)"
                      R"("state":"ready","cold-remaining-ms":0,)"
                      R"("sequence":1,"born":1,"models":[]})");
    KvService.put("op/config", configText("\"k1\""));
    Entry &out = start("e1", KvService.address());
    EXPECT_TRUE(waitReady(out));
    return out;
  }
};

/// Guards against requests that are refused with a promise, or sent to a second
/// server, while the first one runs them: the server sends an earlier answer
/// once more where the one to this request is due.
TEST_F(StrayAnswerTest, WithoutAnIdIsNotTakenForTheNextRequests) {
  const std::string notRun = "X\r\nX-Daisytack-Not-Executed: 1\r\n";
  for (const std::string &head :
       {"400 " + notRun, "421 " + notRun, "429 " + notRun, "503 " + notRun,
        std::string("200 OK\r\nX-Daisytack-Server-Signature: other\r\n")}) {
    ScriptedServer server({[&](tcp::socket &s) {
      readWhole(s);
      write(s, answerTo("first"));
      readWhole(s);
      write(s, answerWithoutId(head));
      write(s, answerTo("second"));
    }});
    Entry &entry = startBefore(server);
    ASSERT_EQ(statusOf(entry, request("/call/x", "first")), 200);
    Fetched got = fetch(entry.Options.Callers, request("/call/x", "second"));
    EXPECT_EQ(got.Response.Status, 200) << head;
    EXPECT_EQ(got.Response.Body, "whole") << head;
  }
}

/// A server that is full may reject a new connection without reading its
/// request.
TEST_F(StrayAnswerTest, WithoutAnIdCountsOnANewConnection) {
  ScriptedServer server({[](tcp::socket &s) {
    readWhole(s);
    write(s, answerWithoutId("503 X\r\nX-Daisytack-Not-Executed: 1\r\n"));
  }});
  Entry &entry = startBefore(server);
  EXPECT_EQ(statusOf(entry, request("/call/x", "first")), 503);
}

} // namespace
} // namespace daisytack::gateway
