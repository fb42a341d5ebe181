/// Tests of a complete entry against servers whose answers end with their
/// connection.
#include "gateway/gateway_fixture.h"

#include "gateway/stdout_capture.h"

namespace daisytack::gateway {
namespace {

/// Answers every request with a head without a length, the text, and the end of
/// the connection.
class CloseDelimitedServer {
public:
  explicit CloseDelimitedServer(std::string text, bool resets = false)
      : Text(std::move(text)), Resets(resets),
        Acceptor(Io, {net::asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this] { serve(); }) {}
  ~CloseDelimitedServer() {
    IsOver = true;
    net::RawClient(address().Port).close(); // Ends the wait for a connection.
    Thread.join();
  }
  Endpoint address() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

private:
  void serve() {
    while (!IsOver) {
      net::tcp::socket socket(Io);
      Acceptor.accept(socket);
      std::string head;
      char c = 0;
      net::ErrorCode ec;
      while (!head.ends_with("\r\n\r\nbody") &&
             socket.read_some(net::asio::buffer(&c, 1), ec) == 1)
        head.push_back(c);
      std::string answer = "HTTP/1.1 200 OK\r\n"
                           "X-Daisytack-Server-Signature: sig\r\n\r\n" +
                           Text;
      net::asio::write(socket, net::asio::buffer(answer), ec);
      if (Resets)
        socket.set_option(net::asio::socket_base::linger(true, 0), ec);
      socket.close(ec);
    }
  }

  const std::string Text;
  const bool Resets;
  std::atomic<bool> IsOver{false};
  net::asio::io_context Io;
  net::tcp::acceptor Acceptor;
  std::thread Thread;
};

class AnswerEndTest : public GatewayTest {
protected:
  /// Sends a request of the kind to an entry with the server as only one.
  Fetched fetchFrom(const CloseDelimitedServer &server,
                    const std::string &kind) {
    KvService.put("servers/i-1",
                  R"({"service":"plain","address":")" +
                      toString(server.address()) + R"(","zone":"d1",)" +
                      R"("version":"v1","slots":4,"state":"ready",)" +
                      R"("cold-remaining-ms":0,"sequence":1,"models":[]})");
    KvService.put("op/config", R"({"version":1,"routes":[{"name":"r",)"
                               R"("host":"a.example","path-prefix":"/r/",)"
                               R"("kind":")" +
                                   kind +
                                   R"(","timeout-ms":3000,"service":"plain"}],)"
                                   R"("services":[{"name":"plain"}],)"
                                   R"("tenants":[]})");
    Entry &entry = start("e1", KvService.address());
    EXPECT_TRUE(waitReady(entry));
    return fetch(entry.Options.Callers, request("/r/x"));
  }
};

TEST_F(AnswerEndTest, StreamEndingBetweenEventsIsComplete) {
  CloseDelimitedServer server("id: 1\n\nid: 2\n\n");
  Fetched got = fetchFrom(server, "streaming");
  EXPECT_FALSE(got.Reason) << got.Reason.Detail;
  EXPECT_EQ(got.Response.Body, "id: 1\n\nid: 2\n\n");
}

/// Guards against a stream that its server broke off inside an event reaching
/// the caller as complete, and counting as a success of the server.
TEST_F(AnswerEndTest, StreamEndingInsideAnEventLooksBrokenOff) {
  test::StdoutCapture lines;
  CloseDelimitedServer server("id: 1\n\nid: 2\n");
  Fetched got = fetchFrom(server, "streaming");
  EXPECT_EQ(got.Reason.Kind, ErrorKind::ServerLost);
  std::string line;
  EXPECT_TRUE(eventually([&] {
    line = lines.findLine({"attempt_ended", "broken_off"});
    return !line.empty();
  }));
  EXPECT_NE(line.find("\"framing\":\"close\""), std::string::npos) << line;
  Threads.stop(); // Handlers use what is destroyed here.
}

/// Guards against an answer of another kind that was reset on the way reaching
/// the caller as complete.
TEST_F(AnswerEndTest, OtherAnswerIsCompleteUnlessItIsReset) {
  CloseDelimitedServer server("all", true);
  EXPECT_EQ(fetchFrom(server, "unsafe").Response.Status, 502U);
}

TEST_F(AnswerEndTest, OtherAnswerIsCompleteAtTheEndOfItsConnection) {
  CloseDelimitedServer server("all");
  EXPECT_EQ(fetchFrom(server, "unsafe").Response.Body, "all");
}

} // namespace
} // namespace daisytack::gateway
