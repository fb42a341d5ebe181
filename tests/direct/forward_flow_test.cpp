#include "direct/flow_harness.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace daisytack::direct {
namespace {

using Lines = std::vector<std::string>;

TEST(ForwardFlow, ForwardsAnAnswer) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1));
  it.Flow.start(FlowStart);
  it.answer(1, headOf(200), "body");
  EXPECT_EQ(it.Log, (Lines{"send s1", "answer 200 body", "ended"}));
}

TEST(ForwardFlow, SendsTheRemainingTimeToTheServer) {
  FlowHarness it(routeFor(RouteKind::Idempotent, 2));
  it.Flow.start(FlowStart);
  it.failAttempt(1, FlowStart + 1s);
  ASSERT_EQ(it.SentOrders.size(), 2);
  EXPECT_EQ(it.SentOrders[0].TimeLeft, 3s);
  EXPECT_EQ(it.SentOrders[1].TimeLeft, 2s);
}

/// Guards against attempts that begin on weights past the rollout limit because
/// they waited for longer than predicted.
TEST(ForwardFlow, MovesAnAttemptThatHasNotBegunInTime) {
  FlowHarness it(routeFor(RouteKind::Idempotent, 2));
  it.BeginLimit = FlowStart + 200ms;
  it.Flow.start(FlowStart);
  EXPECT_EQ(it.TimerAt, FlowStart + 200ms);
  it.Flow.onTimer(FlowStart + 199ms);
  EXPECT_EQ(it.Log, (Lines{"send s1"}));
  it.BeginLimit = std::nullopt;
  it.Flow.onTimer(FlowStart + 200ms);
  EXPECT_EQ(it.Log, (Lines{"send s1"}));
  it.BeginLimit = FlowStart + 200ms;
  it.Flow.onTimer(FlowStart + 200ms);
  EXPECT_EQ(it.takeLog(), (Lines{"send s1", "cancel 1", "send s2"}));
  EXPECT_EQ(it.Results, (std::vector{AttemptResult::Expired}));
  it.Flow.onDone(1, {}, false, FlowStart + 210ms); // Late.
  it.BeginLimit = std::nullopt;
  it.answer(2, headOf(200), "body", FlowStart + 220ms);
  EXPECT_EQ(it.Log, (Lines{"answer 200 body", "ended"}));
}

TEST(ForwardFlow, EndsANonIdempotentAttemptThatHasNotBegunInTime) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 3));
  it.BeginLimit = FlowStart + 200ms;
  it.Flow.start(FlowStart);
  it.Flow.onTimer(FlowStart + 200ms);
  // The server may have begun it at that moment.
  EXPECT_EQ(it.Log, (Lines{"send s1", "cancel 1", "error 502", "ended"}));
  EXPECT_EQ(it.LastError.Kind, ErrorKind::WeightsOutdated);
}

/// The limit concerns the beginning only: what has begun in time goes on.
TEST(ForwardFlow, LetsAnAttemptThatHasBegunGoOnPastTheLimit) {
  FlowHarness it(routeFor(RouteKind::Stream, 1));
  it.BeginLimit = FlowStart + 200ms;
  it.Flow.start(FlowStart);
  it.Flow.onHead(1, headOf(200), FlowStart + 150ms);
  EXPECT_EQ(it.TimerAt, FlowStart + 3s);
  it.Flow.onTimer(FlowStart + 200ms);
  it.Flow.onDone(1, {}, false, FlowStart + 900ms);
  EXPECT_EQ(it.FinalAnswers, 1);
  EXPECT_EQ(it.Results, (std::vector{AttemptResult::Answered}));
}

/// An attempt on current weights becomes one on outdated weights when a newer
/// version is named while it waits.
TEST(ForwardFlow, HeedsALimitThatArisesWhileTheAttemptWaits) {
  FlowHarness it(routeFor(RouteKind::Idempotent, 2));
  it.Flow.start(FlowStart);
  it.BeginLimit = FlowStart + 200ms;
  it.Flow.onBeginLimitsChanged(FlowStart + 100ms);
  EXPECT_EQ(it.TimerAt, FlowStart + 200ms);
}

TEST(ForwardFlow, NeverRetriesANonIdempotentRequestThatMayHaveRun) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 3));
  it.Flow.start(FlowStart);
  it.failAttempt(1);
  EXPECT_EQ(it.Log, (Lines{"send s1", "error 502", "ended"}));
}

/// Callers take these statuses as a promise that the request did not run. They
/// are not forwarded when the server did not state that it did not run it.
TEST(ForwardFlow, HidesANotRunStatusThatTheServerDidNotConfirm) {
  for (unsigned status : {408U, 421U, 429U, 503U}) {
    FlowHarness it(routeFor(RouteKind::NonIdempotent, 3));
    it.Flow.start(FlowStart);
    it.answer(1, headOf(status), "no");
    EXPECT_EQ(it.FinalStatus, 502) << status;
    EXPECT_EQ(it.SentOrders.size(), 1) << status;
  }
}

TEST(ForwardFlow, ForwardsAServerError) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1));
  it.Flow.start(FlowStart);
  it.answer(1, headOf(500), "oops");
  EXPECT_TRUE(it.hasLogged("answer 500 oops"));
}

TEST(ForwardFlow, TriesAnotherServerWhenOneRejectsTheRequest) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1));
  it.Flow.start(FlowStart);
  it.answer(1, headOf(503, true));
  it.answer(2, headOf(200), "body");
  EXPECT_EQ(it.Log, (Lines{"send s1", "send s2", "answer 200 body", "ended"}));
}

/// A misdirected request is no sign of load: the address belongs to another
/// instance now, or the weights have changed.
TEST(ForwardFlow, DistinguishesMisdirectedFromRejectedRequests) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1));
  it.Flow.start(FlowStart);
  it.answer(1, headOf(421, true));
  it.answer(2, headOf(503, true));
  it.answer(3, headOf(200), "body");
  EXPECT_EQ(it.Results,
            (std::vector{AttemptResult::Misdirected, AttemptResult::TurnedAway,
                         AttemptResult::Answered}));
}

TEST(ForwardFlow, RefusesWithARetryAfterTimeWhenAllServersReject) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1), 2);
  it.Flow.start(FlowStart);
  ServerHead rejection = headOf(503, true);
  rejection.RetryAfter = 2s;
  it.answer(1, rejection);
  it.answer(2, headOf(429, true));
  EXPECT_EQ(it.FinalStatus, 503);
  EXPECT_EQ(it.LastError.RetryAfter, 2s);
}

/// Guards against: one server with a long retry-after time delays the caller's
/// retry, although another server accepts requests sooner.
TEST(ForwardFlow, ReturnsTheSoonestRetryAfterTimeOfTheServers) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1), 2);
  it.Flow.start(FlowStart);
  for (Duration after : {Duration(1s), Duration(60s)}) {
    ServerHead rejection = headOf(503, true);
    rejection.RetryAfter = after;
    it.answer(it.Flow.attempts(), rejection);
  }
  EXPECT_EQ(it.LastError.RetryAfter, 1s);
}

TEST(ForwardFlow, ReturnsTheDefaultRetryAfterTimeWhenServersAreLeft) {
  ForwardSettings settings;
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1), 9, settings);
  it.Flow.start(FlowStart);
  ServerHead rejection = headOf(503, true);
  rejection.RetryAfter = 60s;
  for (uint32_t i = 0; i <= settings.MaxRejections; ++i)
    it.answer(it.Flow.attempts(), rejection);
  EXPECT_EQ(it.LastError.RetryAfter, settings.DefaultRetryAfter);
}

TEST(ForwardFlow, RefusesAtOnceWithoutAServer) {
  FlowHarness it(routeFor(RouteKind::Stream, 1), 0);
  it.Flow.start(FlowStart);
  EXPECT_EQ(it.Log, (Lines{"error 503", "ended"}));
  EXPECT_GT(it.LastError.RetryAfter, Duration::zero());
}

/// A retry-after time in the reason for a refusal replaces the default.
TEST(ForwardFlow, ReturnsTheRetryAfterTimeOfTheReason) {
  FlowHarness it(routeFor(RouteKind::Stream, 1), 0);
  it.NoServerError.RetryAfter = 90ms;
  it.Flow.start(FlowStart);
  EXPECT_EQ(it.FinalStatus, 503);
  EXPECT_EQ(it.LastError.RetryAfter, 90ms);
}

TEST(ForwardFlow, RefusesWhenTheRetryBudgetIsSpent) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1));
  it.HasRetryBudget = false;
  it.Flow.start(FlowStart);
  it.answer(1, headOf(503, true));
  EXPECT_EQ(it.FinalStatus, 503);
  EXPECT_EQ(it.SentOrders.size(), 1);
}

TEST(ForwardFlow, NeedsNoRetryBudgetWhenNothingWasSent) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1));
  it.HasRetryBudget = false;
  it.Flow.start(FlowStart);
  it.Flow.onDone(1, {ErrorKind::ServiceUnavailable, "no connection"}, true,
                 FlowStart);
  it.answer(2, headOf(200), "body");
  EXPECT_TRUE(it.hasLogged("answer 200 body"));
}

TEST(ForwardFlow, RetriesAnIdempotentRequestUpToTheAttemptLimit) {
  FlowHarness it(routeFor(RouteKind::Idempotent, 2));
  it.Flow.start(FlowStart);
  it.answer(1, headOf(500), "first");
  it.answer(2, headOf(500), "second");
  EXPECT_EQ(it.SentOrders.size(), 2);
  EXPECT_TRUE(it.hasLogged("answer 500 second"));
}

TEST(ForwardFlow, ForwardsWholeEventsAsTheyArrive) {
  FlowHarness it(routeFor(RouteKind::Stream, 1));
  it.Flow.start(FlowStart);
  it.Flow.onHead(1, headOf(200), FlowStart);
  it.Flow.onData(1, "id: 1\n", FlowStart);
  EXPECT_EQ(it.takeLog(), Lines{"send s1"});
  it.Flow.onData(1, "\nid: 2", FlowStart);
  EXPECT_EQ(it.takeLog(), (Lines{"begin 200", "write id: 1\n\n"}));
  it.Flow.onData(1, "\n\n", FlowStart);
  it.Flow.onDone(1, {}, false, FlowStart);
  EXPECT_EQ(it.takeLog(), (Lines{"write id: 2\n\n", "end", "ended"}));
}

TEST(ForwardFlow, AbortsAStreamThatCannotBeResumed) {
  FlowHarness it(routeFor(RouteKind::Stream, 3));
  it.Flow.start(FlowStart);
  it.Flow.onHead(1, headOf(200), FlowStart);
  it.Flow.onData(1, "id: 1\n\nid: 2", FlowStart);
  it.failAttempt(1);
  EXPECT_EQ(it.Log, (Lines{"send s1", "begin 200", "write id: 1\n\n", "break",
                           "ended"}));
}

TEST(ForwardFlow, ResumesAStreamAfterTheLastWholeEvent) {
  Route route = routeFor(RouteKind::Stream, 2);
  route.IsResumable = true;
  FlowHarness it(route);
  it.Flow.start(FlowStart);
  it.Flow.onHead(1, headOf(200), FlowStart);
  it.Flow.onData(1, "id: 1\n\nid: 2\n\nid: 3", FlowStart);
  it.failAttempt(1);
  ASSERT_EQ(it.SentOrders.size(), 2);
  EXPECT_EQ(it.SentOrders[1].LastEventId, "2");
  it.answer(2, headOf(200), "id: 3\n\n");
  EXPECT_EQ(it.Log, (Lines{"send s1", "begin 200", "write id: 1\n\nid: 2\n\n",
                           "send s2", "write id: 3\n\n", "end", "ended"}));
}

/// Guards against a stream that goes on with bytes without end which are no
/// events, from a server that answers without a content type.
TEST(ForwardFlow, PassesOnNoEndlessBytesAfterTheEventsOfAnotherServer) {
  Route route = routeFor(RouteKind::Stream, 2);
  route.IsResumable = true;
  FlowHarness it(route);
  it.Flow.start(FlowStart);
  it.Flow.onHead(1, headOf(200), FlowStart);
  it.Flow.onData(1, "id: 1\n\n", FlowStart);
  it.failAttempt(1);
  it.Flow.onHead(2, headOf(200), FlowStart);
  for (int i = 0; i < 100 && !it.Flow.isEnded(); ++i)
    it.Flow.onData(2, std::string(10'000, 'x'), FlowStart);
  EXPECT_EQ(it.Log, (Lines{"send s1", "begin 200", "write id: 1\n\n", "send s2",
                           "cancel 2", "break", "ended"}));
}

TEST(ForwardFlow, ForwardsTheLastEventIdOfTheCaller) {
  Route route = routeFor(RouteKind::Stream, 2);
  route.IsResumable = true;
  ForwardRequest request = FlowHarness::requestFor(route);
  FlowHarness it(route);
  request.Head.LastEventId = "9";
  std::optional<std::string> seen;
  ForwardHooks hooks;
  hooks.ChooseServer = [](const auto &, TimePoint, Error &) {
    return std::optional<AttemptChoice>(AttemptChoice{});
  };
  hooks.SendAttempt = [&](uint32_t, const AttemptOrder &order) {
    seen = order.LastEventId;
  };
  hooks.BeginLimit = [](const AttemptOrder &) { return std::nullopt; };
  hooks.ArmTimer = [](TimePoint) {};
  ForwardFlow flow(request, {}, hooks);
  flow.start(FlowStart);
  EXPECT_EQ(seen, "9");
}

TEST(ForwardFlow, AnswersAtTheDeadline) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1));
  it.Flow.start(FlowStart);
  EXPECT_EQ(it.TimerAt, FlowStart + 3s);
  it.Flow.onTimer(FlowStart + 3s);
  EXPECT_EQ(it.Log, (Lines{"send s1", "cancel 1", "error 504", "ended"}));
}

TEST(ForwardFlow, AbortsAStreamAtTheDeadline) {
  FlowHarness it(routeFor(RouteKind::Stream, 1));
  it.Flow.start(FlowStart);
  it.Flow.onHead(1, headOf(200), FlowStart);
  it.Flow.onData(1, "id: 1\n\n", FlowStart);
  it.Flow.onTimer(FlowStart + 3s);
  EXPECT_TRUE(it.hasLogged("cancel 1"));
  EXPECT_TRUE(it.hasLogged("break"));
}

TEST(ForwardFlow, MovesAnIdempotentRequestFromASilentServer) {
  ForwardSettings settings;
  settings.ResponseTimeoutFactor = 2;
  FlowHarness it(routeFor(RouteKind::Idempotent, 2), 3, settings);
  it.Flow.start(FlowStart);
  EXPECT_EQ(it.TimerAt, FlowStart + 600ms);
  it.Flow.onTimer(FlowStart + 600ms);
  EXPECT_EQ(it.Log, (Lines{"send s1", "cancel 1", "send s2"}));
  EXPECT_EQ(it.TimerAt, FlowStart + 3s); // No attempt is left after this one.
}

/// Guards against: moving a request away from an unresponsive server used two
/// requests of the quota of a server in slow start or with a rate limit.
TEST(ForwardFlow, ChoosesAServerOnceForEachAttempt) {
  FlowHarness it(routeFor(RouteKind::Idempotent, 2));
  it.Flow.start(FlowStart);
  it.Flow.onTimer(FlowStart + 2s);
  EXPECT_EQ(it.SentOrders.size(), 2);
  EXPECT_EQ(it.ChoiceCount, 2);
  // The first attempt has ended before the second choice, so the second may
  // save the same context.
  EXPECT_EQ(it.ChoicesAtAttemptEnd, std::vector<size_t>{1});
}

TEST(ForwardFlow, WaitsForASilentServerWhenNoOtherIsLeft) {
  FlowHarness it(routeFor(RouteKind::Idempotent, 2), 1);
  it.Flow.start(FlowStart);
  it.Flow.onTimer(FlowStart + 2s);
  EXPECT_EQ(it.Log, Lines{"send s1"});
  it.answer(1, headOf(200), "late", FlowStart + 2500ms);
  EXPECT_TRUE(it.hasLogged("answer 200 late"));
}

/// Guards against requests that wait for a vanished server until their
/// deadline.
TEST(ForwardFlow, MovesARepeatableRequestFromALostServer) {
  FlowHarness it(routeFor(RouteKind::Idempotent, 2));
  it.Flow.start(FlowStart);
  it.Flow.onServerLost(FlowStart + 600ms);
  EXPECT_EQ(it.takeLog(), (Lines{"send s1", "cancel 1", "send s2"}));
  EXPECT_EQ(it.Results, (std::vector{AttemptResult::ServerLost}));
  it.Flow.onServerLost(FlowStart + 1s);
  EXPECT_EQ(it.Log, (Lines{"cancel 2", "error 502", "ended"}));
  it.Flow.onServerLost(FlowStart + 1s);
  EXPECT_EQ(it.FinalAnswers, 1);
}

/// The server may have run the request before it vanished.
TEST(ForwardFlow, NeverRepeatsANonIdempotentRequestOfALostServer) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 3));
  it.Flow.start(FlowStart);
  it.Flow.onServerLost(FlowStart + 600ms);
  EXPECT_EQ(it.Log, (Lines{"send s1", "cancel 1", "error 502", "ended"}));
}

TEST(ForwardFlow, MovesFromALostServerWithinTheRetryBudget) {
  FlowHarness it(routeFor(RouteKind::Idempotent, 2));
  it.HasRetryBudget = false;
  it.Flow.start(FlowStart);
  it.Flow.onServerLost(FlowStart + 600ms);
  EXPECT_EQ(it.Log, (Lines{"send s1", "cancel 1", "error 502", "ended"}));
}

TEST(ForwardFlow, ResumesTheStreamOfALostServerOrAbortsIt) {
  for (bool isResumable : {true, false}) {
    Route route = routeFor(RouteKind::Stream, 2);
    route.IsResumable = isResumable;
    FlowHarness it(route);
    it.Flow.start(FlowStart);
    ServerHead head = headOf(200);
    head.IsEventStream = true;
    it.Flow.onHead(1, head, FlowStart);
    it.Flow.onData(1, "id: 1\ndata: a\n\n", FlowStart);
    it.Flow.onServerLost(FlowStart + 600ms);
    EXPECT_EQ(it.hasLogged("send s2"), isResumable);
    EXPECT_EQ(it.hasLogged("break"), !isResumable);
  }
}

TEST(ForwardFlow, CancelsTheAttemptWhenTheCallerLeaves) {
  FlowHarness it(routeFor(RouteKind::Stream, 1));
  it.Flow.start(FlowStart);
  it.Flow.onCallerGone(FlowStart);
  EXPECT_EQ(it.Log, (Lines{"send s1", "cancel 1", "ended"}));
  EXPECT_EQ(it.Results, std::vector{AttemptResult::Abandoned});
}

TEST(ForwardFlow, AnswersBeforeTheProcessEnds) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1));
  it.Flow.start(FlowStart);
  it.Flow.onProcessEnd(FlowStart + 1s);
  EXPECT_TRUE(it.hasLogged("cancel 1"));
  EXPECT_EQ(it.FinalStatus, 502U); // It may have run.
  EXPECT_EQ(it.FinalAnswers, 1U);
  it.Flow.onProcessEnd(FlowStart + 2s);
  EXPECT_EQ(it.FinalAnswers, 1U);
}

TEST(ForwardFlow, ContinuesAnAnswerThatHasBegunWhenTheProcessEnds) {
  FlowHarness it(routeFor(RouteKind::Stream, 1));
  it.Flow.start(FlowStart);
  it.Flow.onHead(1, headOf(200), FlowStart);
  it.Flow.onData(1, "id: 1\ndata: a\n\n", FlowStart);
  it.Flow.onProcessEnd(FlowStart + 1s);
  EXPECT_FALSE(it.hasLogged("break"));
  it.Flow.onDone(1, {}, false, FlowStart + 1s);
  EXPECT_TRUE(it.hasLogged("end"));
}

TEST(ForwardFlow, IgnoresAnswersToAnEarlierAttempt) {
  FlowHarness it(routeFor(RouteKind::Idempotent, 2));
  it.Flow.start(FlowStart);
  it.failAttempt(1);
  it.answer(1, headOf(200), "crossed");
  EXPECT_FALSE(it.hasLogged("answer 200 crossed"));
  it.answer(2, headOf(200), "own");
  EXPECT_TRUE(it.hasLogged("answer 200 own"));
  EXPECT_EQ(it.FinalAnswers, 1);
}

TEST(ForwardFlow, StreamsALongAnswerInsteadOfBufferingIt) {
  ForwardSettings settings;
  settings.MaxBufferedAnswerBytes = 8;
  FlowHarness it(routeFor(RouteKind::Idempotent, 2), 3, settings);
  it.Flow.start(FlowStart);
  it.Flow.onHead(1, headOf(200), FlowStart);
  it.Flow.onData(1, "0123456789", FlowStart);
  EXPECT_TRUE(it.hasLogged("begin 200"));
  it.failAttempt(1);
  EXPECT_TRUE(it.hasLogged("break"));
}

// Guards against the loss of what follows the last full buffer of an answer.
TEST(ForwardFlow, PassesOnTheLastPartOfALongAnswer) {
  ForwardSettings settings;
  settings.MaxBufferedAnswerBytes = 8;
  FlowHarness it(routeFor(RouteKind::Idempotent, 2), 3, settings);
  it.Flow.start(FlowStart);
  it.Flow.onHead(1, headOf(200), FlowStart);
  it.Flow.onData(1, "0123456789", FlowStart);
  it.Flow.onData(1, "last", FlowStart);
  it.takeLog();
  it.Flow.onDone(1, {}, false, FlowStart);
  std::vector<std::string> log = it.takeLog();
  ASSERT_GE(log.size(), 2U);
  EXPECT_EQ(log[0], "write last");
  EXPECT_EQ(log[1], "end");
  EXPECT_TRUE(it.Flow.isEnded());
  // A pause that the write begins has to end with the attempt: a server would
  // count as paused for good otherwise.
  EXPECT_EQ(it.ResultsAtWrite, 0U);
}

// Guards against errors of servers that are replaced, and requests that are
// sent again, because the entry is short of memory.
TEST(ForwardFlow, PassesOnAWholeErrorWhileMemoryIsShort) {
  FlowHarness it(routeFor(RouteKind::Idempotent, 2));
  it.BufferLimit = 8;
  it.Flow.start(FlowStart);
  it.answer(1, headOf(409), "0123456789");
  EXPECT_EQ(it.FinalStatus, 409);
  EXPECT_TRUE(it.hasLogged("answer 409 0123456789"));
  EXPECT_EQ(it.SentOrders.size(), 1U);
}

TEST(ForwardFlow, BeginsASuccessEarlyWhileMemoryIsShort) {
  FlowHarness it(routeFor(RouteKind::Idempotent, 2));
  it.BufferLimit = 8;
  it.Flow.start(FlowStart);
  it.Flow.onHead(1, headOf(200), FlowStart);
  it.Flow.onData(1, "0123456789", FlowStart);
  EXPECT_TRUE(it.hasLogged("begin 200"));
}

TEST(ForwardFlow, LimitsTheBufferedPartOfAnErrorAnswer) {
  ForwardSettings settings;
  settings.MaxBufferedAnswerBytes = 8;
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1), 3, settings);
  it.Flow.start(FlowStart);
  it.Flow.onHead(1, headOf(500), FlowStart);
  it.Flow.onData(1, "0123456789", FlowStart);
  EXPECT_EQ(it.FinalStatus, 502);
  EXPECT_TRUE(it.hasLogged("cancel 1"));
}

/// Whatever the servers do, in any order: the caller gets at most one final
/// answer, a non-idempotent request runs at most once, and a status that
/// promises "not run" is true.
RC_GTEST_PROP(ForwardFlow, KeepsItsGuarantees, ()) {
  auto kind = *rc::gen::element(RouteKind::Idempotent, RouteKind::NonIdempotent,
                                RouteKind::Stream);
  Route route = routeFor(kind, *rc::gen::inRange(1U, 4U));
  route.IsResumable = *rc::gen::arbitrary<bool>();
  FlowHarness it(route, *rc::gen::inRange<size_t>(0, 5));
  TimePoint now = FlowStart;
  std::set<uint32_t> ran;
  std::set<uint32_t> ended;
  it.Flow.start(now);
  for (int step = 0; step < 25 && !it.Flow.isEnded(); ++step) {
    it.HasRetryBudget = *rc::gen::arbitrary<bool>();
    now += Duration(*rc::gen::inRange(0, 400'000));
    uint32_t n = it.Flow.attempts();
    if (n == 0)
      break;
    uint32_t attempt = *rc::gen::inRange(1U, n + 1);
    bool isCurrent = attempt == n && !ended.contains(n);
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
      if (isCurrent)
        ran.insert(attempt);
      it.Flow.onHead(attempt, headOf(*rc::gen::element(200U, 500U, 503U)), now);
      it.Flow.onData(attempt, "id: 1\n\n", now);
      break;
    case 1:
      it.Flow.onDone(attempt, {}, false, now);
      ended.insert(attempt);
      break;
    case 2:
      if (isCurrent && !ran.contains(attempt)) {
        it.Flow.onHead(attempt, headOf(503, true), now);
        it.Flow.onDone(attempt, {}, false, now);
        ended.insert(attempt);
      }
      break;
    case 3:
      if (isCurrent)
        ran.insert(attempt);
      it.failAttempt(attempt, now);
      ended.insert(attempt);
      break;
    case 4:
      if (isCurrent && !ran.contains(attempt)) {
        it.Flow.onDone(attempt, {ErrorKind::ServiceUnavailable, ""}, true, now);
        ended.insert(attempt);
      }
      break;
    case 5:
      it.Flow.onTimer(now);
      break;
    default:
      if (isCurrent && *rc::gen::inRange(0, 10) == 0)
        it.Flow.onCallerGone(now);
    }
  }
  if (!it.Flow.isEnded())
    it.Flow.onTimer(FlowStart + 10s);
  if (!it.Flow.isEnded()) {
    now = FlowStart + 10s;
    it.failAttempt(it.Flow.attempts(), now);
  }
  RC_ASSERT(it.Flow.isEnded());
  RC_ASSERT(it.FinalAnswers <= 1U);
  if (!route.mayRepeat())
    RC_ASSERT(ran.size() <= 1U);
  if (!route.mayRepeat() && promisesNotRun(it.FinalStatus))
    RC_ASSERT(ran.empty());
  RC_ASSERT(ran.size() <= route.Attempts);
}

} // namespace
} // namespace daisytack::direct
