/// An entry on the direct path, whole, against stand-ins on loopback.
#include "gateway/gateway.h"

#include "gateway/stand_in.h"
#include "gateway/stdout_text.h"
#include "platform/kv_store.h"
#include "platform/protocol.h"

#include <gtest/gtest.h>

#include <condition_variable>

namespace daisytack::gateway {
namespace {

using namespace std::chrono_literals;
using net::HttpRequest;
using net::HttpResponse;
using test::ExchangePtr;
using test::signedAnswer;

constexpr auto Patience = 20s;

/// Waits for something that other threads bring about.
template <class Condition> bool eventually(Condition condition) {
  auto end = std::chrono::steady_clock::now() + Patience;
  while (std::chrono::steady_clock::now() < end) {
    if (condition())
      return true;
    std::this_thread::sleep_for(5ms);
  }
  return false;
}

std::string configText(const std::string &keys, int version = 1) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[
    {"name":"call","host":"a.example","path-prefix":"/call/","kind":"unsafe",
     "timeout-ms":3000,"target-latency-ms":300,"service":"plain","attempts":1},
    {"name":"safe","host":"a.example","path-prefix":"/safe/","kind":"safe",
     "timeout-ms":3000,"target-latency-ms":300,"service":"plain","attempts":2}],
    "services":[{"name":"plain","connection-limit":100},
     {"name":"engines","engine":{"slots":4,"models":[{"name":"m"}]}}],
    "limits":{"max-header-bytes":16384,"max-body-bytes":100000,
     "header-timeout-ms":3000,"idle-timeout-ms":15000},
    "tenants":[{"name":"org","api-keys":[)" +
         keys + "]}]}";
}

/// An engine service with a store of kept context, and a route to it.
std::string promptConfigText(const Endpoint &store) {
  return R"({"version":1,"routes":[
    {"name":"ask","host":"a.example","path-prefix":"/ask/","kind":"streaming",
     "timeout-ms":3000,"target-latency-ms":800,"service":"engines",
     "attempts":1,"sticky":true,"priority":1}],
    "services":[{"name":"engines","engine":{"slots":4,"managed":true,
      "kv-capacity-tokens":100000,"kv-token-bytes":1000,
      "models":[{"name":"m"}]}},
     {"name":"store","kv-store-address":")" +
         toString(store) +
         R"(","zone":"d1","kv-capacity-tokens":100000,"managed":true,
      "max-concurrent":4}],
    "tenants":[{"name":"org","api-keys":["k1"]}]})";
}

/// One entry with its addresses; runs until destroyed.
class Entry {
public:
  Entry(net::asio::io_context &io, std::string name, const Endpoint &store,
        std::vector<Endpoint> seeds = {})
      : Options(optionsFor(std::move(name), store, std::move(seeds))),
        Daemon(io, Options, platform::makeProtocol(), platform::makeKvStore) {
    Error reason;
    EXPECT_TRUE(Daemon.start(reason)) << reason.Detail;
  }

  static GatewayOptions optionsFor(std::string name, const Endpoint &store,
                                   std::vector<Endpoint> seeds) {
    GatewayOptions out;
    out.Name = std::move(name);
    out.FailureDomain = "d1";
    out.Callers = test::freeEndpoint();
    out.Readiness = test::freeEndpoint();
    out.ReadinessPath = "/readiness";
    out.Metrics = test::freeEndpoint();
    out.Peers = test::freeEndpoint();
    out.Store = store;
    out.Seeds = std::move(seeds);
    out.DrainNotice = 300ms;
    out.ConfirmedFor = 1500ms;
    out.ServersCheckFence = true;
    out.Log.LinesPerSecond = 100;
    return out;
  }

  GatewayOptions Options;
  Gateway Daemon;
};

class GatewayTest : public testing::Test {
protected:
  GatewayTest() : Store(Threads.Io), Caller(Threads.Io, {}) {}
  /// What the I/O threads use goes only once they have ended.
  ~GatewayTest() override { Threads.stop(); }

  Entry &start(const std::string &name, const Endpoint &store,
               std::vector<Endpoint> seeds = {}) {
    Entries.push_back(
        std::make_unique<Entry>(Threads.Io, name, store, std::move(seeds)));
    return *Entries.back();
  }
  test::StandInServer &standIn(test::StandInServer::Answer reply) {
    Servers.push_back(
        std::make_unique<test::StandInServer>(Threads.Io, std::move(reply)));
    return *Servers.back();
  }

  void serve(const std::string &id, test::StandInServer &server,
             const std::string &service = "plain", int version = 1) {
    Store.put("servers/" + id,
              R"({"service":")" + service + R"(","address":")" +
                  toString(server.address()) +
                  R"(","zone":"d1","slots":4,"state":"ready","models":[{)"
                  R"("name":"m","version":)" +
                  std::to_string(version) + "}]}");
  }

  struct Fetched {
    Error Reason;
    HttpResponse Response;
  };
  Fetched fetch(const Endpoint &to, HttpRequest request) {
    auto promise = std::make_shared<std::promise<Fetched>>();
    auto future = promise->get_future();
    Caller.fetch(to, std::move(request), 10s,
                 [promise](const Error &error, HttpResponse response) {
                   promise->set_value({error, std::move(response)});
                 });
    EXPECT_EQ(future.wait_for(Patience), std::future_status::ready);
    return future.get();
  }
  unsigned ready(const Entry &entry) {
    HttpRequest request;
    request.Method = "GET";
    request.Path = "/readiness";
    return fetch(entry.Options.Readiness, request).Response.Status;
  }
  bool waitReady(const Entry &entry) {
    return eventually([&] { return ready(entry) == 200; });
  }
  static HttpRequest request(std::string target, std::string id = "r1",
                             std::string key = "k1") {
    HttpRequest out;
    out.Method = "POST";
    out.Target = std::move(target);
    out.Headers = {{"Host", "a.example"},
                   {"X-Daisytack-Request-Id", std::move(id)},
                   {"X-Daisytack-Deadline-Milliseconds", "2500"},
                   {"X-Api-Key", std::move(key)}};
    out.Body = "body";
    return out;
  }
  unsigned statusOf(const Entry &entry, const HttpRequest &what) {
    return fetch(entry.Options.Callers, what).Response.Status;
  }
  static void answer(const HttpRequest &what, const ExchangePtr &to) {
    to->respond(signedAnswer(what));
  }

  net::IoThreads Threads;
  test::StandInStore Store;
  net::HttpClient Caller;
  std::vector<std::unique_ptr<test::StandInServer>> Servers;
  std::vector<std::unique_ptr<Entry>> Entries;
};

TEST_F(GatewayTest, IsNotReadyAndRefusesForNowWithoutAConfiguration) {
  Entry &entry = start("e1", Store.address());
  EXPECT_EQ(ready(entry), 503);
  Fetched got = fetch(entry.Options.Callers, request("/call/x"));
  EXPECT_EQ(got.Response.Status, 503);
  EXPECT_FALSE(got.Response.Headers.empty());
  Store.put("op/config", configText("\"k1\""));
  EXPECT_TRUE(waitReady(entry));
}

TEST_F(GatewayTest, ForwardsARequestAndItsAnswerUnchanged) {
  test::StandInServer &server = standIn(answer);
  serve("i-1", server);
  Store.put("op/config", configText("\"k1\""));
  Entry &entry = start("e1", Store.address());
  ASSERT_TRUE(waitReady(entry));
  Fetched got = fetch(entry.Options.Callers, request("/call/x?y=1"));
  EXPECT_EQ(got.Response.Status, 200);
  EXPECT_EQ(got.Response.Body, "answer");
  ASSERT_EQ(server.requests().size(), 1);
  HttpRequest seen = server.requests()[0];
  EXPECT_EQ(seen.Target, "/call/x?y=1");
  EXPECT_EQ(seen.Body, "body");
  EXPECT_EQ(seen.header("Host"), "a.example");
  EXPECT_EQ(seen.header("X-Daisytack-Expected-Instance"), "i-1");
  EXPECT_EQ(seen.header("X-Daisytack-Tenant"), "org");
  EXPECT_EQ(seen.header("X-Api-Key"), "");
}

TEST_F(GatewayTest, RefusesUnknownKeysAndRoutesForGoodOnlyWhileItIsUpToDate) {
  test::StandInServer &server = standIn(answer);
  serve("i-1", server);
  Store.put("op/config", configText("\"k1\""));
  Entry &entry = start("e1", Store.address());
  ASSERT_TRUE(waitReady(entry));
  EXPECT_EQ(statusOf(entry, request("/call/x", "r", "other")), 401);
  EXPECT_EQ(statusOf(entry, request("/none/x")), 404);
  Store.Refuses = 503;
  EXPECT_TRUE(eventually([&] {
    return statusOf(entry, request("/call/x", "r", "other")) == 503;
  }));
  EXPECT_EQ(statusOf(entry, request("/none/x")), 503);
  EXPECT_EQ(statusOf(entry, request("/call/x")), 200);
  EXPECT_EQ(ready(entry), 200);
}

TEST_F(GatewayTest, PutsANewConfigurationInForce) {
  test::StandInServer &server = standIn(answer);
  serve("i-1", server);
  Store.put("op/config", configText("\"k1\""));
  Entry &entry = start("e1", Store.address());
  ASSERT_TRUE(waitReady(entry));
  Store.put("op/config", configText("\"k2\"", 2));
  EXPECT_TRUE(eventually(
      [&] { return statusOf(entry, request("/call/x", "r", "k1")) == 401; }));
  EXPECT_EQ(statusOf(entry, request("/call/x", "r", "k2")), 200);
}

TEST_F(GatewayTest, HearsOfARevokedKeyFromAnotherEntryWhenTheStoreIsAway) {
  test::StandInServer &server = standIn(answer);
  serve("i-1", server);
  Store.put("op/config", configText("\"k1\",\"k2\""));
  Entry &connected = start("e1", Store.address());
  ASSERT_TRUE(waitReady(connected));
  test::StandInServer &refusing =
      standIn([](const HttpRequest &, const ExchangePtr &to) {
        to->respond({503, {}, {}});
      });
  Entry &cut = start("e2", refusing.address(), {connected.Options.Peers});
  ASSERT_TRUE(waitReady(cut));
  EXPECT_EQ(statusOf(cut, request("/call/x", "r", "k1")), 200);
  Store.put("op/config", configText("\"k2\"", 2));
  EXPECT_TRUE(eventually(
      [&] { return statusOf(cut, request("/call/x", "r", "k1")) == 401; }));
}

TEST_F(GatewayTest, ClosesTheServersConnectionWhenTheCallerLeaves) {
  std::vector<ExchangePtr> held;
  std::mutex lock;
  std::atomic<bool> gone{false};
  test::StandInServer &server =
      standIn([&](const HttpRequest &, const ExchangePtr &to) {
        to->onClosed([&gone] { gone = true; });
        std::lock_guard guard(lock);
        held.push_back(to);
      });
  serve("i-1", server);
  Store.put("op/config", configText("\"k1\""));
  Entry &entry = start("e1", Store.address());
  ASSERT_TRUE(waitReady(entry));
  net::RawClient raw(entry.Options.Callers.Port);
  raw.send("POST /call/x HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: k1\r\n"
           "X-Daisytack-Request-Id: r\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 1; }));
  raw.close();
  EXPECT_TRUE(eventually([&] { return gone.load(); }));
  Threads.stop(); // Handlers use what ends here.
}

TEST_F(GatewayTest, AnswersADeadServersRequestAsPerhapsRun) {
  test::StandInServer &server =
      standIn([](const HttpRequest &, const ExchangePtr &to) { to->abort(); });
  serve("i-1", server);
  Store.put("op/config", configText("\"k1\""));
  Entry &entry = start("e1", Store.address());
  ASSERT_TRUE(waitReady(entry));
  EXPECT_EQ(statusOf(entry, request("/call/x")), 502);
}

/// A server ran a request and lost its connection; the instance that came in
/// its place then says that it did not run it. The first run still counts.
TEST_F(GatewayTest, DoesNotPromiseThatARequestHasNotRunAfterALostAnswer) {
  std::atomic<int> seen{0};
  test::StandInServer &server =
      standIn([&](const HttpRequest &what, const ExchangePtr &to) {
        if (what.header("X-Daisytack-Request-Id") == "first")
          return to->respond(signedAnswer(what));
        if (++seen == 1)
          return to->abort();
        to->respond({421, {{"X-Daisytack-Not-Executed", "1"}}, {}});
      });
  serve("i-1", server);
  Store.put("op/config", configText("\"k1\""));
  Entry &entry = start("e1", Store.address());
  ASSERT_TRUE(waitReady(entry));
  HttpRequest get = request("/safe/", "first");
  get.Method = "GET";
  get.Body.clear();
  ASSERT_EQ(statusOf(entry, get), 200); // Leaves a kept connection.
  get.Headers[1].Value = "second";
  EXPECT_EQ(statusOf(entry, get), 502);
  Threads.stop(); // Handlers use what ends here.
}

/// What the caller was told can be found afterwards by the request's id.
TEST_F(GatewayTest, LogsWhenARefusedCallerIsToComeBack) {
  test::StdoutText lines;
  Store.put("op/config", configText("\"k1\""));
  Entry &entry = start("e1", Store.address());
  ASSERT_TRUE(waitReady(entry));
  EXPECT_EQ(statusOf(entry, request("/safe/", "alone")), 503);
  std::string line;
  EXPECT_TRUE(eventually([&] {
    line = lines.lineWith({"request_ended", "\"alone\""});
    return !line.empty();
  }));
  EXPECT_NE(line.find("\"outcome\":\"refused\""), std::string::npos) << line;
  EXPECT_NE(line.find("\"retry_after_ms\":3E2"), std::string::npos) << line;
  Threads.stop(); // Handlers use what ends here.
}

TEST_F(GatewayTest, DrainsWithoutCuttingAnyRequestOff) {
  std::atomic<bool> release{false};
  std::mutex lock;
  std::vector<std::jthread> waiting; ///< Joined before what they use goes.
  test::StandInServer &server =
      standIn([&](const HttpRequest &what, const ExchangePtr &to) {
        std::lock_guard guard(lock);
        waiting.emplace_back([&release, what, to] {
          eventually([&] { return release.load(); });
          to->respond(signedAnswer(what));
        });
      });
  serve("i-1", server);
  Store.put("op/config", configText("\"k1\""));
  Entry &entry = start("e1", Store.address());
  ASSERT_TRUE(waitReady(entry));
  auto running = std::async(std::launch::async, [&] {
    return fetch(entry.Options.Callers, request("/call/x")).Response.Status;
  });
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 1; }));
  std::atomic<bool> drained{false};
  entry.Daemon.drain([&] { drained = true; });
  EXPECT_EQ(ready(entry), 503);
  // Until the balancer has noticed, new connections are still served.
  auto late = std::async(std::launch::async, [&] {
    return fetch(entry.Options.Callers, request("/call/x", "r2"))
        .Response.Status;
  });
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 2; }));
  std::this_thread::sleep_for(500ms);
  EXPECT_FALSE(drained);
  release = true;
  EXPECT_EQ(running.get(), 200);
  EXPECT_EQ(late.get(), 200);
  EXPECT_TRUE(eventually([&] { return drained.load(); }));
  Threads.stop(); // Handlers use what ends here.
}

// Others tell an announced entry which servers and which kept context to leave
// alone, and until its last answer is out it needs that. A key that outlived
// the entry made others call an address at which nobody answered.
TEST_F(GatewayTest, IsAnnouncedUntilItsLastAnswerIsOutAndNoLonger) {
  std::mutex lock;
  std::vector<std::function<void()>> answers;
  test::StandInServer &server =
      standIn([&](const HttpRequest &what, const ExchangePtr &to) {
        std::lock_guard guard(lock);
        answers.emplace_back([what, to] { to->respond(signedAnswer(what)); });
      });
  serve("i-1", server);
  Store.put("op/config", configText("\"k1\""));
  Entry &entry = start("e1", Store.address());
  ASSERT_TRUE(waitReady(entry));
  ASSERT_TRUE(eventually([&] { return Store.has("daisytack/entries/e1"); }));
  auto running = std::async(std::launch::async, [&] {
    return fetch(entry.Options.Callers, request("/call/x")).Response.Status;
  });
  ASSERT_TRUE(eventually([&] {
    std::lock_guard guard(lock);
    return answers.size() == 1;
  }));
  std::promise<bool> announcedAtEnd;
  entry.Daemon.drain(
      [&] { announcedAtEnd.set_value(Store.has("daisytack/entries/e1")); });
  EXPECT_EQ(ready(entry), 503);
  EXPECT_TRUE(Store.has("daisytack/entries/e1"));
  {
    std::lock_guard guard(lock);
    answers.at(0)();
  }
  EXPECT_EQ(running.get(), 200);
  auto ended = announcedAtEnd.get_future();
  ASSERT_EQ(ended.wait_for(Patience), std::future_status::ready);
  EXPECT_FALSE(ended.get());
  Threads.stop(); // Handlers use what ends here.
}

TEST_F(GatewayTest, OrdersNewWeightsOnceUnderAFencingToken) {
  std::atomic<int> version{1};
  test::StandInServer &engine =
      standIn([&](const HttpRequest &what, const ExchangePtr &to) {
        if (what.Path == "/order") {
          version = 2;
          return to->respond({202, {}, {}});
        }
        to->respond({200,
                     {},
                     R"({"models":[{"name":"m","version":)" +
                         std::to_string(version) +
                         R"(}],"busy":false,"sequence":4})"});
      });
  serve("i-1", engine, "engines");
  Store.put("op/config", configText("\"k1\""));
  Store.put("op/version/m", R"({"model":"m","version":2})");
  start("e1", Store.address());
  start("e2", Store.address());
  auto orders = [&] {
    std::vector<std::string> out;
    for (const HttpRequest &it : engine.requests())
      if (it.Path == "/order")
        out.push_back(it.Body);
    return out;
  };
  ASSERT_TRUE(eventually([&] { return !orders().empty(); }));
  std::this_thread::sleep_for(1s);
  ASSERT_EQ(orders().size(), 1);
  EXPECT_NE(orders()[0].find("\"expected\":4"), std::string::npos);
  EXPECT_NE(
      orders()[0].find("\"fencing-token\":" +
                       std::to_string(Store.revisionOf("daisytack/holder"))),
      std::string::npos)
      << orders()[0];
  Threads.stop(); // Handlers use what ends here.
}

/// A store's report of a part that went can be lost. Its answer to the order
/// to free says as much.
TEST_F(GatewayTest, FreesAPartOnceThoughItsReportIsLost) {
  std::atomic<int> frees{0};
  test::StandInServer &kept = standIn([&](const HttpRequest &what,
                                          const ExchangePtr &to) {
    // The list is true, should it be asked for again.
    std::string held = frees > 0 ? "" : R"(["shared@1","aa",500,"m"])";
    if (what.Path == "/kv-list")
      return to->respond(
          {200, {}, R"({"epoch":1,"next":5,"held":[)" + held + "]}"});
    if (what.Path == "/kv-free")
      ++frees;
    to->respond({200, {}, R"({"epoch":1,"next":5,"lost":false,"events":[]})"});
  });
  test::StandInServer &engine = standIn(answer);
  serve("i-1", engine, "engines", 2); // Nobody uses version 1 any more.
  Store.put("op/config", promptConfigText(kept.address()));
  Entry &entry = start("e1", Store.address());
  ASSERT_TRUE(waitReady(entry));
  int changes = 0;
  auto passTime = [&] { // The service's watches go on confirming themselves.
    Store.put("other/key", std::to_string(++changes));
    std::this_thread::sleep_for(100ms);
  };
  ASSERT_TRUE(eventually([&] {
    passTime();
    return frees > 0;
  }));
  for (int i = 0; i < 15; ++i) // Three times the pause between orders.
    passTime();
  EXPECT_EQ(frees, 1);
  Threads.stop(); // Handlers use what ends here.
}

/// A store holds only a few calls for changes at once; that it has no place for
/// this entry's says nothing about what it holds.
TEST_F(GatewayTest, GoesOnUsingAStoreWithoutAPlaceForItsCall) {
  std::atomic<int> turnedAway{0};
  test::StandInServer &kept =
      standIn([&](const HttpRequest &what, const ExchangePtr &to) {
        if (what.Path == "/kv-list")
          return to->respond(
              {200,
               {},
               R"({"epoch":1,"next":5,"held":[["shared@1","aa",500,"m"]]})"});
        ++turnedAway;
        to->respond({429, {}, {}});
      });
  test::StandInServer &engine = standIn(answer);
  serve("i-1", engine, "engines");
  Store.put("op/config", promptConfigText(kept.address()));
  Entry &entry = start("e1", Store.address());
  ASSERT_TRUE(waitReady(entry));
  ASSERT_TRUE(eventually([&] { return turnedAway > 2; }));
  HttpRequest prompt = request("/ask/", "r1");
  prompt.Headers.push_back({"X-Daisytack-Model", "m"});
  prompt.Headers.push_back({"X-Daisytack-Token-Counts", "700,10"});
  prompt.Headers.push_back({"X-Daisytack-Prompt-Prefix", "aa:500,bb:200"});
  EXPECT_EQ(statusOf(entry, prompt), 200);
  ASSERT_FALSE(engine.requests().empty());
  EXPECT_EQ(engine.requests().back().header("X-Daisytack-Kv-Source"),
            toString(kept.address()) + ",-");
  Threads.stop(); // Handlers use what ends here.
}

} // namespace
} // namespace daisytack::gateway
