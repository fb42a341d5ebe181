#include "gateway/gateway_fixture.h"
#include "gateway/stdout_capture.h"
#include "net_http/scripted_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <string>
#include <vector>

namespace daisytack::gateway {
namespace {

using net::ConnectionServer;
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

/// A rejection that names the request.
std::string rejectionOf(const std::string &id, const std::string &status) {
  return "HTTP/1.1 " + status + " X\r\nX-Daisytack-Not-Executed: 1\r\n" +
         "X-Daisytack-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
}

/// Whether the peer sends another request, which is read, before it closes the
/// connection.
bool readsAnother(tcp::socket &socket) {
  std::array<char, 1> first{};
  net::ErrorCode ec;
  socket.read_some(net::asio::buffer(first), ec);
  if (!ec)
    readWhole(socket);
  return !ec;
}

class StrayAnswerTest : public GatewayTest {
protected:
  /// Starts an entry that knows the server under each of the ids.
  Entry &startBefore(const Endpoint &server,
                     const std::vector<std::string> &ids = {"i-1"}) {
    for (const std::string &id : ids)
      KvService.put("servers/" + id,
                    R"({"service":"plain","address":")" + toString(server) +
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
    Entry &entry = startBefore(server.endpoint());
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
  Entry &entry = startBefore(server.endpoint());
  EXPECT_EQ(statusOf(entry, request("/call/x", "first")), 503);
}

/// Guards against requests that run twice: a server starts again at its address
/// under another id, and rejects the attempt for the one before. It sends that
/// rejection once more while it runs the next attempt, for its own id.
TEST_F(StrayAnswerTest, OfAnEarlierAttemptIsNotTakenForTheNextAttempts) {
  for (const std::string status : {"400", "421", "429", "503"}) {
    std::atomic<int> requests = 0;
    ConnectionServer server([&](tcp::socket &s) {
      std::string strays;
      while (readsAnother(s)) {
        if (++requests == 1) {
          strays = rejectionOf("first", status);
          write(s, strays);
        } else {
          write(s, strays + answerTo("first"));
        }
      }
    });
    Entry &entry = startBefore(server.endpoint(), {"i-1", "i-2", "i-3"});
    Fetched got = fetch(entry.Options.Callers, request("/call/x", "first"));
    EXPECT_EQ(got.Response.Status, 200) << status;
    EXPECT_EQ(requests, 2) << status << ": rejected once, then run once";
  }
}

/// Guards against orders that count as carried out although their engine has
/// rejected them: the engine sends its answer to an earlier call once more
/// where the one to the order is due.
TEST_F(StrayAnswerTest, OfAnEarlierCallIsNotTakenForAnOrders) {
  const std::string body =
      R"({"sequence":0,"busy":false,"models":[{"name":"m","version":1}]})";
  const std::string report =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  ConnectionServer engine([&](tcp::socket &s) {
    std::string strays;
    for (std::string call; !(call = net::readCall(s)).empty(); strays = report)
      write(s, call.starts_with("POST /order")
                   ? strays + "HTTP/1.1 409 X\r\nContent-Length: 0\r\n\r\n"
                   : report);
  });
  test::StdoutCapture lines;
  KvService.put("servers/i-1", R"({"service":"engines","address":")" +
                                   toString(engine.endpoint()) +
                                   R"(","zone":"d1","version":"v1","slots":4,)"
                                   R"("state":"ready","cold-remaining-ms":0,)"
                                   R"("sequence":1,"born":1,)"
                                   R"("models":[{"name":"m","version":1}]})");
  KvService.put("op/config", configText("\"k1\""));
  KvService.put("op/version/m", R"({"model":"m","version":2})");
  ASSERT_TRUE(waitReady(start("e1", KvService.address())));
  EXPECT_TRUE(
      eventually([&] { return !lines.findLine({"order_answered"}).empty(); }));
  EXPECT_EQ(lines.findLine({"order_answered", "\"status\":200"}), "");
  EXPECT_NE(lines.findLine({"order_answered", "\"status\":409"}), "");
  Threads.stop(); // Handlers use what is destroyed here.
}

} // namespace
} // namespace daisytack::gateway
