#include "decide/acceptance.h"

#include "decide/fixtures.h"
#include "decide/predictor.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace daisytack {

namespace {

struct Fixture {
  RunQueueSettings QueueSettings;
  AcceptanceSettings Settings;
  RunQueue Queue;

  explicit Fixture(uint32_t slots, uint32_t prefills = 0)
      : QueueSettings{slots, prefills}, Queue(QueueSettings) {}
  AcceptanceDecision offer(const RunRequest &request, TimePoint now) {
    AcceptanceDecision out =
        decideAcceptance(Queue, QueueSettings, Settings, request, now);
    if (out.accepted())
      Queue.push(request, now);
    return out;
  }
};

} // namespace

/// If every run takes exactly its predicted time, all accepted requests end
/// before their deadlines, for any stream of offers.
RC_GTEST_PROP(Acceptance,
              AcceptedRequestsMeetTheirDeadlinesIfPredictionsAreExact, ()) {
  auto slots = *rc::gen::inRange<uint32_t>(1, 6);
  Fixture it(slots);
  std::map<RequestId, TimePoint> ends;
  std::map<RequestId, TimePoint> deadlines;
  TimePoint now = Epoch;
  auto advance = [&](TimePoint until) {
    for (;;) {
      while (auto run = it.Queue.start(now))
        ends[run->Id] = std::max(now, run->ContextReady) + run->service();
      auto next = std::min_element(
          ends.begin(), ends.end(),
          [](const auto &a, const auto &b) { return a.second < b.second; });
      if (next == ends.end() || next->second > until)
        break;
      now = next->second;
      RC_ASSERT(now <= deadlines[next->first]);
      RC_ASSERT(it.Queue.finish(next->first, 1));
      ends.erase(next);
    }
    now = until;
  };
  auto offers = *rc::gen::inRange<uint64_t>(1, 120);
  for (uint64_t i = 1; i <= offers; ++i) {
    advance(now + millis(*rc::gen::inRange(0, 400)));
    RunRequest run = makeRun(i, *rc::gen::inRange<uint64_t>(1, 4),
                             millis(*rc::gen::inRange(0, 500)),
                             millis(*rc::gen::inRange(1, 1'500)),
                             now + millis(*rc::gen::inRange(0, 8'000)),
                             *rc::gen::inRange<uint8_t>(3, 7));
    run.ContextReady = now + millis(*rc::gen::inRange(0, 300));
    deadlines[run.Id] = run.Deadline;
    it.offer(run, now);
    advance(now);
  }
  advance(now + millis(1'000'000));
  RC_ASSERT(it.Queue.waiting() == 0U);
}

namespace {

/// Simulates an engine that prefills one run after another and decodes runs
/// concurrently. Each prefill and decode takes 50 to 100 % of its predicted
/// time.
class SerialEngine {
public:
  explicit SerialEngine(Fixture &fixture) : Agent(fixture) {}

  void advance(TimePoint until) {
    for (;;) {
      startAll();
      auto next = std::min_element(
          Steps.begin(), Steps.end(),
          [](const Step &a, const Step &b) { return a.At < b.At; });
      if (next == Steps.end() || next->At > until)
        break;
      Step step = *next;
      Steps.erase(next);
      Now = step.At;
      handle(step);
    }
    Now = until;
  }
  void offer(const RunRequest &run) {
    if (Agent.offer(run, Now).accepted())
      Steps.push_back({run.ContextReady, run, Step::Fetched});
  }
  TimePoint Now = Epoch;

private:
  struct Step {
    TimePoint At;
    RunRequest Run;
    enum { Fetched, Prefilled, Finished } Type;
  };

  void handle(const Step &step) {
    const RunRequest &run = step.Run;
    if (step.Type == Step::Prefilled) {
      Agent.Queue.markPrefilled(run.Id, run.AttemptNumber);
      Steps.push_back({Now + drawActualTime(run.Decode), run, Step::Finished});
    } else if (step.Type == Step::Finished) {
      RC_ASSERT(Now <= run.Deadline);
      RC_ASSERT(Agent.Queue.finish(run.Id, run.AttemptNumber));
    }
  }
  void startAll() {
    while (auto run = Agent.Queue.start(Now))
      Steps.push_back(
          {Now + drawActualTime(run->Prefill), *run, Step::Prefilled});
  }
  static Duration drawActualTime(Duration predicted) {
    return predicted * *rc::gen::inRange(50, 101) / 100;
  }

  Fixture &Agent;
  std::vector<Step> Steps;
};

} // namespace

/// All accepted requests end before their deadlines on an engine that prefills
/// one run after another, even if runs take less time than predicted and runs
/// overtake others whose context has not been fetched yet.
RC_GTEST_PROP(Acceptance, AcceptedRequestsMeetTheirDeadlinesOnASerialEngine,
              ()) {
  Fixture it(*rc::gen::inRange<uint32_t>(1, 6), 1);
  SerialEngine engine(it);
  auto offers = *rc::gen::inRange<uint64_t>(1, 100);
  for (uint64_t i = 1; i <= offers; ++i) {
    engine.advance(engine.Now + millis(*rc::gen::inRange(0, 300)));
    RunRequest run = makeRun(i, *rc::gen::inRange<uint64_t>(1, 4),
                             millis(*rc::gen::inRange(0, 500)),
                             millis(*rc::gen::inRange(1, 1'500)),
                             engine.Now + millis(*rc::gen::inRange(0, 8'000)),
                             *rc::gen::inRange<uint8_t>(3, 7));
    run.ContextReady = engine.Now + millis(*rc::gen::inRange(0, 600));
    engine.offer(run);
  }
  engine.advance(engine.Now + millis(1'000'000));
  RC_ASSERT(it.Queue.waiting() == 0U);
}

TEST(Acceptance, RefusalsHaveAKindAndARetryTime) {
  Fixture it(1);
  auto tooShort =
      it.offer(makeRun(1, 1, millis(100), millis(900), at(999)), Epoch);
  EXPECT_EQ(tooShort.Reason.Kind, ErrorKind::DeadlineTooShort);
  ASSERT_TRUE(
      it.offer(makeRun(2, 1, millis(100), millis(900), at(1'000)), Epoch)
          .accepted());
  it.Queue.start(Epoch);
  auto full =
      it.offer(makeRun(3, 2, millis(100), millis(900), at(1'500)), Epoch);
  EXPECT_EQ(full.Reason.Kind, ErrorKind::Overloaded);
  EXPECT_EQ(full.Reason.RetryAfter, millis(500));
  EXPECT_EQ(full.Wait, millis(1'000));
}

TEST(Acceptance, RefusesAWaitBeyondTheWaitLimit) {
  Fixture it(1);
  ASSERT_TRUE(
      it.offer(makeRun(1, 1, millis(100), millis(900), at(9'000)), Epoch)
          .accepted());
  it.Queue.start(Epoch);
  RunRequest run = makeRun(2, 2, millis(100), millis(100), at(9'000));
  run.WaitLimit = millis(600);
  auto refused = it.offer(run, Epoch);
  EXPECT_EQ(refused.Reason.Kind, ErrorKind::Overloaded);
  EXPECT_EQ(refused.Reason.RetryAfter, millis(400));
  run.WaitLimit = millis(1'000);
  EXPECT_TRUE(it.offer(run, Epoch).accepted());
}

TEST(Acceptance, DoesNotMakeAnAcceptedRequestLate) {
  Fixture it(1);
  ASSERT_TRUE(
      it.offer(makeRun(1, 1, millis(0), millis(1'000), at(1'000)), Epoch)
          .accepted());
  it.Queue.start(Epoch);
  ASSERT_TRUE(
      it.offer(makeRun(2, 1, millis(0), millis(1'000), at(2'100)), Epoch)
          .accepted());
  // Request 3 has a higher priority, so it would run before request 2 and make
  // that one late.
  auto urgent =
      it.offer(makeRun(3, 2, millis(0), millis(200), at(9'000), 9), Epoch);
  EXPECT_EQ(urgent.Reason.Kind, ErrorKind::Overloaded);
  EXPECT_EQ(urgent.LateRequest, (RequestId{1, 2}));
  EXPECT_TRUE(
      it.offer(makeRun(4, 2, millis(0), millis(100), at(9'000), 9), Epoch)
          .accepted());
}

TEST(Acceptance, LowPrioritiesAreShedFirst) {
  Fixture it(1);
  ASSERT_TRUE(
      it.offer(makeRun(1, 1, millis(0), millis(16'000), at(90'000)), Epoch)
          .accepted());
  it.Queue.start(Epoch);
  auto low =
      it.offer(makeRun(2, 2, millis(0), millis(10), at(90'000), 0), Epoch);
  EXPECT_EQ(low.Reason.Kind, ErrorKind::Overloaded);
  EXPECT_TRUE(
      it.offer(makeRun(3, 2, millis(0), millis(10), at(90'000), 5), Epoch)
          .accepted());
}

/// One organisation overloads a server while others request half of its
/// capacity. Most requests of the others must still be accepted, and no
/// accepted request may be late.
TEST(Acceptance, AnOverloadingOrganisationDoesNotStarveOthers) {
  Fixture it(4);
  std::map<uint64_t, uint64_t> refused;
  std::map<uint64_t, uint64_t> offered;
  std::map<RequestId, TimePoint> ends;
  for (uint64_t i = 1; i <= 6'000; ++i) {
    TimePoint now = at(static_cast<int64_t>(i) * 20);
    std::erase_if(ends, [&](const auto &run) {
      return run.second <= now && it.Queue.finish(run.first, 1);
    });
    // Organisation 9 sends 45 requests/s, and five others send 5 requests/s
    // together; the server can run 10 requests/s.
    uint64_t organisation = i % 10 == 0 ? 1 + i / 10 % 5 : 9;
    RunRequest run =
        makeRun(i, organisation, millis(100), millis(300), now + millis(5'000));
    run.ContextReady = now;
    ++offered[organisation];
    if (!it.offer(run, now).accepted()) {
      it.Queue.recordRefused(run, now);
      ++refused[organisation];
    }
    while (auto next = it.Queue.start(now)) {
      ends[next->Id] = now + next->service();
      EXPECT_LE(ends[next->Id], next->Deadline + millis(20));
    }
  }
  for (uint64_t organisation = 1; organisation <= 5; ++organisation)
    EXPECT_LE(refused[organisation], offered[organisation] / 10)
        << organisation;
  EXPECT_GT(refused[9], offered[9] * 3 / 4);
}

TEST(Acceptance, RerunReserveIsAtMostHalfAndZeroIfNotIdempotent) {
  EXPECT_EQ(rerunReserve(true, millis(1'000), millis(300)), millis(300));
  EXPECT_EQ(rerunReserve(true, millis(1'000), millis(700)), millis(500));
  EXPECT_EQ(rerunReserve(false, millis(1'000), millis(300)), millis(0));
}

TEST(Predictor, UnfinishedPrefillsRaiseThePrediction) {
  ServerPredictor it({});
  for (int i = 0; i < 50; ++i)
    it.observePrefill(1'000, millis(100));
  Duration before = it.prefill(1'000);
  EXPECT_GE(before, millis(100));
  EXPECT_LE(before, millis(110));
  for (int i = 0; i < 20; ++i)
    it.observeUnfinishedPrefill(1'000, millis(1'000));
  EXPECT_GE(it.prefill(1'000), millis(1'000));
}

} // namespace daisytack
