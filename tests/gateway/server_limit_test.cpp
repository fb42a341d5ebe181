/// Guards against entries that send a server more requests than the limit that
/// it named in its answers.
///
/// Engines that asked for 2.3 and 2.1 requests a second from all entries
/// together got 25 and 35 in four seconds from five entries.
#include "gateway/gateway_fixture.h"

namespace daisytack::gateway {
namespace {

constexpr double Limit = 1;
/// A server may get at most the factor times its limit over this many seconds,
/// plus the slack; this is the deployment's bound.
constexpr double BoundSeconds = 4;
constexpr double BoundFactor = 1.5;
constexpr double BoundSlack = 5;

class ServerLimitTest : public GatewayTest {
protected:
  ServerLimitTest() { KvService.put("op/config", configText("\"k1\"")); }

  Entry &startReady(const std::string &name) {
    Entry &out = start(name, KvService.address());
    EXPECT_TRUE(waitReady(out));
    return out;
  }
  test::FakeServer &startLimitedServer() {
    return startBackend([this](const HttpRequest &what, const ExchangePtr &to) {
      HttpResponse out = signedAnswer(what);
      if (SendsLimit)
        out.Headers.push_back({"Server-Limit", std::to_string(Limit)});
      to->respond(std::move(out));
    });
  }
  HttpResponse send(const Entry &entry) {
    return fetch(entry.Options.Callers,
                 request("/safe/x", "r" + std::to_string(++Requests)))
        .Response;
  }
  /// Upper bound on the requests that the server may get in this time.
  static double bound(std::chrono::steady_clock::duration time) {
    double seconds = std::chrono::duration<double>(time).count();
    return BoundFactor * Limit * std::max(BoundSeconds, seconds) + BoundSlack;
  }

  size_t Requests = 0;
  std::atomic<bool> SendsLimit{true};
};

TEST_F(ServerLimitTest, IsKeptByAllEntriesTogether) {
  test::FakeServer &limitedServer = startLimitedServer();
  test::FakeServer &unlimitedServer = startBackend(answer);
  registerServer("i-1", limitedServer);
  registerServer("i-2", unlimitedServer);
  std::vector<Entry *> entries{&startReady("e1"), &startReady("e2"),
                               &startReady("e3")};
  // Every entry first forwards one of the server's answers.
  for (Entry *entry : entries) {
    size_t before = limitedServer.requests().size();
    ASSERT_TRUE(eventually([&] {
      send(*entry);
      return limitedServer.requests().size() > before || before > 0;
    }));
  }
  size_t before = limitedServer.requests().size();
  auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < 90; ++i)
    EXPECT_EQ(send(*entries[static_cast<size_t>(i) % entries.size()]).Status,
              200);
  size_t got = limitedServer.requests().size() - before;
  EXPECT_LE(static_cast<double>(got),
            bound(std::chrono::steady_clock::now() - begin));
  Threads.stop(); // Handlers use what is destroyed here.
}

/// If no other server is left, the caller is refused at once.
TEST_F(ServerLimitTest, RefusesImmediatelyWhenNoServerIsLeft) {
  test::FakeServer &limitedServer = startLimitedServer();
  registerServer("i-1", limitedServer);
  Entry &entry = startReady("e1");
  ASSERT_TRUE(eventually([&] {
    send(entry);
    return !limitedServer.requests().empty();
  }));
  auto begin = std::chrono::steady_clock::now();
  size_t refused = 0;
  for (int i = 0; i < 40; ++i)
    refused += send(entry).Status == 503 ? 1 : 0;
  EXPECT_LE(static_cast<double>(limitedServer.requests().size()),
            1 + bound(std::chrono::steady_clock::now() - begin));
  EXPECT_GT(refused, 0);
  Threads.stop(); // Handlers use what is destroyed here.
}

/// Guards against refusals at the entry that all callers use while the share of
/// another one is idle: messages about loans pass between real entries.
TEST_F(ServerLimitTest, BorrowsTheShareOfAnIdleEntry) {
  test::FakeServer &server =
      startBackend([](const HttpRequest &what, const ExchangePtr &to) {
        HttpResponse out = signedAnswer(what);
        out.Headers.push_back({"Server-Limit", "100"});
        to->respond(std::move(out));
      });
  registerServer("i-1", server);
  for (const char *name : {"e1", "e2"}) {
    GatewayOptions options = Entry::optionsFor(name, KvService.address(), {});
    options.Limits.Window = 500ms;
    Entries.push_back(std::make_unique<Entry>(Threads.Io, options));
    Entries.back()->start();
  }
  for (const auto &it : Entries)
    ASSERT_TRUE(waitReady(*it));
  auto count = [&](const Entry &entry, const std::string &series) {
    HttpRequest scrape;
    scrape.Method = "GET";
    scrape.Path = "/metrics";
    std::string text = fetch(entry.Options.Metrics, scrape).Response.Body;
    size_t at = text.find("\n" + series + " ");
    return at == std::string::npos
               ? -1.0
               : std::stod(text.substr(at + series.size() + 2));
  };
  EXPECT_TRUE(eventually([&] {
    for (int i = 0; i < 20; ++i)
      send(*Entries[0]);
    return count(*Entries[0], "daisytack_quota_loan_requests_used") > 0;
  }));
  EXPECT_GT(count(*Entries[0], "daisytack_quota_loans{step=\"requested\"}"), 0);
  EXPECT_GT(count(*Entries[0], "daisytack_quota_loans{step=\"received\"}"), 0);
  EXPECT_GT(count(*Entries[1], "daisytack_quota_loans{step=\"granted\"}"), 0);
  Threads.stop(); // Handlers use what is destroyed here.
}

} // namespace
} // namespace daisytack::gateway
