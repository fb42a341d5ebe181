/// Guards against entries that ignore what a backend server says about itself
/// in its answers.
///
/// A leaving server still got new requests 2.3 to 4.3 s after its answers had
/// said that it was leaving: the key-value service was unreachable for twelve
/// seconds, so the server's record could not say so, and entries did not read
/// the answers. In these tests nothing but answers says it.
#include "gateway/gateway_fixture.h"

namespace daisytack::gateway {
namespace {

/// Requests that a server may still get because they were sent before its
/// answer was read.
constexpr size_t ExtraSends = 2;

class ServerSignalsTest : public GatewayTest {
protected:
  ServerSignalsTest() { KvService.put("op/config", configText("\"k1\"")); }

  Entry &startReady(const std::string &name) {
    Entry &out = start(name, KvService.address());
    EXPECT_TRUE(waitReady(out));
    return out;
  }
  test::FakeServer &startLeavingServer() {
    return startBackend([](const HttpRequest &what, const ExchangePtr &to) {
      HttpResponse out = signedAnswer(what);
      out.Headers.push_back({"Server-Leaving", "1"});
      to->respond(std::move(out));
    });
  }
  /// Starts a server that refuses every request and asks for none for five
  /// seconds.
  test::FakeServer &startRejectingServer() {
    return startBackend([](const HttpRequest &what, const ExchangePtr &to) {
      HttpResponse out = signedAnswer(what);
      out.Status = 503;
      out.Headers.push_back({"X-Daisytack-Not-Executed", "1"});
      out.Headers.push_back({"Retry-After", "5"});
      to->respond(std::move(out));
    });
  }
  Fetched send(const Entry &entry) {
    return fetch(entry.Options.Callers,
                 request("/safe/x", "r" + std::to_string(++Requests)));
  }
  static std::string retryAfter(const HttpResponse &answer) {
    for (const auto &header : answer.Headers)
      if (header.Name == "Retry-After")
        return header.Value;
    return {};
  }

  size_t Requests = 0;
};

TEST_F(ServerSignalsTest, SendsNoNewRequestsToALeavingServer) {
  test::FakeServer &leavingServer = startLeavingServer();
  test::FakeServer &stayingServer = startBackend(answer);
  registerServer("i-1", leavingServer);
  registerServer("i-2", stayingServer);
  Entry &entry = startReady("e1");
  ASSERT_TRUE(eventually([&] {
    send(entry);
    return !leavingServer.requests().empty();
  }));
  size_t before = leavingServer.requests().size();
  for (int i = 0; i < 30; ++i)
    EXPECT_EQ(send(entry).Response.Status, 200);
  EXPECT_EQ(leavingServer.requests().size(), before);
  Threads.stop(); // Handlers use what is destroyed here.
}

/// An entry reports to the others that a server is leaving.
TEST_F(ServerSignalsTest, SharesLeavingServersWithOtherEntries) {
  test::FakeServer &leavingServer = startLeavingServer();
  registerServer("i-1", leavingServer);
  Entry &one = startReady("e1");
  Entry &two = startReady("e2");
  EXPECT_EQ(send(one).Response.Status, 200);
  test::FakeServer &stayingServer = startBackend(answer);
  registerServer("i-2", stayingServer);
  std::this_thread::sleep_for(1s);
  for (int i = 0; i < 30; ++i)
    EXPECT_EQ(send(two).Response.Status, 200);
  EXPECT_EQ(leavingServer.requests().size(), 1);
  Threads.stop(); // Handlers use what is destroyed here.
}

/// This also holds if no other server is left: the caller gets an error with a
/// Retry-After at once.
TEST_F(ServerSignalsTest, AvoidsAServerUntilItsRetryAfterHasPassed) {
  test::FakeServer &server = startRejectingServer();
  registerServer("i-1", server);
  Entry &entry = startReady("e1");
  ASSERT_TRUE(eventually([&] {
    send(entry);
    return !server.requests().empty();
  }));
  std::this_thread::sleep_for(500ms);
  size_t before = server.requests().size();
  for (int i = 0; i < 20; ++i) {
    HttpResponse got = send(entry).Response;
    EXPECT_EQ(got.Status, 503);
    double after = std::atof(retryAfter(got).c_str());
    EXPECT_GT(after, 1);
    EXPECT_LE(after, 5);
  }
  EXPECT_LE(server.requests().size() - before, ExtraSends);
  Threads.stop(); // Handlers use what is destroyed here.
}

} // namespace
} // namespace daisytack::gateway
