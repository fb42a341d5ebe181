// Rules of RequestFlow, each as a script of inputs with the expected actions.
#include "flow_harness.h"

#include <gtest/gtest.h>

using namespace daisytack;
using namespace daisytack::entry;

namespace {

constexpr FlowKind Streamed{};
constexpr FlowKind NotStreamed{true, false, {}, {}};
constexpr FlowKind NonIdempotent{false, true, {}, {}};
constexpr FlowKind NonIdempotentNotStreamed{false, false, {}, {}};
constexpr FlowKind WithTicket{false, false, {}, {}, "ticket"};
constexpr FlowKind Resumed{true, true, 2, {}};
constexpr FlowKind HeldAnswer{true, false, {}, Duration(3'000'000)};
constexpr FlowKind HeldStream{true, true, {}, Duration(3'000'000)};

struct FlowCase {
  const char *Name;
  FlowKind Kind;
  const char *Script;
  const char *Expected;
};

std::ostream &operator<<(std::ostream &out, const FlowCase &it) {
  return out << it.Name;
}

class RequestFlowTest : public testing::TestWithParam<FlowCase> {};

const FlowCase Answers[] = {
    {"Streamed", Streamed,
     "accept a 1 10; chunk a 1 0; chunk a 1 1; finish a 1 2",
     "offer a 1; part 0; part 1; end"},
    {"Whole", NotStreamed, "accept a 1; chunk a 1 0; chunk a 1 1; finish a 1 2",
     "offer a 1; whole"},
    {"EmptyAnswer", NotStreamed, "accept a 1; finish a 1 0",
     "offer a 1; whole"},
    {"DuplicateChunk", Streamed,
     "chunk a 1 0; chunk a 1 0; chunk a 1 1; chunk a 1 0; finish a 1 2",
     "offer a 1; part 0; part 1; end"},
    {"NoActionAfterTheEnd", Streamed,
     "chunk a 1 0; finish a 1 1; chunk a 1 1; finish a 1 2; lost 1; gone; time "
     "20000",
     "offer a 1; part 0; end"},
    {"OtherAttemptsAndServersAreIgnored", Streamed,
     "chunk b 1 0; chunk a 2 0; finish a 7 0; refuse b 1 overloaded; chunk a 1 "
     "0; finish a 1 1",
     "offer a 1; part 0; end"},
    {"OfferedOnly", Streamed, "", "offer a 1"},
};

const FlowCase Refusals[] = {
    {"RefusedThenOfferedToNextServer", Streamed,
     "refuse a 1 overloaded; chunk b 2 0; finish b 2 1",
     "offer a 1; offer b 2; part 0; end"},
    {"RefusedByAll", Streamed,
     "refuse a 1 overloaded; refuse b 2 draining; refuse c 3 overloaded",
     "offer a 1; offer b 2; offer c 3; error overloaded not_run"},
    {"FinalRefusal", Streamed, "refuse a 1 key_reused",
     "offer a 1; error key_reused not_run"},
    {"RetryBudgetSpent", Streamed, "budget 0; refuse a 1 overloaded",
     "offer a 1; error overloaded not_run"},
    {"AttemptLimit", Streamed,
     "servers a b c d e f; refuse a 1 overloaded; refuse b 2 overloaded; "
     "refuse c 3 overloaded; refuse d 4 overloaded",
     "offer a 1; offer b 2; offer c 3; offer d 4; error overloaded not_run"},
    {"NonIdempotentRefusedIsOfferedAgain", NonIdempotent,
     "refuse a 1 overloaded; chunk b 2 0; finish b 2 1",
     "offer a 1; offer b 2; part 0; end"},
    {"NonIdempotentOfferNotSent", NonIdempotent,
     "lost 1 unsent; chunk b 2 0; finish b 2 1",
     "offer a 1; offer b 2; part 0; end"},
    {"NonIdempotentMayHaveRun", NonIdempotent, "refuse a 1 server_lost may",
     "offer a 1; error server_lost may_have_run"},
    // A ticket may have been presented before, so only its agent can report
    // that the call did not run.
    {"TicketOfUnreachableAgent", WithTicket, "servers a; lost 1 unsent",
     "offer a 1; error no_server may_have_run"},
    {"TicketRefusedByItsAgent", WithTicket, "servers a; refuse a 1 record_full",
     "offer a 1; error record_full not_run"},
    {"TicketStillRunning", WithTicket, "refuse a 1 still_running may",
     "offer a 1; error still_running may_have_run"},
    {"NonIdempotentTicketExpired", NonIdempotentNotStreamed,
     "refuse a 1 ticket_expired may",
     "offer a 1; error ticket_expired may_have_run"},
};

const FlowCase LostAttempts[] = {
    {"LostBeforeTheFirstChunk", Streamed,
     "accept a 1; lost 1; chunk b 2 0; finish b 2 1",
     "offer a 1; offer b 2; part 0; end"},
    {"LostMidStreamContinuesElsewhere", Streamed,
     "chunk a 1 0; chunk a 1 1; lost 1; accept b 2; chunk b 2 2; finish b 2 3",
     "offer a 1; part 0; part 1; offer b 2 from 2; part 2; end"},
    {"LateMessagesOfALostAttempt", Streamed,
     "chunk a 1 0; lost 1; chunk a 1 1; finish a 1 2; chunk b 2 1; finish b 2 "
     "2",
     "offer a 1; part 0; offer b 2 from 1; part 1; end"},
    {"ChunkMissing", Streamed,
     "chunk a 1 0; chunk a 1 2; chunk b 2 1; finish b 2 2",
     "offer a 1; part 0; cancel a 1; offer b 2 from 1; part 1; end"},
    {"FinishedTooEarly", NotStreamed,
     "chunk a 1 0; finish a 1 2; chunk b 2 1; finish b 2 2",
     "offer a 1; cancel a 1; offer b 2 from 1; whole"},
    {"ServerFailed", NotStreamed,
     "chunk a 1 0; fail a 1 server_failed may; chunk b 2 1; finish b 2 2",
     "offer a 1; offer b 2 from 1; whole"},
    {"AcceptedWaitsForAServer", NotStreamed,
     "accept a 1; servers a b; refuse a 1 draining; refuse b 2 overloaded; "
     "time 150; chunk a 3 0; finish a 3 1",
     "offer a 1; offer b 2; offer a 3; whole"},
    {"AcceptedWaitsForRetryBudget", NotStreamed,
     "accept a 1; budget 0; lost 1; budget 1; time 150; chunk b 2 0; finish b "
     "2 1",
     "offer a 1; offer b 2; whole"},
    {"StoppedByOperatorAtAgent", Streamed,
     "chunk a 1 0; fail a 1 cancelled may",
     "offer a 1; part 0; error cancelled may_have_run"},
    {"StoppedByOperatorAtEntry", Streamed, "chunk a 1 0; stop; chunk a 1 1",
     "offer a 1; part 0; cancel a 1; error cancelled may_have_run"},
    {"StoppedWhileHeld", HeldAnswer,
     "chunk a 1 0; finish a 1 1; stop; time 4000",
     "offer a 1; error cancelled may_have_run"},
    {"NonIdempotentLostIsResumed", NonIdempotent,
     "chunk a 1 0; lost 1; chunk a 1 1; finish a 1 2",
     "offer a 1; part 0; resume a 1 from 1; part 1; end"},
    {"NonIdempotentAnsweredThenReportedUnsent", NonIdempotent,
     "chunk a 1 0; lost 1 unsent", "offer a 1; part 0; resume a 1 from 1"},
    {"NonIdempotentLostTwice", NonIdempotent, "lost 1; lost 1",
     "offer a 1; resume a 1 from 0; error server_lost may_have_run"},
    {"NonIdempotentAnswerLost", NonIdempotent,
     "lost 1; refuse a 1 answer_lost may",
     "offer a 1; resume a 1 from 0; error server_lost may_have_run"},
    {"NonIdempotentServerFailed", NonIdempotent,
     "chunk a 1 0; fail a 1 server_failed may",
     "offer a 1; part 0; error server_failed may_have_run"},
    {"NonIdempotentChunkMissing", NonIdempotent, "chunk a 1 1",
     "offer a 1; cancel a 1; error protocol_error may_have_run"},
};

const FlowCase Timeouts[] = {
    {"DeadlineBeforeAnyReply", NonIdempotent, "time 10000",
     "offer a 1; cancel a 1; error deadline_passed may_have_run"},
    {"DeadlineMidStream", NonIdempotent,
     "chunk a 1 0; time 10000; finish a 1 1",
     "offer a 1; part 0; cancel a 1; error deadline_passed may_have_run"},
    {"SilentServerIsHedged", Streamed,
     "time 600; chunk b 2 0; chunk a 1 0; finish b 2 1",
     "offer a 1; offer b 2; cancel a 1; part 0; end"},
    {"SlowFirstTokenIsHedged", Streamed,
     "accept a 1 100; time 240; time 20; accept b 2 10; chunk a 1 0; finish a "
     "1 1",
     "offer a 1; offer b 2; cancel b 2; part 0; end"},
    {"NoHedgeWithoutRetryBudget", Streamed,
     "budget 0; accept a 1 100; time 2900; chunk a 1 0; finish a 1 1",
     "offer a 1; part 0; end"},
    {"NoHedgeForNonIdempotent", NonIdempotent,
     "time 5000; chunk a 1 0; finish a 1 1", "offer a 1; part 0; end"},
    {"StalledStreamContinuesElsewhere", Streamed,
     "chunk a 1 0; time 3100; chunk b 2 1; chunk a 1 1; finish b 2 2",
     "offer a 1; part 0; offer b 2 from 1; cancel a 1; part 1; end"},
    {"BothHedgedAttemptsLost", Streamed,
     "time 600; lost 1; lost 2; chunk c 3 0; finish c 3 1",
     "offer a 1; offer b 2; offer c 3; part 0; end"},
};

const FlowCase CallerDisconnects[] = {
    {"DisconnectBeforeFirstPart", Streamed, "accept a 1; gone",
     "offer a 1; cancel a 1"},
    {"DisconnectFromWholeAnswer", NotStreamed, "chunk a 1 0; gone",
     "offer a 1; cancel a 1"},
    {"DisconnectFromStreamStartsGracePeriod", Streamed,
     "chunk a 1 0; gone; chunk a 1 1; time 2900; time 200",
     "offer a 1; part 0; cancel a 1"},
    {"DisconnectedStreamMayFinish", Streamed, "chunk a 1 0; gone; finish a 1 1",
     "offer a 1; part 0"},
    {"DisconnectedStreamIsNotRetried", Streamed, "chunk a 1 0; gone; lost 1",
     "offer a 1; part 0"},
    {"Resumed", Resumed, "chunk a 1 2; chunk a 1 3; finish a 1 4",
     "resume a 1 from 2; part 2; part 3; end"},
    {"ResumedAtTheEnd", Resumed, "finish a 1 2", "resume a 1 from 2; end"},
    {"ResumedTooLate", Resumed, "refuse a 1 answer_lost may",
     "resume a 1 from 2; error answer_lost may_have_run"},
    {"ResumedThenLost", Resumed,
     "chunk a 1 2; lost 1; chunk a 1 3; finish a 1 4",
     "resume a 1 from 2; part 2; resume a 1 from 3; part 3; end"},
    {"ResumedFromUnreachableServer", Resumed, "lost 1 unsent; lost 1 unsent",
     "resume a 1 from 2; resume a 1 from 2; error server_lost may_have_run"},
};

const FlowCase HeldAnswers[] = {
    {"HeldUntilReleaseTime", HeldAnswer,
     "chunk a 1 0; finish a 1 1; time 2990; time 20", "offer a 1; whole"},
    {"HeldStream", HeldStream,
     "chunk a 1 0; chunk a 1 1; finish a 1 2; time 2990; time 20",
     "offer a 1; part 1; end"},
    {"StillHeld", HeldAnswer, "chunk a 1 0; finish a 1 1; time 2990",
     "offer a 1"},
    {"ReleaseMovedLater", HeldAnswer,
     "chunk a 1 0; finish a 1 1; release 5000; time 4900", "offer a 1"},
    {"ReleaseMovedEarlier", HeldAnswer,
     "chunk a 1 0; finish a 1 1; time 1000; release 100; time 110",
     "offer a 1; whole"},
    {"ReleaseTimeRemoved", HeldAnswer,
     "chunk a 1 0; finish a 1 1; release none", "offer a 1; whole"},
    {"AnswerAfterReleaseTimeIsNotHeld", HeldAnswer,
     "time 400; chunk a 1 0; time 2700; finish a "
     "1 1",
     "offer a 1; whole"},
    {"ReleaseTimeRemovedMidStreamSendsAll", HeldStream,
     "chunk a 1 0; chunk a 1 1; release none; chunk a 1 2; finish a 1 3",
     "offer a 1; part 2; end"},
    {"HeldUntilDeadlineAtMost", HeldAnswer,
     "chunk a 1 0; finish a 1 1; release 11000; time 10900; time 200",
     "offer a 1; whole"},
    {"ErrorIsNotHeld", HeldAnswer,
     "refuse a 1 overloaded; refuse b 2 overloaded; refuse c 3 overloaded",
     "offer a 1; offer b 2; offer c 3; error overloaded not_run"},
    {"DisconnectWhileHeld", HeldAnswer,
     "chunk a 1 0; finish a 1 1; gone; time 4000", "offer a 1"},
};

TEST_P(RequestFlowTest, ProducesExpectedActions) {
  const FlowCase &it = GetParam();
  FlowHarness harness(it.Kind);
  EXPECT_EQ(harness.play(it.Script), it.Expected);
}

std::string caseName(const testing::TestParamInfo<FlowCase> &it) {
  return it.param.Name;
}

INSTANTIATE_TEST_SUITE_P(Answer, RequestFlowTest, testing::ValuesIn(Answers),
                         caseName);
INSTANTIATE_TEST_SUITE_P(Refusal, RequestFlowTest, testing::ValuesIn(Refusals),
                         caseName);
INSTANTIATE_TEST_SUITE_P(Loss, RequestFlowTest, testing::ValuesIn(LostAttempts),
                         caseName);
INSTANTIATE_TEST_SUITE_P(Time, RequestFlowTest, testing::ValuesIn(Timeouts),
                         caseName);
INSTANTIATE_TEST_SUITE_P(Caller, RequestFlowTest,
                         testing::ValuesIn(CallerDisconnects), caseName);
INSTANTIATE_TEST_SUITE_P(Release, RequestFlowTest,
                         testing::ValuesIn(HeldAnswers), caseName);

} // namespace

TEST(RequestFlow, OffersCarryRemainingTimeReserveAndText) {
  FlowHarness harness(Streamed);
  harness.play("chunk a 1 0; chunk a 1 1; time 1000; lost 1");
  ASSERT_EQ(harness.Offers.size(), 2U);
  const wire::Offer &first = harness.Offers[0].Offer;
  EXPECT_EQ(first.RemainingMicros, 10'000'000U);
  EXPECT_EQ(first.ReserveMicros, 5'000'000U);
  const wire::Offer &second = harness.Offers[1].Offer;
  EXPECT_EQ(second.RemainingMicros, 9'000'000U);
  EXPECT_EQ(second.ReserveMicros, 0U);
  EXPECT_EQ(second.Generated, "a:0 a:1 ");
}

// Servers refuse if their queue wait exceeds the limit, which does not count as
// a retry. Once all have refused, they are asked again without a limit.
TEST(RequestFlow, FirstOffersLimitTheQueueWait) {
  FlowHarness it(Streamed);
  constexpr Duration WaitLimit{100'000};
  it.Servers = {{"a", {}, WaitLimit}, {"b", {}, WaitLimit}};
  it.RetryBudget = 0;
  EXPECT_EQ(it.play("refuse a 1 overloaded; refuse b 2 overloaded; accept a 3; "
                    "chunk a 3 0; finish a 3 1"),
            "offer a 1; offer b 2; offer a 3; part 0; end");
  EXPECT_EQ(it.Offers[0].Offer.WaitLimitMicros, 100'000U);
  EXPECT_EQ(it.Offers[1].Offer.WaitLimitMicros, 100'000U);
  EXPECT_EQ(it.Offers[2].Offer.WaitLimitMicros, 0U);
  EXPECT_EQ(it.Offers[2].Offer.ReserveMicros, it.Offers[0].Offer.ReserveMicros);
}

TEST(RequestFlow, RefusalsCarryRetryAfter) {
  FlowHarness harness(Streamed);
  harness.play("refuse a 1 overloaded; refuse b 2 overloaded; refuse c 3 "
               "overloaded");
  ASSERT_TRUE(harness.Failure);
  EXPECT_GE(harness.Failure->Reason.RetryAfter, FlowSettings().MinRetryAfter);
}

TEST(RequestFlow, MessagesOfOtherRequestsAreDropped) {
  FlowHarness harness(Streamed);
  harness.play("");
  wire::Chunk chunk{RequestId{9, 9}, 1, 0, 1, "another caller's words"};
  harness.applyInput(ServerMessage{"a", chunk});
  EXPECT_TRUE(harness.CallerText.empty());
}

TEST(RequestFlow, FirstTokenIsMeasuredFromArrival) {
  FlowHarness harness(Streamed);
  harness.play("accept a 1 400; time 250; chunk a 1 0; time 100; finish a 1 1");
  ASSERT_TRUE(harness.Summary);
  EXPECT_EQ(harness.Summary->FirstToken, Duration(250'000));
}

TEST(RequestFlow, RequestWithoutServersIsRefused) {
  FlowHarness harness(Streamed);
  harness.Servers.clear();
  EXPECT_EQ(harness.play(""), "error no_server not_run");
}
