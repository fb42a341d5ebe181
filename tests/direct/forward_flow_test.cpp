#include "direct/flow_harness.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace daisytack::direct {
namespace {

using Words = std::vector<std::string>;

TEST(ForwardFlow, PassesAnAnswerOn) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1));
  it.Flow.start(FlowStart);
  it.answer(1, headOf(200), "body");
  EXPECT_EQ(it.Log, (Words{"send s1", "answer 200 body", "ended"}));
}

TEST(ForwardFlow, TellsTheServerWhatIsLeftOfTheTime) {
  FlowHarness it(routeFor(RouteKind::Idempotent, 2));
  it.Flow.start(FlowStart);
  it.lose(1, FlowStart + 1s);
  ASSERT_EQ(it.Sent.size(), 2);
  EXPECT_EQ(it.Sent[0].TimeLeft, 3s);
  EXPECT_EQ(it.Sent[1].TimeLeft, 2s);
}

TEST(ForwardFlow, NeverRepeatsANonIdempotentRequestThatMayHaveRun) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 3));
  it.Flow.start(FlowStart);
  it.lose(1);
  EXPECT_EQ(it.Log, (Words{"send s1", "error 502", "ended"}));
}

/// A server's 503 promises nothing unless it says that it did not run the
/// request; passing it on would promise that.
TEST(ForwardFlow, DoesNotPassOnAPromiseThatTheServerDidNotGive) {
  for (unsigned status : {408U, 421U, 429U, 503U}) {
    FlowHarness it(routeFor(RouteKind::NonIdempotent, 3));
    it.Flow.start(FlowStart);
    it.answer(1, headOf(status), "no");
    EXPECT_EQ(it.FinalStatus, 502) << status;
    EXPECT_EQ(it.Sent.size(), 1) << status;
  }
}

TEST(ForwardFlow, PassesOnAServersOwnFailure) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1));
  it.Flow.start(FlowStart);
  it.answer(1, headOf(500), "oops");
  EXPECT_TRUE(it.did("answer 500 oops"));
}

TEST(ForwardFlow, AsksAnotherServerWhenOneTurnsTheRequestAway) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1));
  it.Flow.start(FlowStart);
  it.answer(1, headOf(503, true));
  it.answer(2, headOf(200), "body");
  EXPECT_EQ(it.Log, (Words{"send s1", "send s2", "answer 200 body", "ended"}));
}

/// The address belongs to another instance now, or the weights have changed:
/// not a sign of load.
TEST(ForwardFlow, TellsAMisdirectedRequestFromOneTurnedAway) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1));
  it.Flow.start(FlowStart);
  it.answer(1, headOf(421, true));
  it.answer(2, headOf(503, true));
  it.answer(3, headOf(200), "body");
  EXPECT_EQ(it.Results,
            (std::vector{AttemptResult::Misdirected, AttemptResult::TurnedAway,
                         AttemptResult::Answered}));
}

TEST(ForwardFlow, RefusesTrulyAndNamesATimeWhenAllTurnItAway) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1), 2);
  it.Flow.start(FlowStart);
  ServerHead full = headOf(503, true);
  full.RetryAfter = 2s;
  it.answer(1, full);
  it.answer(2, headOf(429, true));
  EXPECT_EQ(it.FinalStatus, 503);
  EXPECT_EQ(it.LastError.RetryAfter, 2s);
}

/// One server wants nothing for long; others may be asked again sooner.
TEST(ForwardFlow, NamesTheSoonestTimeOfTheServersThatTurnedItAway) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1), 2);
  it.Flow.start(FlowStart);
  for (Duration after : {Duration(1s), Duration(60s)}) {
    ServerHead full = headOf(503, true);
    full.RetryAfter = after;
    it.answer(it.Flow.attempts(), full);
  }
  EXPECT_EQ(it.LastError.RetryAfter, 1s);
}

TEST(ForwardFlow, NamesNoServersTimeWhereOthersAreLeft) {
  ForwardSettings settings;
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1), 9, settings);
  it.Flow.start(FlowStart);
  ServerHead full = headOf(503, true);
  full.RetryAfter = 60s;
  for (uint32_t i = 0; i <= settings.MaxRejections; ++i)
    it.answer(it.Flow.attempts(), full);
  EXPECT_EQ(it.LastError.RetryAfter, settings.RetryAfter);
}

TEST(ForwardFlow, RefusesAtOnceWithoutAServer) {
  FlowHarness it(routeFor(RouteKind::Stream, 1), 0);
  it.Flow.start(FlowStart);
  EXPECT_EQ(it.Log, (Words{"error 503", "ended"}));
  EXPECT_GT(it.LastError.RetryAfter, Duration::zero());
}

/// The reason of the refusal knows better than the default when to come back.
TEST(ForwardFlow, PassesOnWhenTheReasonSaysToComeBack) {
  FlowHarness it(routeFor(RouteKind::Stream, 1), 0);
  it.NoneLeft.RetryAfter = 90ms;
  it.Flow.start(FlowStart);
  EXPECT_EQ(it.FinalStatus, 503);
  EXPECT_EQ(it.LastError.RetryAfter, 90ms);
}

TEST(ForwardFlow, RefusesWhenTheBudgetForRepeatsIsSpent) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1));
  it.HasBudget = false;
  it.Flow.start(FlowStart);
  it.answer(1, headOf(503, true));
  EXPECT_EQ(it.FinalStatus, 503);
  EXPECT_EQ(it.Sent.size(), 1);
}

TEST(ForwardFlow, TriesAnotherServerFreelyWhenNothingWasSent) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1));
  it.HasBudget = false;
  it.Flow.start(FlowStart);
  it.Flow.onDone(1, {ErrorKind::ServiceUnavailable, "no connection"}, true,
                 FlowStart);
  it.answer(2, headOf(200), "body");
  EXPECT_TRUE(it.did("answer 200 body"));
}

TEST(ForwardFlow, RepeatsAnIdempotentRequestUpToItsAttempts) {
  FlowHarness it(routeFor(RouteKind::Idempotent, 2));
  it.Flow.start(FlowStart);
  it.answer(1, headOf(500), "first");
  it.answer(2, headOf(500), "second");
  EXPECT_EQ(it.Sent.size(), 2);
  EXPECT_TRUE(it.did("answer 500 second"));
}

TEST(ForwardFlow, StreamsWholeEventsAsTheyCome) {
  FlowHarness it(routeFor(RouteKind::Stream, 1));
  it.Flow.start(FlowStart);
  it.Flow.onHead(1, headOf(200), FlowStart);
  it.Flow.onData(1, "id: 1\n", FlowStart);
  EXPECT_EQ(it.take(), Words{"send s1"});
  it.Flow.onData(1, "\nid: 2", FlowStart);
  EXPECT_EQ(it.take(), (Words{"begin 200", "write id: 1\n\n"}));
  it.Flow.onData(1, "\n\n", FlowStart);
  it.Flow.onDone(1, {}, false, FlowStart);
  EXPECT_EQ(it.take(), (Words{"write id: 2\n\n", "end", "ended"}));
}

TEST(ForwardFlow, BreaksAStreamOffThatCannotBeResumed) {
  FlowHarness it(routeFor(RouteKind::Stream, 3));
  it.Flow.start(FlowStart);
  it.Flow.onHead(1, headOf(200), FlowStart);
  it.Flow.onData(1, "id: 1\n\nid: 2", FlowStart);
  it.lose(1);
  EXPECT_EQ(it.Log, (Words{"send s1", "begin 200", "write id: 1\n\n", "break",
                           "ended"}));
}

TEST(ForwardFlow, ResumesAStreamAfterTheLastWholeEvent) {
  Route route = routeFor(RouteKind::Stream, 2);
  route.IsResumable = true;
  FlowHarness it(route);
  it.Flow.start(FlowStart);
  it.Flow.onHead(1, headOf(200), FlowStart);
  it.Flow.onData(1, "id: 1\n\nid: 2\n\nid: 3", FlowStart);
  it.lose(1);
  ASSERT_EQ(it.Sent.size(), 2);
  EXPECT_EQ(it.Sent[1].LastEventId, "2");
  it.answer(2, headOf(200), "id: 3\n\n");
  EXPECT_EQ(it.Log, (Words{"send s1", "begin 200", "write id: 1\n\nid: 2\n\n",
                           "send s2", "write id: 3\n\n", "end", "ended"}));
}

TEST(ForwardFlow, CarriesACallersOwnResumptionOn) {
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
  hooks.ArmTimer = [](TimePoint) {};
  ForwardFlow flow(request, {}, hooks);
  flow.start(FlowStart);
  EXPECT_EQ(seen, "9");
}

TEST(ForwardFlow, EndsAtTheDeadlineAtOnce) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1));
  it.Flow.start(FlowStart);
  EXPECT_EQ(it.TimerAt, FlowStart + 3s);
  it.Flow.onTimer(FlowStart + 3s);
  EXPECT_EQ(it.Log, (Words{"send s1", "cancel 1", "error 504", "ended"}));
}

TEST(ForwardFlow, BreaksAStreamOffAtTheDeadline) {
  FlowHarness it(routeFor(RouteKind::Stream, 1));
  it.Flow.start(FlowStart);
  it.Flow.onHead(1, headOf(200), FlowStart);
  it.Flow.onData(1, "id: 1\n\n", FlowStart);
  it.Flow.onTimer(FlowStart + 3s);
  EXPECT_TRUE(it.did("cancel 1"));
  EXPECT_TRUE(it.did("break"));
}

TEST(ForwardFlow, MovesAnIdempotentRequestAwayFromASilentServer) {
  ForwardSettings settings;
  settings.SilenceFactor = 2;
  FlowHarness it(routeFor(RouteKind::Idempotent, 2), 3, settings);
  it.Flow.start(FlowStart);
  EXPECT_EQ(it.TimerAt, FlowStart + 600ms);
  it.Flow.onTimer(FlowStart + 600ms);
  EXPECT_EQ(it.Log, (Words{"send s1", "cancel 1", "send s2"}));
  EXPECT_EQ(it.TimerAt, FlowStart + 3s); // No attempt is left after this one.
}

/// Guards against: a request that moved away from a silent server used up two
/// requests of a cold or limited server's share.
TEST(ForwardFlow, ChoosesAServerOnceForEachAttempt) {
  FlowHarness it(routeFor(RouteKind::Idempotent, 2));
  it.Flow.start(FlowStart);
  it.Flow.onTimer(FlowStart + 2s);
  EXPECT_EQ(it.Sent.size(), 2);
  EXPECT_EQ(it.Choices, 2);
  // What the first attempt was to save is free to be planned by then.
  EXPECT_EQ(it.ChoicesWhenEnded, std::vector<size_t>{1});
}

TEST(ForwardFlow, WaitsForASilentServerWhenThereIsNoOther) {
  FlowHarness it(routeFor(RouteKind::Idempotent, 2), 1);
  it.Flow.start(FlowStart);
  it.Flow.onTimer(FlowStart + 2s);
  EXPECT_EQ(it.Log, Words{"send s1"});
  it.answer(1, headOf(200), "late", FlowStart + 2500ms);
  EXPECT_TRUE(it.did("answer 200 late"));
}

TEST(ForwardFlow, CancelsWhenTheCallerLeaves) {
  FlowHarness it(routeFor(RouteKind::Stream, 1));
  it.Flow.start(FlowStart);
  it.Flow.onCallerGone(FlowStart);
  EXPECT_EQ(it.Log, (Words{"send s1", "cancel 1", "ended"}));
  EXPECT_EQ(it.Results, std::vector{AttemptResult::Abandoned});
}

TEST(ForwardFlow, IsAnsweredBeforeTheProcessEnds) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1));
  it.Flow.start(FlowStart);
  it.Flow.onProcessEnd(FlowStart + 1s);
  EXPECT_TRUE(it.did("cancel 1"));
  EXPECT_EQ(it.FinalStatus, 502U); // It may have run.
  EXPECT_EQ(it.Finals, 1U);
  it.Flow.onProcessEnd(FlowStart + 2s);
  EXPECT_EQ(it.Finals, 1U);
}

TEST(ForwardFlow, GoesOnWithAnAnswerThatHasBegunWhenTheProcessEndsSoon) {
  FlowHarness it(routeFor(RouteKind::Stream, 1));
  it.Flow.start(FlowStart);
  it.Flow.onHead(1, headOf(200), FlowStart);
  it.Flow.onData(1, "id: 1\ndata: a\n\n", FlowStart);
  it.Flow.onProcessEnd(FlowStart + 1s);
  EXPECT_FALSE(it.did("break"));
  it.Flow.onDone(1, {}, false, FlowStart + 1s);
  EXPECT_TRUE(it.did("end"));
}

TEST(ForwardFlow, IgnoresWhatComesFromAnEarlierAttempt) {
  FlowHarness it(routeFor(RouteKind::Idempotent, 2));
  it.Flow.start(FlowStart);
  it.lose(1);
  it.answer(1, headOf(200), "crossed");
  EXPECT_FALSE(it.did("answer 200 crossed"));
  it.answer(2, headOf(200), "own");
  EXPECT_TRUE(it.did("answer 200 own"));
  EXPECT_EQ(it.Finals, 1);
}

TEST(ForwardFlow, StreamsALongUnaryAnswerInsteadOfHoldingIt) {
  ForwardSettings settings;
  settings.MaxHeldAnswer = 8;
  FlowHarness it(routeFor(RouteKind::Idempotent, 2), 3, settings);
  it.Flow.start(FlowStart);
  it.Flow.onHead(1, headOf(200), FlowStart);
  it.Flow.onData(1, "0123456789", FlowStart);
  EXPECT_TRUE(it.did("begin 200"));
  it.lose(1);
  EXPECT_TRUE(it.did("break"));
}

TEST(ForwardFlow, HoldsNoMoreThanABoundedPartOfAFailure) {
  ForwardSettings settings;
  settings.MaxHeldAnswer = 8;
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1), 3, settings);
  it.Flow.start(FlowStart);
  it.Flow.onHead(1, headOf(500), FlowStart);
  it.Flow.onData(1, "0123456789", FlowStart);
  EXPECT_EQ(it.FinalStatus, 502);
  EXPECT_TRUE(it.did("cancel 1"));
}

/// Whatever servers do, in whatever order: one final answer, a non-idempotent
/// request runs at most once, and a promise of "not run" is kept.
RC_GTEST_PROP(ForwardFlow, KeepsItsPromises, ()) {
  auto kind = *rc::gen::element(RouteKind::Idempotent, RouteKind::NonIdempotent,
                                RouteKind::Stream);
  Route route = routeFor(kind, *rc::gen::inRange(1U, 4U));
  route.IsResumable = *rc::gen::arbitrary<bool>();
  FlowHarness it(route, *rc::gen::inRange<size_t>(0, 5));
  TimePoint now = FlowStart;
  std::set<uint32_t> ran;
  std::set<uint32_t> over;
  it.Flow.start(now);
  for (int step = 0; step < 25 && !it.Flow.isEnded(); ++step) {
    it.HasBudget = *rc::gen::arbitrary<bool>();
    now += Duration(*rc::gen::inRange(0, 400'000));
    uint32_t n = it.Flow.attempts();
    if (n == 0)
      break;
    uint32_t attempt = *rc::gen::inRange(1U, n + 1);
    bool isCurrent = attempt == n && !over.contains(n);
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
      if (isCurrent)
        ran.insert(attempt);
      it.Flow.onHead(attempt, headOf(*rc::gen::element(200U, 500U, 503U)), now);
      it.Flow.onData(attempt, "id: 1\n\n", now);
      break;
    case 1:
      it.Flow.onDone(attempt, {}, false, now);
      over.insert(attempt);
      break;
    case 2:
      if (isCurrent && !ran.contains(attempt)) {
        it.Flow.onHead(attempt, headOf(503, true), now);
        it.Flow.onDone(attempt, {}, false, now);
        over.insert(attempt);
      }
      break;
    case 3:
      if (isCurrent)
        ran.insert(attempt);
      it.lose(attempt, now);
      over.insert(attempt);
      break;
    case 4:
      if (isCurrent && !ran.contains(attempt)) {
        it.Flow.onDone(attempt, {ErrorKind::ServiceUnavailable, ""}, true, now);
        over.insert(attempt);
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
    it.lose(it.Flow.attempts(), now);
  }
  RC_ASSERT(it.Flow.isEnded());
  RC_ASSERT(it.Finals <= 1U);
  if (!route.mayRepeat())
    RC_ASSERT(ran.size() <= 1U);
  if (!route.mayRepeat() && promisesNotRun(it.FinalStatus))
    RC_ASSERT(ran.empty());
  RC_ASSERT(ran.size() <= route.Attempts);
}

} // namespace
} // namespace daisytack::direct
