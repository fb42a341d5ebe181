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

} // namespace
} // namespace daisytack::gateway
