/// Tests of a complete entry against fakes on loopback.
#include "gateway/gateway_fixture.h"

#include "direct/revision.h"

#include "gateway/stdout_capture.h"

namespace daisytack::gateway {
namespace {

TEST_F(GatewayTest, IsNotReadyAndAnswers503WithoutAConfiguration) {
  Entry &entry = start("e1", KvService.address());
  EXPECT_EQ(readinessStatus(entry), 503);
  Fetched got = fetch(entry.Options.Callers, request("/call/x"));
  EXPECT_EQ(got.Response.Status, 503);
  EXPECT_FALSE(got.Response.Headers.empty());
  KvService.put("op/config", configText("\"k1\""));
  EXPECT_TRUE(waitReady(entry));
}

TEST_F(GatewayTest, ForwardsARequestAndItsAnswerUnchanged) {
  test::FakeServer &server = startBackend(answer);
  registerServer("i-1", server);
  KvService.put("op/config", configText("\"k1\""));
  Entry &entry = start("e1", KvService.address());
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

TEST_F(GatewayTest, RejectsUnknownKeysAndRoutesPermanentlyOnlyWhileUpToDate) {
  test::FakeServer &server = startBackend(answer);
  registerServer("i-1", server);
  KvService.put("op/config", configText("\"k1\""));
  Entry &entry = start("e1", KvService.address());
  ASSERT_TRUE(waitReady(entry));
  EXPECT_EQ(statusOf(entry, request("/call/x", "r", "other")), 401);
  EXPECT_EQ(statusOf(entry, request("/none/x")), 404);
  KvService.RefusalStatus = 503;
  EXPECT_TRUE(eventually([&] {
    return statusOf(entry, request("/call/x", "r", "other")) == 503;
  }));
  EXPECT_EQ(statusOf(entry, request("/none/x")), 503);
  EXPECT_EQ(statusOf(entry, request("/call/x")), 200);
  EXPECT_EQ(readinessStatus(entry), 200);
}

TEST_F(GatewayTest, AppliesANewConfiguration) {
  test::FakeServer &server = startBackend(answer);
  registerServer("i-1", server);
  KvService.put("op/config", configText("\"k1\""));
  Entry &entry = start("e1", KvService.address());
  ASSERT_TRUE(waitReady(entry));
  KvService.put("op/config", configText("\"k2\"", 2));
  EXPECT_TRUE(eventually(
      [&] { return statusOf(entry, request("/call/x", "r", "k1")) == 401; }));
  EXPECT_EQ(statusOf(entry, request("/call/x", "r", "k2")), 200);
}

TEST_F(GatewayTest, LearnsOfARevokedKeyFromAPeerWhileTheServiceIsUnreachable) {
  test::FakeServer &server = startBackend(answer);
  registerServer("i-1", server);
  KvService.put("op/config", configText("\"k1\",\"k2\""));
  Entry &connected = start("e1", KvService.address());
  ASSERT_TRUE(waitReady(connected));
  test::FakeServer &refusing =
      startBackend([](const HttpRequest &, const ExchangePtr &to) {
        to->respond({503, {}, {}});
      });
  Entry &disconnected =
      start("e2", refusing.address(), {connected.Options.Peers});
  ASSERT_TRUE(waitReady(disconnected));
  EXPECT_EQ(statusOf(disconnected, request("/call/x", "r", "k1")), 200);
  KvService.put("op/config", configText("\"k2\"", 2));
  EXPECT_TRUE(eventually([&] {
    return statusOf(disconnected, request("/call/x", "r", "k1")) == 401;
  }));
}

TEST_F(GatewayTest, ClosesTheServersConnectionWhenTheCallerLeaves) {
  std::vector<ExchangePtr> held;
  std::mutex lock;
  std::atomic<bool> gone{false};
  test::FakeServer &server =
      startBackend([&](const HttpRequest &, const ExchangePtr &to) {
        to->onClosed([&gone] { gone = true; });
        std::lock_guard guard(lock);
        held.push_back(to);
      });
  registerServer("i-1", server);
  KvService.put("op/config", configText("\"k1\""));
  Entry &entry = start("e1", KvService.address());
  ASSERT_TRUE(waitReady(entry));
  net::RawClient raw(entry.Options.Callers.Port);
  raw.send("POST /call/x HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: k1\r\n"
           "X-Daisytack-Request-Id: r\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 1; }));
  raw.close();
  EXPECT_TRUE(eventually([&] { return gone.load(); }));
  Threads.stop(); // Handlers use what is destroyed here.
}

TEST_F(GatewayTest, Answers502WhenTheServerIsLostMidRequest) {
  test::FakeServer &server = startBackend(
      [](const HttpRequest &, const ExchangePtr &to) { to->abort(); });
  registerServer("i-1", server);
  KvService.put("op/config", configText("\"k1\""));
  Entry &entry = start("e1", KvService.address());
  ASSERT_TRUE(waitReady(entry));
  EXPECT_EQ(statusOf(entry, request("/call/x")), 502);
}

/// A server ran a request and lost its connection; its replacement says that it
/// did not run the request. The first run still counts.
TEST_F(GatewayTest, DoesNotPromiseThatARequestHasNotRunAfterALostAnswer) {
  std::atomic<int> seen{0};
  test::FakeServer &server =
      startBackend([&](const HttpRequest &what, const ExchangePtr &to) {
        if (what.header("X-Daisytack-Request-Id") == "first")
          return to->respond(signedAnswer(what));
        if (++seen == 1)
          return to->abort();
        to->respond({421, {{"X-Daisytack-Not-Executed", "1"}}, {}});
      });
  registerServer("i-1", server);
  KvService.put("op/config", configText("\"k1\""));
  Entry &entry = start("e1", KvService.address());
  ASSERT_TRUE(waitReady(entry));
  HttpRequest get = request("/safe/", "first");
  get.Method = "GET";
  get.Body.clear();
  ASSERT_EQ(statusOf(entry, get), 200); // Leaves an idle connection.
  get.Headers[1].Value = "second";
  EXPECT_EQ(statusOf(entry, get), 502);
  Threads.stop(); // Handlers use what is destroyed here.
}

/// The log shows, by the request's id, which retry delay a caller got.
TEST_F(GatewayTest, LogsTheRetryDelayOfARefusedRequest) {
  test::StdoutCapture lines;
  KvService.put("op/config", configText("\"k1\""));
  Entry &entry = start("e1", KvService.address());
  ASSERT_TRUE(waitReady(entry));
  EXPECT_EQ(statusOf(entry, request("/safe/", "alone")), 503);
  std::string line;
  EXPECT_TRUE(eventually([&] {
    line = lines.findLine({"request_ended", "\"alone\""});
    return !line.empty();
  }));
  EXPECT_NE(line.find("\"outcome\":\"refused\""), std::string::npos) << line;
  EXPECT_NE(line.find("\"retry_after_ms\":3E2"), std::string::npos) << line;
  Threads.stop(); // Handlers use what is destroyed here.
}

/// The log shows operators that two failed requests are the same one, although
/// each has its own id.
TEST_F(GatewayTest, LogsTheSameIdentityForRetriesOfAFailedRequest) {
  test::StdoutCapture lines;
  test::FakeServer &server = startBackend(
      [](const HttpRequest &, const ExchangePtr &to) { to->abort(); });
  registerServer("i-1", server);
  KvService.put("op/config", configText("\"k1\""));
  Entry &entry = start("e1", KvService.address());
  ASSERT_TRUE(waitReady(entry));
  auto identityOf = [&](const std::string &target, const std::string &id) {
    EXPECT_EQ(statusOf(entry, request(target, id)), 502);
    std::string line;
    EXPECT_TRUE(eventually([&] {
      line = lines.findLine({"attempt_ended", "\"" + id + "\"", "identity"});
      return !line.empty();
    }));
    return line.substr(std::min(line.find("\"identity\""), line.size()));
  };
  std::string first = identityOf("/call/a", "one");
  EXPECT_EQ(identityOf("/call/a", "two"), first);
  EXPECT_NE(identityOf("/call/b", "three"), first);
  Threads.stop(); // Handlers use what is destroyed here.
}

TEST_F(GatewayTest, DrainsWithoutCuttingAnyRequestOff) {
  std::atomic<bool> release{false};
  std::mutex lock;
  // Joined before what the threads use is destroyed.
  std::vector<std::jthread> waiting;
  test::FakeServer &server =
      startBackend([&](const HttpRequest &what, const ExchangePtr &to) {
        std::lock_guard guard(lock);
        waiting.emplace_back([&release, what, to] {
          eventually([&] { return release.load(); });
          to->respond(signedAnswer(what));
        });
      });
  registerServer("i-1", server);
  KvService.put("op/config", configText("\"k1\""));
  Entry &entry = start("e1", KvService.address());
  ASSERT_TRUE(waitReady(entry));
  auto running = std::async(std::launch::async, [&] {
    return fetch(entry.Options.Callers, request("/call/x")).Response.Status;
  });
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 1; }));
  std::atomic<bool> drained{false};
  entry.Daemon.drain(TimePoint::max(), [&](bool) { drained = true; });
  EXPECT_EQ(readinessStatus(entry), 503);
  // New connections are still served until the load balancer has noticed.
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
  Threads.stop(); // Handlers use what is destroyed here.
}

/// A value of another writer under a server's key removes the server until the
/// server writes its record again. A new start of the server drops the
/// connections to the earlier one.
TEST_F(GatewayTest, FollowsTheNewestRecordOfAServer) {
  test::StdoutCapture lines;
  test::FakeServer &server = startBackend(answer);
  registerServer("i-1", server);
  KvService.put("op/config", configText("\"k1\""));
  Entry &entry = start("e1", KvService.address());
  ASSERT_TRUE(waitReady(entry));
  auto is = [&](unsigned n) { return statusOf(entry, request("/safe/")) == n; };
  auto becomes = [&](unsigned n) { return eventually([&] { return is(n); }); };
  EXPECT_TRUE(becomes(200));
  KvService.put("servers/i-1", "\xff\xfe");
  EXPECT_TRUE(becomes(503));
  EXPECT_TRUE(eventually([&] {
    return !lines.findLine({"record_unreadable", "servers/i-1"}).empty();
  }));
  registerServer("i-1", server);
  EXPECT_TRUE(becomes(200));
  EXPECT_EQ(server.openConnections(), 1);
  registerServer("i-1", server, "plain", 1, 2);
  EXPECT_TRUE(eventually([&] { return server.openConnections() == 0; }));
  Threads.stop(); // Handlers use what is destroyed here.
}

// Other entries notify an announced entry of servers and kept context to avoid,
// which it needs to know until its last answer is sent. If its key outlives it,
// other entries call an address at which nobody answers.
TEST_F(GatewayTest, StaysAnnouncedOnlyUntilItsLastAnswerIsSent) {
  std::mutex lock;
  std::vector<std::function<void()>> answers;
  test::FakeServer &server =
      startBackend([&](const HttpRequest &what, const ExchangePtr &to) {
        std::lock_guard guard(lock);
        answers.emplace_back([what, to] { to->respond(signedAnswer(what)); });
      });
  registerServer("i-1", server);
  KvService.put("op/config", configText("\"k1\""));
  Entry &entry = start("e1", KvService.address());
  ASSERT_TRUE(waitReady(entry));
  ASSERT_TRUE(
      eventually([&] { return KvService.has("daisytack/entries/e1"); }));
  auto running = std::async(std::launch::async, [&] {
    return fetch(entry.Options.Callers, request("/call/x")).Response.Status;
  });
  ASSERT_TRUE(eventually([&] {
    std::lock_guard guard(lock);
    return answers.size() == 1;
  }));
  std::promise<bool> announcedAtEnd;
  entry.Daemon.drain(TimePoint::max(), [&](bool) {
    announcedAtEnd.set_value(KvService.has("daisytack/entries/e1"));
  });
  EXPECT_EQ(readinessStatus(entry), 503);
  EXPECT_TRUE(KvService.has("daisytack/entries/e1"));
  {
    std::lock_guard guard(lock);
    answers.at(0)();
  }
  EXPECT_EQ(running.get(), 200);
  auto ended = announcedAtEnd.get_future();
  ASSERT_EQ(ended.wait_for(WaitTimeout), std::future_status::ready);
  EXPECT_FALSE(ended.get());
  Threads.stop(); // Handlers use what is destroyed here.
}

TEST_F(GatewayTest, OrdersNewWeightsOnceUnderAFencingToken) {
  std::atomic<int> version{1};
  test::FakeServer &engine =
      startBackend([&](const HttpRequest &what, const ExchangePtr &to) {
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
  registerServer("i-1", engine, "engines");
  KvService.put("op/config", configText("\"k1\""));
  KvService.put("op/version/m", R"({"model":"m","version":2})");
  start("e1", KvService.address());
  start("e2", KvService.address());
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
  EXPECT_NE(orders()[0].find("\"fencing-token\":" +
                             std::to_string(direct::monotonicRevision(
                                 1, KvService.revisionOf("daisytack/holder")))),
            std::string::npos)
      << orders()[0];
  Threads.stop(); // Handlers use what is destroyed here.
}

/// Guards against servers that get no requests although their load of weights
/// was postponed: entries avoid a server only while its load is announced.
TEST_F(GatewayTest, AvoidsAPostponedServerNoLongerThanItsLoadIsAnnounced) {
  std::mutex lock;
  std::vector<ExchangePtr> unanswered;
  test::FakeServer &engine =
      startBackend([&](const HttpRequest &what, const ExchangePtr &to) {
        std::lock_guard guard(lock);
        if (what.Path == "/order")
          return unanswered.push_back(to);
        to->respond({200,
                     {},
                     R"({"models":[{"name":"m","version":1}],)"
                     R"("busy":false,"sequence":4})"});
      });
  // One more than load at a time.
  for (const char *id : {"i-1", "i-2", "i-3"})
    registerServer(id, engine, "engines");
  KvService.put("op/config", configText("\"k1\""));
  KvService.put("op/version/m", R"({"model":"m","version":2})");
  test::StdoutCapture log;
  start("e1", KvService.address());
  EXPECT_TRUE(eventually([&] {
    return log.countLines({"load_postponed", "i-1", "no_answer"}) > 0;
  }));
  // It is avoided once more when it is selected anew.
  EXPECT_TRUE(eventually([&] {
    return log.countLines({"server_avoided", "i-1", "new weights"}) > 1;
  }));
  Threads.stop(); // Handlers use what is destroyed here.
}

/// A store's report that a part is gone can be lost, but its answer to the
/// order to free says so too.
TEST_F(GatewayTest, FreesAPartOnlyOnceIfTheChangeReportIsLost) {
  std::atomic<int> frees{0};
  test::FakeServer &contextStore = startBackend([&](const HttpRequest &what,
                                                    const ExchangePtr &to) {
    // The list stays correct in case it is read again.
    std::string held = frees > 0 ? "" : R"(["shared@1","aa",500,"m"])";
    if (what.Path == "/kv-list")
      return to->respond(
          {200, {}, R"({"epoch":1,"next":5,"held":[)" + held + "]}"});
    if (what.Path == "/kv-free")
      ++frees;
    to->respond({200, {}, R"({"epoch":1,"next":5,"lost":false,"events":[]})"});
  });
  test::FakeServer &engine = startBackend(answer);
  // No server uses version 1 any more.
  registerServer("i-1", engine, "engines", 2);
  KvService.put("op/config", promptConfigText(contextStore.address()));
  Entry &entry = start("e1", KvService.address());
  ASSERT_TRUE(waitReady(entry));
  int changes = 0;
  // Keeps the watches of the key-value service confirmed.
  auto confirmWatches = [&] {
    KvService.put("other/key", std::to_string(++changes));
    std::this_thread::sleep_for(100ms);
  };
  ASSERT_TRUE(eventually([&] {
    confirmWatches();
    return frees > 0;
  }));
  for (int i = 0; i < 15; ++i) // Three times the pause between orders.
    confirmWatches();
  EXPECT_EQ(frees, 1);
  Threads.stop(); // Handlers use what is destroyed here.
}

/// A store holds only a few calls for changes at once. That it has no place for
/// this entry's call says nothing about the parts that it holds.
TEST_F(GatewayTest, KeepsUsingAStoreThatAnswersTooManyRequests) {
  std::atomic<int> rejectedCalls{0};
  std::atomic<bool> hasAnswered{false};
  test::FakeServer &contextStore = startBackend([&](const HttpRequest &what,
                                                    const ExchangePtr &to) {
    if (what.Path == "/kv-list")
      return to->respond(
          {200,
           {},
           R"({"epoch":1,"next":5,"held":[["shared@1","aa",500,"m"]]})"});
    if (!hasAnswered.exchange(true))
      return to->respond(
          {200,
           {},
           R"({"epoch":1,"next":5,"lost":false,"events":[],"clock_ms":9})"});
    ++rejectedCalls;
    to->respond({429, {}, {}});
  });
  test::FakeServer &engine = startBackend(answer);
  registerServer("i-1", engine, "engines");
  KvService.put("op/config", promptConfigText(contextStore.address()));
  Entry &entry = start("e1", KvService.address());
  ASSERT_TRUE(waitReady(entry));
  ASSERT_TRUE(eventually([&] { return rejectedCalls > 2; }));
  HttpRequest prompt = request("/ask/", "r1");
  prompt.Headers.push_back({"X-Daisytack-Model", "m"});
  prompt.Headers.push_back({"X-Daisytack-Token-Counts", "700,10"});
  prompt.Headers.push_back({"X-Daisytack-Prompt-Prefix", "aa:500,bb:200"});
  EXPECT_EQ(statusOf(entry, prompt), 200);
  ASSERT_FALSE(engine.requests().empty());
  EXPECT_EQ(engine.requests().back().header("X-Daisytack-Kv-Source"),
            toString(contextStore.address()) + ",-");
  Threads.stop(); // Handlers use what is destroyed here.
}

/// Guards against entries that wait before they have context saved although no
/// store has restarted: processes that start learn it from the record alone.
TEST_F(GatewayTest, RecordsTheEpochOfAStoreOnceItIsSettled) {
  test::FakeServer &contextStore = startBackend([](const HttpRequest &,
                                                   const ExchangePtr &to) {
    to->respond(
        {200,
         {},
         R"({"epoch":7,"next":5,"lost":false,"events":[],"held":[],"clock_ms":9})"});
  });
  KvService.put("op/config", promptConfigText(contextStore.address()));
  Entry &entry = start("e1", KvService.address());
  ASSERT_TRUE(waitReady(entry));
  int changes = 0;
  EXPECT_TRUE(eventually([&] {
    KvService.put("other/key", std::to_string(++changes)); // Confirms watches.
    return KvService.has("daisytack/store-epochs");
  }));
  Threads.stop(); // Handlers use what is destroyed here.
}

} // namespace
} // namespace daisytack::gateway
