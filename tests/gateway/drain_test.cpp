/// Guards against a draining entry that accepts a late request and is killed,
/// at the end of its grace period, before the answer ends.
///
/// This happened 5.5 s after SIGTERM: the listener and all idle connections
/// were closed, but the request came on a connection on which a streamed answer
/// had just ended. The head of that answer was sent before the signal and
/// promised to keep the connection. Closing what is idle at one moment is
/// therefore not enough: each request must be checked when it is accepted.
#include "gateway/gateway_fixture.h"

#include "base/clock.h"
#include "gateway/stdout_capture.h"

#include <array>
#include <future>

namespace daisytack::gateway {
namespace {

/// A route with streamed answers from a service without engines.
constexpr const char *StreamConfig = R"({"version":1,"routes":[
  {"name":"talk","host":"a.example","path-prefix":"/talk/","kind":"streaming",
   "timeout-ms":30000,"target-latency-ms":800,"service":"plain",
   "attempts":1}],
  "services":[{"name":"plain","connection-limit":100}]})";

std::string streamRequest(const std::string &id) {
  return "POST /talk/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n"
         "X-Daisytack-Request-Id: " +
         id + "\r\nX-Daisytack-Deadline-Milliseconds: 30000\r\n\r\n";
}

/// Streamed answers of a backend server that begin at once, unless the server
/// sends nothing, and end when endAll() is called.
class OpenStreams {
public:
  void begin(const HttpRequest &request, const ExchangePtr &to) {
    HttpResponse head = signedAnswer(request);
    head.Headers.push_back({"Content-Type", "text/event-stream"});
    if (!IsSilent) {
      to->beginStream(head.Status, head.Headers);
      to->write("id: 1\ndata: a\n\n");
    }
    std::lock_guard guard(Lock);
    Open.push_back(to);
  }
  void endAll() {
    std::lock_guard guard(Lock);
    for (const ExchangePtr &to : Open) {
      to->write("id: 2\ndata: b\n\n");
      to->endStream();
    }
    Open.clear();
  }
  std::atomic<bool> IsSilent{false};

private:
  std::mutex Lock;
  std::vector<ExchangePtr> Open;
};

class DrainTest : public GatewayTest {
protected:
  DrainTest()
      : Backend(startBackend(
            [this](const HttpRequest &what, const ExchangePtr &to) {
              Streams.begin(what, to);
            })),
        Stopping(startServing()) {}
  ~DrainTest() override { Threads.stop(); }

  Entry &startServing() {
    registerServer("i-1", Backend);
    KvService.put("op/config", StreamConfig);
    return start("e1", KvService.address());
  }
  uint16_t port() const { return Stopping.Options.Callers.Port; }

  /// Starts the drain and returns once the entry closes idle connections.
  void drainPastNotice() {
    net::RawClient idle(port());
    idle.send("GET /none HTTP/1.1\r\nHost: a.example\r\n\r\n");
    idle.readUntil("\r\n\r\n");
    Stopping.Daemon.drain(TimePoint::max(), [this](bool) { Drained = true; });
    idle.readAll();
  }

  std::atomic<bool> Drained{false};
  OpenStreams Streams;
  test::FakeServer &Backend;
  Entry &Stopping;
};

TEST_F(DrainTest, RefusesARequestAfterAStreamThatBeganBeforeTheSignal) {
  ASSERT_TRUE(waitReady(Stopping));
  net::RawClient caller(port());
  caller.send(streamRequest("r1"));
  std::string head = caller.readUntil("data: a\n\n");
  ASSERT_EQ(head.find("Connection: close"), std::string::npos) << head;
  drainPastNotice();
  Streams.endAll();
  caller.readUntil("0\r\n\r\n");
  caller.send(streamRequest("r2"));
  std::string late = caller.readAll();
  EXPECT_EQ(Backend.requests().size(), 1U);
  // Either the connection was closed unread, or the answer is a refusal.
  bool isRefused = late.find("503") != std::string::npos &&
                   late.find("Retry-After") != std::string::npos;
  EXPECT_TRUE(late.empty() || isRefused) << late;
  EXPECT_TRUE(eventually([&] { return Drained.load(); }));
}

TEST_F(DrainTest, AnswersPendingRequestsBeforeTheProcessEnds) {
  ASSERT_TRUE(waitReady(Stopping));
  Streams.IsSilent = true;
  net::RawClient caller(port());
  caller.send(streamRequest("r1"));
  ASSERT_TRUE(eventually([&] { return !Backend.requests().empty(); }));
  Stopping.Daemon.drain(monotonicNow() + 1500ms,
                        [this](bool) { Drained = true; });
  std::string got = caller.readAll();
  EXPECT_NE(got.find("HTTP/1.1 502"), std::string::npos) << got;
  EXPECT_TRUE(eventually([&] { return Drained.load(); }));
}

/// Pending requests are failed only once: a request that is forwarded after
/// that would never be answered.
TEST_F(DrainTest, ForwardsNothingAfterPendingRequestsWereFailed) {
  ASSERT_TRUE(waitReady(Stopping));
  Streams.IsSilent = true;
  net::RawClient caller(port());
  caller.send("GET /none HTTP/1.1\r\nHost: a.example\r\n\r\n");
  caller.readUntil("\r\n\r\n");
  Stopping.Daemon.drain(monotonicNow() + Stopping.Options.Drain.FinalAnswerLead,
                        [this](bool) { Drained = true; });
  caller.send(streamRequest("r1"));
  std::string got = caller.readAll();
  EXPECT_EQ(Backend.requests().size(), 0U) << got;
  EXPECT_TRUE(eventually([&] { return Drained.load(); }));
}

/// The plan ends the acceptance of requests, even if the timer that closes the
/// listener is late.
TEST_F(DrainTest, RefusesLateRequestsEvenIfItsTimerIsLate) {
  ASSERT_TRUE(waitReady(Stopping));
  net::RawClient caller(port());
  caller.send("GET /none HTTP/1.1\r\nHost: a.example\r\n\r\n");
  caller.readUntil("\r\n\r\n");
  Stopping.Daemon.drain(TimePoint::max(), [this](bool) { Drained = true; });
  ASSERT_TRUE(eventually([&] { return readinessStatus(Stopping) == 503; }));
  const direct::DrainSettings &plan = Stopping.Options.Drain;
  TimePoint over = monotonicNow() + plan.NoticePeriod + plan.LateRequestGrace;
  std::atomic<bool> release{false};
  for (size_t i = 0; i < net::IoThreads::MaxThreads; ++i)
    net::asio::post(Threads.Io,
                    [&] { eventually([&] { return release.load(); }); });
  caller.send(streamRequest("r1"));
  ASSERT_TRUE(eventually([&] { return monotonicNow() > over; }));
  release = true;
  std::string got = caller.readAll();
  EXPECT_EQ(Backend.requests().size(), 0U) << got;
  EXPECT_TRUE(eventually([&] { return Drained.load(); }));
}

/// Guards against an entry that is stopped right after its start, takes the
/// signal for one that was sent long ago, and ends at once with open
/// connections.
TEST_F(DrainTest, KeepsItsPlanIfTheSignalComesRightAfterTheStart) {
  Entry &fresh = start("e9", KvService.address());
  fresh.Daemon.drain(monotonicNow() + 1500ms, [this](bool) { Drained = true; });
  net::RawClient caller(fresh.Options.Callers.Port);
  caller.send(streamRequest("r1"));
  std::string got = caller.readAll();
  EXPECT_NE(got.find(" 503 "), std::string::npos) << got;
  EXPECT_TRUE(eventually([&] { return Drained.load(); }));
}

/// Guards against requests that a stop cuts without a trace: an operator could
/// not tell which they were, nor whether they may be repeated.
TEST_F(DrainTest, LogsEachRequestThatItCuts) {
  ASSERT_TRUE(waitReady(Stopping));
  test::StdoutCapture lines;
  net::RawClient streaming(port());
  streaming.send(streamRequest("r1"));
  streaming.readUntil("data: a\n\n");
  Streams.IsSilent = true;
  net::RawClient unanswered(port());
  unanswered.send(streamRequest("r2"));
  ASSERT_TRUE(eventually([&] { return Backend.requests().size() == 2; }));
  Stopping.Daemon.drain(monotonicNow() + 1200ms,
                        [this](bool) { Drained = true; });
  ASSERT_TRUE(eventually([&] { return Drained.load(); }));
  EXPECT_EQ(lines.countLines({R"("event":"request_cut")"}), 2U);
  std::vector<std::string> common{
      R"("event":"request_cut")", R"("route":"talk")", R"("kind":"stream")",
      R"("may_repeat":false)",    R"("taken_ms":-)",   R"("attempt_age_ms":)"};
  auto hasLine = [&](std::vector<std::string> texts) {
    texts.insert(texts.end(), common.begin(), common.end());
    return !lines.findLine(texts).empty();
  };
  EXPECT_TRUE(hasLine({R"("request":"r2")", R"("step":"last_word")",
                       R"("answer_begun":false)"}));
  EXPECT_TRUE(hasLine(
      {R"("request":"r1")", R"("step":"end")", R"("answer_begun":true)"}));
}

/// A route of each kind, with time-outs beyond each grace period.
constexpr const char *KindsConfig = R"({"version":1,"routes":[
  {"name":"unsafe","host":"a.example","path-prefix":"/unsafe/",
   "kind":"unsafe","timeout-ms":30000,"target-latency-ms":8000,
   "service":"plain","attempts":1},
  {"name":"safe","host":"a.example","path-prefix":"/safe/","kind":"safe",
   "timeout-ms":30000,"target-latency-ms":8000,"service":"plain",
   "attempts":2},
  {"name":"stream","host":"a.example","path-prefix":"/stream/",
   "kind":"streaming","timeout-ms":30000,"target-latency-ms":8000,
   "service":"plain","attempts":1},
  {"name":"resumable","host":"a.example","path-prefix":"/resumable/",
   "kind":"streaming","resumable":true,"timeout-ms":30000,
   "target-latency-ms":8000,"service":"plain","attempts":2}],
  "services":[{"name":"plain","connection-limit":200}]})";

constexpr std::array<const char *, 4> KindPaths{"/unsafe/x", "/safe/x",
                                                "/stream/x", "/resumable/x"};

/// Guards against a draining entry that passes on requests which it can't
/// answer before its end: they ran, and their callers got 502, half of an
/// answer or none.
class LateRequestTest : public GatewayTest,
                        public testing::WithParamInterface<int> {
protected:
  LateRequestTest()
      : Backend(startBackend(
            [this](const HttpRequest &what, const ExchangePtr &to) {
              onRequest(what, to);
            })),
        Stopping(startServing()) {}
  ~LateRequestTest() override { Threads.stop(); }

  Entry &startServing() {
    registerServer("i-1", Backend);
    KvService.put("op/config", KindsConfig);
    GatewayOptions options = Entry::optionsFor("e1", KvService.address(), {});
    options.Drain = {};
    Entries.push_back(std::make_unique<Entry>(Threads.Io, std::move(options)));
    Entries.back()->start();
    return *Entries.back();
  }

  void onRequest(const HttpRequest &what, const ExchangePtr &to) {
    Duration delay = AnswerDelay.load();
    if (delay == Duration::max()) {
      std::lock_guard guard(Lock);
      Held.push_back(to);
      return;
    }
    auto timer = std::make_shared<net::asio::steady_timer>(Threads.Io, delay);
    timer->async_wait([what, to, timer](auto) {
      HttpResponse out = signedAnswer(what, "id: 1\ndata: a\n\n");
      out.Headers.push_back({"Content-Type", "text/event-stream"});
      to->respond(std::move(out));
    });
  }

  HttpRequest lateRequest(const char *path) {
    HttpRequest out = request(path, "r" + std::to_string(++LastId));
    for (net::HttpHeader &header : out.Headers)
      if (header.Name == "X-Daisytack-Deadline-Milliseconds")
        header.Value = "30000";
    return out;
  }
  unsigned statusOfLate(const char *path) {
    return statusOf(Stopping, lateRequest(path));
  }
  /// Has requests of the kind answered, all at the same time.
  void learnAnswers(const char *path) {
    std::vector<std::future<unsigned>> answers;
    for (uint32_t i = 0; i < Stopping.Options.AnswerTimes.MinAnswers; ++i)
      answers.push_back(std::async(
          std::launch::async, [this, path] { return statusOfLate(path); }));
    for (auto &it : answers)
      ASSERT_EQ(it.get(), 200U);
  }
  /// Drains as a process does that the platform kills after the grace period.
  void drain(Duration grace) {
    constexpr Duration KillMargin = 200ms;
    DrainEnd = monotonicNow() + grace - KillMargin;
    Stopping.Daemon.drain(DrainEnd, [this](bool isComplete) {
      WasComplete = isComplete;
      Drained = true;
    });
  }
  void expectRefused(const char *path) {
    Fetched got = fetch(Stopping.Options.Callers, lateRequest(path));
    EXPECT_EQ(got.Response.Status, 503U) << path << got.Reason.Detail;
    bool hasRetryAfter = false;
    for (const net::HttpHeader &header : got.Response.Headers)
      hasRetryAfter |= header.Name == "Retry-After";
    EXPECT_TRUE(hasRetryAfter) << path;
  }

  /// How long the server takes for an answer; Duration::max(): for ever.
  std::atomic<Duration> AnswerDelay{Duration::zero()};
  std::atomic<uint32_t> LastId{0};
  std::atomic<bool> Drained{false};
  std::atomic<bool> WasComplete{false};
  TimePoint DrainEnd;
  std::mutex Lock;
  std::vector<ExchangePtr> Held;
  test::FakeServer &Backend;
  Entry &Stopping;
};

TEST_P(LateRequestTest, IsRefusedIfItsAnswerMayOutlastTheGracePeriod) {
  ASSERT_TRUE(waitReady(Stopping));
  AnswerDelay = Duration::max();
  drain(std::chrono::seconds(GetParam()));
  for (const char *path : KindPaths)
    expectRefused(path);
  std::this_thread::sleep_for(500ms);
  for (const char *path : KindPaths)
    expectRefused(path);
  EXPECT_EQ(Backend.requests().size(), 0U);
}

/// Guards against an entry that refuses all late requests: the others would
/// have to take its load at once.
TEST_P(LateRequestTest, IsAnsweredIfItsAnswerIsShort) {
  ASSERT_TRUE(waitReady(Stopping));
  for (const char *path : KindPaths)
    learnAnswers(path);
  drain(std::chrono::seconds(GetParam()));
  for (int i = 0; i < 3; ++i) {
    for (const char *path : KindPaths)
      EXPECT_EQ(statusOfLate(path), 200U) << path;
    std::this_thread::sleep_for(100ms);
  }
  EXPECT_TRUE(eventually([&] { return Drained.load(); }));
  EXPECT_TRUE(WasComplete);
  EXPECT_LE(monotonicNow(), DrainEnd + 1s);
}

INSTANTIATE_TEST_SUITE_P(GraceSeconds, LateRequestTest,
                         testing::Values(2, 3, 4, 8, 20));

/// The kinds share the decision, so that one is enough for what it depends on.
class LateRequestTimeTest : public LateRequestTest {};

TEST_P(LateRequestTimeTest, IsTakenOnlyIfThereIsTimeForTheAnswersSeenBefore) {
  ASSERT_TRUE(waitReady(Stopping));
  AnswerDelay = 1500ms;
  learnAnswers("/unsafe/x");
  size_t before = Backend.requests().size();
  drain(std::chrono::seconds(GetParam()));
  if (GetParam() <= 2) {
    expectRefused("/unsafe/x");
    EXPECT_EQ(Backend.requests().size(), before);
  } else {
    EXPECT_EQ(statusOfLate("/unsafe/x"), 200U);
  }
  EXPECT_TRUE(eventually([&] { return Drained.load(); }));
  EXPECT_TRUE(WasComplete);
}

INSTANTIATE_TEST_SUITE_P(GraceSeconds, LateRequestTimeTest,
                         testing::Values(2, 8));

class SlowAnswersTest : public LateRequestTest {};

/// Guards against answer times from before the servers became slow.
TEST_P(SlowAnswersTest, RefusesLateRequestsWhileEarlierOnesAreNotAnswered) {
  ASSERT_TRUE(waitReady(Stopping));
  learnAnswers("/unsafe/x");
  AnswerDelay = Duration::max();
  size_t before = Backend.requests().size();
  net::RawClient caller(Stopping.Options.Callers.Port);
  caller.send("POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\n"
              "Content-Length: 0\r\nX-Daisytack-Request-Id: early\r\n"
              "X-Daisytack-Deadline-Milliseconds: 30000\r\n\r\n");
  std::this_thread::sleep_for(1500ms);
  ASSERT_EQ(Backend.requests().size(), before + 1);
  drain(std::chrono::seconds(GetParam()));
  expectRefused("/unsafe/x");
  EXPECT_EQ(Backend.requests().size(), before + 1);
  // The one that was taken before the signal gets the last word.
  std::string got = caller.readAll();
  EXPECT_NE(got.find("HTTP/1.1 502"), std::string::npos) << got;
  EXPECT_TRUE(eventually([&] { return Drained.load(); }));
}

INSTANTIATE_TEST_SUITE_P(GraceSeconds, SlowAnswersTest, testing::Values(2));

class RejectedRequestTest : public LateRequestTest {};

/// Guards against a request from before the signal that may not be repeated,
/// and runs at a second server which can't answer before the end.
TEST_P(RejectedRequestTest, GoesToNoOtherServerIfItsAnswerMayNotComeInTime) {
  test::FakeServer &other =
      startBackend([this](const HttpRequest &what, const ExchangePtr &to) {
        onRequest(what, to);
      });
  registerServer("i-2", other);
  ASSERT_TRUE(waitReady(Stopping));
  AnswerDelay = Duration::max();
  auto answered = std::async(std::launch::async,
                             [this] { return statusOfLate("/unsafe/x"); });
  auto runs = [&] {
    return Backend.requests().size() + other.requests().size();
  };
  ASSERT_TRUE(eventually([&] { return runs() == 1; }));
  HttpRequest sent =
      (Backend.requests().empty() ? other : Backend).requests().front();
  drain(std::chrono::seconds(GetParam()));
  HttpResponse rejection = signedAnswer(sent);
  rejection.Status = 503;
  rejection.Headers.push_back({"X-Daisytack-Not-Executed", "1"});
  {
    std::lock_guard guard(Lock);
    Held.front()->respond(rejection);
  }
  EXPECT_EQ(answered.get(), 503U);
  EXPECT_EQ(runs(), 1U);
}

INSTANTIATE_TEST_SUITE_P(GraceSeconds, RejectedRequestTest,
                         testing::Values(3, 20));

class OpenConnectionTest : public LateRequestTest {};

/// Guards against a drain that ends as incomplete because a caller keeps its
/// connection open after its request was refused.
TEST_P(OpenConnectionTest, DelaysNoEndAfterTheLastAnswer) {
  ASSERT_TRUE(waitReady(Stopping));
  net::RawClient caller(Stopping.Options.Callers.Port);
  drain(std::chrono::seconds(GetParam()));
  std::this_thread::sleep_for(1200ms);
  caller.send("POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\n"
              "Content-Length: 0\r\nX-Daisytack-Request-Id: late\r\n"
              "X-Daisytack-Deadline-Milliseconds: 30000\r\n\r\n");
  EXPECT_NE(caller.readUntil("\r\n\r\n").find(" 503 "), std::string::npos);
  EXPECT_TRUE(eventually([&] { return Drained.load(); }));
  EXPECT_TRUE(WasComplete);
}

INSTANTIATE_TEST_SUITE_P(GraceSeconds, OpenConnectionTest,
                         testing::Values(2, 3));

} // namespace
} // namespace daisytack::gateway
