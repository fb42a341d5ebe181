#include "once/ticket_ledger.h"

#include <gtest/gtest.h>

namespace daisytack {

namespace {

using Action = TicketVerdict::Action;

constexpr Duration Second{1'000'000};

TimePoint at(int seconds) { return TimePoint(seconds * Second); }

TicketLedgerInit makeInit() {
  TicketLedgerInit out;
  out.Instance = "portal-1";
  out.Process = {7, 7};
  out.Secret = "drawn at start";
  out.TicketLife = 100 * Second;
  return out;
}

class LedgerTest : public ::testing::Test {
protected:
  TicketLedger make(TicketLedgerInit init) {
    return {std::move(init), [this] { return ++DrawnNumbers; },
            [this](Event event) { Seen.push_back(std::move(event)); }};
  }

  static std::string issue(TicketLedger &ledger, TimePoint now) {
    Error reason;
    return ledger.issue("org", now, reason).value_or("");
  }

  Presentation submission(std::string ticket, uint64_t call = 1) {
    return {{9, ++Requests}, 1,      "org", std::move(ticket),
            {call, call},    {7, 7}, 0};
  }

  static StoredAnswer completed(std::string body) {
    StoredAnswer out;
    out.End.ServiceStatus = 200;
    out.Body = std::move(body);
    return out;
  }

  uint64_t DrawnNumbers = 0;
  uint64_t Requests = 0;
  std::vector<Event> Seen;
};

} // namespace

TEST_F(LedgerTest, RunsOnceAndRepeatsTheAnswer) {
  auto ledger = make(makeInit());
  std::string ticket = issue(ledger, at(0));
  auto first = ledger.present(submission(ticket), at(1));
  ASSERT_EQ(first.Decision, Action::Run);

  auto second = ledger.present(submission(ticket), at(2));
  EXPECT_EQ(second.Reason.Kind, ErrorKind::StillRunning);
  EXPECT_EQ(second.RunOutcome, Outcome::MayHaveRun);

  ledger.finish(first.Key, completed("done"), at(3));
  auto third = ledger.present(submission(ticket), at(4));
  ASSERT_EQ(third.Decision, Action::Replay);
  EXPECT_EQ(third.Answer->Body, "done");

  auto other = ledger.present(submission(ticket, 2), at(5));
  EXPECT_EQ(other.Reason.Kind, ErrorKind::KeyReused);
  EXPECT_EQ(other.RunOutcome, Outcome::NotRun);
}

TEST_F(LedgerTest, RefusesTicketsOfOtherProcessesOrganisationsAndSecrets) {
  auto ledger = make(makeInit());
  auto predecessor = makeInit();
  predecessor.Process = {6, 6};
  auto old = make(predecessor);
  auto verdict = ledger.present(submission(issue(old, at(0))), at(1));
  EXPECT_EQ(verdict.Reason.Kind, ErrorKind::TicketUnknown);
  EXPECT_EQ(verdict.RunOutcome, Outcome::MayHaveRun);

  auto foreign = submission(issue(ledger, at(0)));
  foreign.Organisation = "other";
  EXPECT_EQ(ledger.present(foreign, at(1)).Reason.Kind, ErrorKind::Forbidden);

  auto forger = makeInit();
  forger.Secret = "guessed";
  auto forged = make(forger);
  verdict = ledger.present(submission(issue(forged, at(0))), at(1));
  EXPECT_EQ(verdict.Reason.Kind, ErrorKind::BadRequest);
  EXPECT_EQ(ledger.records(), 0U);
}

TEST_F(LedgerTest, RecordAndTicketExpireTogether) {
  auto ledger = make(makeInit());
  std::string ticket = issue(ledger, at(0));
  auto run = ledger.present(submission(ticket), at(1));
  ledger.finish(run.Key, completed("done"), at(2));
  TimePoint last = at(100) - Duration(1);
  EXPECT_EQ(ledger.present(submission(ticket), last).Decision, Action::Replay);
  EXPECT_EQ(ledger.records(), 1U);
  auto late = ledger.present(submission(ticket), at(100));
  EXPECT_EQ(late.Reason.Kind, ErrorKind::TicketExpired);
  EXPECT_EQ(late.RunOutcome, Outcome::MayHaveRun);
  EXPECT_EQ(ledger.records(), 0U);
  EXPECT_EQ(ledger.answerBytes(), 0U);
  // The ticket stays expired if the clock goes back.
  EXPECT_EQ(ledger.present(submission(ticket), at(50)).Reason.Kind,
            ErrorKind::TicketExpired);
}

TEST_F(LedgerTest, KeepsTheRecordOfACallThatOutlivesItsTicket) {
  auto ledger = make(makeInit());
  std::string ticket = issue(ledger, at(0));
  auto run = ledger.present(submission(ticket), at(99));
  ASSERT_EQ(run.Decision, Action::Run);
  EXPECT_EQ(ledger.present(submission(ticket), at(200)).Reason.Kind,
            ErrorKind::StillRunning);
  ledger.finish(run.Key, completed("done"), at(300));
  EXPECT_EQ(ledger.records(), 0U);
  EXPECT_EQ(ledger.present(submission(ticket), at(301)).Reason.Kind,
            ErrorKind::TicketExpired);
}

TEST_F(LedgerTest, RefusesNewCallsWhenFullAndKeepsAllRecords) {
  auto init = makeInit();
  init.MaxRecords = 2;
  auto ledger = make(init);
  std::string spare = issue(ledger, at(0));
  std::vector<std::string> run;
  for (int i = 0; i < 2; ++i) {
    run.push_back(issue(ledger, at(0)));
    auto verdict = ledger.present(submission(run.back()), at(1));
    ledger.finish(verdict.Key, completed("done"), at(1));
  }
  auto spareSubmission = submission(spare);
  auto refused = ledger.present(spareSubmission, at(2));
  EXPECT_EQ(refused.Reason.Kind, ErrorKind::RecordFull);
  EXPECT_EQ(refused.RunOutcome, Outcome::NotRun);
  Error reason;
  EXPECT_FALSE(ledger.issue("org", at(2), reason));
  EXPECT_EQ(reason.Kind, ErrorKind::RecordFull);
  for (const auto &it : run)
    EXPECT_EQ(ledger.present(submission(it), at(3)).Decision, Action::Replay);
  // All records have expired; a duplicate of the refused submission is still
  // ignored.
  EXPECT_EQ(ledger.present(spareSubmission, at(100)).Decision, Action::Ignore);
}

TEST_F(LedgerTest, EvictsOldAnswersButKeepsTheirRecords) {
  auto init = makeInit();
  init.MaxAnswerBytes = 3 * sizeof(StoredAnswer) + 3000;
  auto ledger = make(init);
  std::vector<std::string> tickets;
  for (int i = 0; i < 4; ++i) {
    tickets.push_back(issue(ledger, at(0)));
    auto run = ledger.present(submission(tickets.back()), at(1));
    ledger.finish(run.Key, completed(std::string(1000, 'x')), at(1));
  }
  auto oldest = ledger.present(submission(tickets[0]), at(2));
  EXPECT_EQ(oldest.Reason.Kind, ErrorKind::AnswerLost);
  EXPECT_EQ(oldest.RunOutcome, Outcome::Completed);
  EXPECT_EQ(ledger.present(submission(tickets[3]), at(2)).Decision,
            Action::Replay);
  EXPECT_LE(ledger.answerBytes(), init.MaxAnswerBytes);
  EXPECT_EQ(ledger.records(), 4U);
}

TEST_F(LedgerTest, RefusesToRunAFailedCallAgain) {
  auto ledger = make(makeInit());
  std::string ticket = issue(ledger, at(0));
  auto run = ledger.present(submission(ticket), at(1));
  StoredAnswer lost;
  lost.End.RunOutcome = Outcome::MayHaveRun;
  lost.End.Kind = ErrorKind::ServerLost;
  ledger.finish(run.Key, lost, at(2));
  auto repeat = ledger.present(submission(ticket), at(3));
  EXPECT_EQ(repeat.Decision, Action::Refuse);
  EXPECT_EQ(repeat.Reason.Kind, ErrorKind::ServerLost);
  EXPECT_EQ(repeat.RunOutcome, Outcome::MayHaveRun);
}

TEST_F(LedgerTest, IgnoresADuplicateOfAWithdrawnSubmission) {
  auto ledger = make(makeInit());
  auto fresh = submission("");
  auto first = ledger.present(fresh, at(1));
  ASSERT_EQ(first.Decision, Action::Run);
  EXPECT_EQ(ledger.present(fresh, at(1)).Decision, Action::Ignore);
  ledger.withdraw(first.Key, at(2));
  EXPECT_EQ(ledger.present(fresh, at(3)).Decision, Action::Ignore);
  EXPECT_EQ(ledger.records(), 0U);
  fresh.AttemptNumber = 2;
  EXPECT_EQ(ledger.present(fresh, at(4)).Decision, Action::Run);
}

TEST_F(LedgerTest, RunsASubmissionWithoutTicketOnlyInItsProcess) {
  auto ledger = make(makeInit());
  auto fresh = submission("");
  fresh.Process = {6, 6};
  auto verdict = ledger.present(fresh, at(1));
  EXPECT_EQ(verdict.Reason.Kind, ErrorKind::TicketUnknown);
  EXPECT_EQ(verdict.RunOutcome, Outcome::MayHaveRun);
}

TEST_F(LedgerTest, TreatsTheSameIdOverAnotherLinkAsARepeat) {
  auto ledger = make(makeInit());
  std::string ticket = issue(ledger, at(0));
  auto first = submission(ticket);
  auto run = ledger.present(first, at(1));
  auto other = first;
  other.Link = 1;
  EXPECT_EQ(ledger.present(other, at(2)).Reason.Kind, ErrorKind::StillRunning);
  ledger.finish(run.Key, completed("done"), at(3));
  EXPECT_EQ(ledger.present(other, at(4)).Decision, Action::Replay);
  EXPECT_EQ(ledger.present(first, at(4)).Decision, Action::Replay);
}

TEST_F(LedgerTest, AcceptsAWithdrawnTicketAgain) {
  auto ledger = make(makeInit());
  std::string ticket = issue(ledger, at(0));
  auto first = submission(ticket);
  ledger.withdraw(ledger.present(first, at(1)).Key, at(1));
  EXPECT_EQ(ledger.present(submission(ticket), at(2)).Decision, Action::Run);
  EXPECT_EQ(ledger.present(first, at(3)).Decision, Action::Ignore);
}

TEST_F(LedgerTest, CallHashCoversMethodTargetAndBody) {
  wire::Offer offer;
  offer.Call.Method = "POST";
  offer.Call.Target = "/quotes";
  offer.Body = "{}";
  wire::Offer other = offer;
  other.Organisation = "other";
  EXPECT_EQ(callHash(offer), callHash(other));
  other.Call.Target = "/quote";
  other.Body = "s{}";
  EXPECT_NE(callHash(offer), callHash(other));
}

TEST_F(LedgerTest, ReplayUsesTheIdOfTheRepeat) {
  StoredAnswer answer = completed("body");
  answer.End.Chunks = 12;
  auto messages = replayAnswer(answer, {1, 1}, 3);
  ASSERT_EQ(messages.size(), 2U);
  EXPECT_EQ(std::get<wire::Chunk>(messages[0]).Text, "body");
  auto end = std::get<wire::Finished>(messages[1]);
  EXPECT_EQ(end.Id, (RequestId{1, 1}));
  EXPECT_EQ(end.AttemptNumber, 3U);
  EXPECT_EQ(end.Chunks, 1U);
}

} // namespace daisytack
