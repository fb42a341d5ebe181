#include "serve_agent/agent_rig.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace daisytack::serve::test {
namespace {

AgentSettings oneSlot() {
  AgentSettings out = modelSettings();
  out.Queue.Slots = 1;
  return out;
}

wire::Offer offerWith(uint64_t id, uint8_t priority, uint64_t remainingMillis,
                      uint32_t maxTokens = 100) {
  wire::Offer out = offerOf(id);
  out.Priority = priority;
  out.RemainingMicros = remainingMillis * 1000;
  out.MaxTokens = maxTokens;
  return out;
}

std::vector<uint64_t> startOrder(const AgentRig &rig) {
  std::vector<uint64_t> out;
  for (const StartRun &it : rig.Started)
    out.push_back(it.Run.Id.Lo);
  return out;
}

TEST(AgentDecisions, AcceptsOnlyRequestsThatMeetTheirDeadline) {
  AgentRig rig(oneSlot());
  rig.offer(offerWith(1, 5, 1'000));
  EXPECT_EQ(rig.lastTo<wire::Refused>(LinkA).Kind, ErrorKind::DeadlineTooShort);
  rig.offer(offerWith(2, 5, 3'000));
  auto accepted = rig.lastTo<wire::Accepted>(LinkA);
  EXPECT_EQ(accepted.Id.Lo, 2U);
  EXPECT_GT(accepted.CompletionMicros, accepted.FirstTokenMicros);
  rig.offer(offerWith(3, 5, 3'000));
  auto refused = rig.lastTo<wire::Refused>(LinkA);
  EXPECT_EQ(refused.Kind, ErrorKind::Overloaded);
  EXPECT_EQ(refused.RunOutcome, Outcome::NotRun);
  EXPECT_GT(refused.RetryAfterMicros, 0U);
  EXPECT_GT(refused.Load.WaitMicros, 0U);
}

TEST(AgentDecisions, ReserveForARerunShortensTheDeadline) {
  AgentRig rig(oneSlot());
  wire::Offer offer = offerWith(1, 5, 4'000);
  offer.ReserveMicros = 2'500'000;
  rig.offer(offer);
  EXPECT_EQ(rig.lastTo<wire::Refused>(LinkA).Kind, ErrorKind::DeadlineTooShort);
}

TEST(AgentDecisions, RunsStartByPriorityThenDeadline) {
  AgentRig rig(oneSlot());
  rig.offer(offerWith(1, 5, 60'000, 1));
  rig.offer(offerWith(2, 5, 50'000, 1));
  rig.offer(offerWith(3, 5, 20'000, 1));
  rig.offer(offerWith(4, 9, 50'000, 1));
  for (size_t i = 0; i < 4; ++i)
    rig.done(rig.Started.at(i).Run);
  EXPECT_EQ(startOrder(rig), (std::vector<uint64_t>{1, 4, 3, 2}));
}

TEST(AgentDecisions, SmallOrganisationIsNotStarvedByALargeOne) {
  AgentRig rig(oneSlot());
  for (uint64_t i = 1; i <= 10; ++i)
    rig.offer(offerWith(i, 5, 60'000));
  wire::Offer small = offerWith(11, 5, 60'000);
  small.Organisation = "dakar-notices";
  rig.offer(small);
  for (size_t i = 0; i < 3; ++i)
    rig.done(rig.Started.at(i).Run);
  std::vector<uint64_t> order = startOrder(rig);
  EXPECT_NE(std::find(order.begin(), order.end(), 11U), order.end());
}

TEST(AgentDecisions, LowerPriorityIsSuspendedAndResumed) {
  AgentRig rig(oneSlot());
  rig.offer(offerWith(1, 2, 60'000, 1000));
  rig.offer(offerWith(2, 8, 4'000));
  EXPECT_EQ(startOrder(rig), (std::vector<uint64_t>{1, 2}));
  ASSERT_EQ(rig.Suspended.size(), 1U);
  EXPECT_EQ(rig.eventCount(EventKind::RunPreempted), 1U);
  rig.done(rig.Started[1].Run);
  ASSERT_EQ(rig.Resumed.size(), 1U);
  EXPECT_EQ(rig.Resumed[0], rig.Started[0].Run);
  rig.done(rig.Started[0].Run);
  EXPECT_EQ(rig.sentTo<wire::Finished>(LinkA).size(), 2U);
}

TEST(AgentDecisions, RunThatWouldMissItsDeadlineIsRefusedEarly) {
  AgentRig rig(oneSlot());
  rig.offer(offerWith(1, 5, 60'000, 100));
  wire::Offer second = offerWith(2, 5, 9'000, 100);
  second.ReserveMicros = 4'000'000;
  rig.offer(second);
  EXPECT_EQ(rig.sentTo<wire::Accepted>(LinkA).size(), 2U);
  rig.text(rig.Started[0].Run, "slow");
  rig.advanceTime(Duration(4'000'000));
  auto refused = rig.lastTo<wire::Refused>(LinkA);
  EXPECT_EQ(refused.Id.Lo, 2U);
  EXPECT_EQ(refused.RunOutcome, Outcome::NotRun);
  EXPECT_EQ(refused.Kind, ErrorKind::Overloaded);
  EXPECT_EQ(rig.Started.size(), 1U);
}

TEST(AgentDecisions, PrefillRateIsLearnedFromFinishedRuns) {
  AgentRig rig(oneSlot());
  uint32_t before = rig.Core.loadReport(rig.Now).PrefillTokensPerSecond;
  for (uint64_t i = 1; i < 30; ++i) {
    wire::Offer offer = offerWith(i, 5, 60'000, 1);
    rig.offer(offer);
    rig.advanceTime(Duration(500'000));
    rig.text(rig.Started.back().Run, "x");
    rig.done(rig.Started.back().Run);
  }
  EXPECT_LT(rig.Core.loadReport(rig.Now).PrefillTokensPerSecond, before / 2);
}

AgentSettings serviceSettings() {
  AgentSettings out = modelSettings();
  out.IsService = true;
  out.Serves = "portal";
  out.Process = {5, 5};
  return out;
}

wire::Offer callOf(uint64_t id, const std::string &ticket,
                   Attempt attempt = 1) {
  wire::Offer out = offerOf(id, attempt);
  out.Model.clear();
  out.Version.clear();
  out.Idempotent = false;
  out.Ticket = ticket;
  out.Call = {"POST", "/notices", {}};
  return out;
}

std::string ticketFrom(AgentRig &rig) {
  rig.apply(
      LinkMessage{LinkA, wire::TicketRequest{{1, 1}, "riga-buyers", "portal"}});
  auto reply = rig.lastTo<wire::TicketReply>(LinkA);
  EXPECT_EQ(reply.Kind, ErrorKind::None);
  EXPECT_GT(reply.ValidMicros, 0U);
  return reply.Ticket;
}

TEST(AgentTickets, CallUnderOneTicketRunsOnce) {
  AgentRig rig(serviceSettings());
  std::string ticket = ticketFrom(rig);
  rig.offer(callOf(1, ticket));
  rig.offer(callOf(2, ticket), LinkB);
  EXPECT_EQ(rig.lastTo<wire::Refused>(LinkB).Kind, ErrorKind::StillRunning);
  EXPECT_EQ(rig.lastTo<wire::Refused>(LinkB).RunOutcome, Outcome::MayHaveRun);
  ASSERT_EQ(rig.Started.size(), 1U);
  rig.text(rig.Started[0].Run, "printed");
  rig.done(rig.Started[0].Run);
  rig.offer(callOf(3, ticket), LinkB);
  EXPECT_EQ(rig.textTo(LinkB), "printed");
  EXPECT_EQ(rig.lastTo<wire::Finished>(LinkB).RunOutcome, Outcome::Completed);
  EXPECT_EQ(rig.Started.size(), 1U);
}

TEST(AgentTickets, UnusedTicketCanBePresentedAgain) {
  AgentRig rig(serviceSettings());
  std::string ticket = ticketFrom(rig);
  wire::Offer late = callOf(1, ticket);
  late.RemainingMicros = 0;
  rig.offer(late);
  EXPECT_EQ(rig.lastTo<wire::Refused>(LinkA).RunOutcome, Outcome::NotRun);
  rig.offer(callOf(2, ticket));
  ASSERT_EQ(rig.Started.size(), 1U);
  rig.apply(RunFailed{
      rig.Started[0].Run, {ErrorKind::ServerLost, "refused"}, Outcome::NotRun});
  rig.offer(callOf(3, ticket));
  EXPECT_EQ(rig.Started.size(), 2U);
}

TEST(AgentTickets, FailedCallIsNeverRunAgain) {
  AgentRig rig(serviceSettings());
  std::string ticket = ticketFrom(rig);
  rig.offer(callOf(1, ticket));
  rig.apply(RunFailed{rig.Started[0].Run, {ErrorKind::ServerLost, "broke"}});
  rig.offer(callOf(1, ticket, 2));
  rig.offer(callOf(2, ticket));
  EXPECT_EQ(rig.Started.size(), 1U);
  EXPECT_EQ(rig.lastTo<wire::Finished>(LinkA).RunOutcome, Outcome::MayHaveRun);
}

TEST(AgentTickets, TicketOfACallCancelledWhileWaitingCanBePresentedAgain) {
  AgentSettings settings = serviceSettings();
  settings.Queue.Slots = 1;
  AgentRig rig(settings);
  std::string first = ticketFrom(rig);
  std::string second = ticketFrom(rig);
  rig.offer(callOf(1, first));
  rig.offer(callOf(2, second));
  rig.apply(LinkMessage{LinkA, wire::Cancel{{7, 2}, 1}});
  rig.done(rig.Started[0].Run);
  EXPECT_EQ(rig.Started.size(), 1U);
  rig.offer(callOf(3, second));
  EXPECT_EQ(rig.Started.size(), 2U);
}

} // namespace
} // namespace daisytack::serve::test
