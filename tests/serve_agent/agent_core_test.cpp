#include "serve_agent/agent_rig.h"

#include <gtest/gtest.h>

namespace daisytack::serve::test {
namespace {

TEST(RunTokenText, RoundTrip) {
  RunToken token{{0x1234, 0xabcd}, 3, 99};
  EXPECT_EQ(parseRunToken(toString(token)), token);
  for (const char *bad : {"", "12", "00000000000000000000000000000001",
                          "00000000000000000000000000000001-1",
                          "00000000000000000000000000000001-1-x",
                          "00000000000000000000000000000001-1-2-"})
    EXPECT_FALSE(parseRunToken(bad)) << bad;
}

TEST(AgentCore, AcceptedAnswerIsDeliveredComplete) {
  AgentRig rig;
  rig.offer(offerOf(1));
  ASSERT_EQ(rig.Started.size(), 1U);
  EXPECT_EQ(rig.sentTo<wire::Accepted>(LinkA).size(), 1U);
  rig.text(rig.Started[0].Run, "one ");
  rig.text(rig.Started[0].Run, "two");
  rig.done(rig.Started[0].Run);
  EXPECT_EQ(rig.textTo(LinkA), "one two");
  auto final = rig.lastTo<wire::Finished>(LinkA);
  EXPECT_EQ(final.Kind, ErrorKind::None);
  EXPECT_EQ(final.Chunks, 2U);
  EXPECT_EQ(final.RunOutcome, Outcome::Completed);
}

struct RefusalCase {
  const char *Name;
  std::function<void(AgentRig &, wire::Offer &)> Arrange;
  ErrorKind Want;
};

TEST(AgentCore, RefusalsHaveAnErrorKindAndNotRun) {
  const RefusalCase cases[] = {
      {"model", [](AgentRig &, wire::Offer &o) { o.Model = "other"; },
       ErrorKind::UnknownModel},
      {"deadline", [](AgentRig &, wire::Offer &o) { o.RemainingMicros = 0; },
       ErrorKind::DeadlineTooShort},
      {"drain",
       [](AgentRig &rig, wire::Offer &) { rig.apply(DrainRequested{}); },
       ErrorKind::Draining},
      {"drained by configuration",
       [](AgentRig &rig, wire::Offer &) {
         AgentConfig config;
         config.Revision = 4;
         config.Drained = true;
         rig.apply(config);
       },
       ErrorKind::Draining},
      {"silent engine",
       [](AgentRig &rig, wire::Offer &) {
         rig.Now += Duration(5'000'000);
         rig.apply(EngineUnresponsive{});
       },
       ErrorKind::NotReady},
      {"cancelled before",
       [](AgentRig &rig, wire::Offer &o) {
         rig.apply(LinkMessage{LinkA, wire::Cancel{o.Id, o.AttemptNumber}});
       },
       ErrorKind::Cancelled},
  };
  for (const RefusalCase &it : cases) {
    AgentRig rig;
    wire::Offer offer = offerOf(1);
    it.Arrange(rig, offer);
    rig.offer(offer);
    auto refused = rig.lastTo<wire::Refused>(LinkA);
    EXPECT_EQ(refused.Kind, it.Want) << it.Name;
    EXPECT_EQ(refused.RunOutcome, Outcome::NotRun) << it.Name;
    EXPECT_TRUE(rig.Started.empty()) << it.Name;
  }
}

TEST(AgentCore, AnswerForAnotherRequestIsNeverForwarded) {
  AgentRig rig;
  rig.offer(offerOf(1));
  RunToken other{{9, 9}, 1, 1};
  rig.apply(RunText{rig.Started[0].Run, other, std::nullopt, 1, "secret"});
  EXPECT_EQ(rig.textTo(LinkA), "");
  EXPECT_EQ(rig.lastTo<wire::Finished>(LinkA).Kind, ErrorKind::ServerFailed);
  EXPECT_EQ(rig.lastTo<wire::Finished>(LinkA).RunOutcome, Outcome::MayHaveRun);
  EXPECT_EQ(rig.Cancelled.size(), 1U);
}

TEST(AgentCore, RepeatedChunkIsDroppedAndMissingChunkFailsTheAttempt) {
  AgentRig rig;
  rig.offer(offerOf(1));
  RunToken run = rig.Started[0].Run;
  rig.apply(RunText{run, run, 0, 1, "a"});
  rig.apply(RunText{run, run, 0, 1, "a"});
  rig.apply(RunText{run, run, 1, 1, "b"});
  EXPECT_EQ(rig.textTo(LinkA), "ab");
  rig.apply(RunText{run, run, 3, 1, "d"});
  EXPECT_EQ(rig.textTo(LinkA), "ab");
  EXPECT_EQ(rig.lastTo<wire::Finished>(LinkA).Kind, ErrorKind::ServerFailed);
}

TEST(AgentCore, FailureIsNotRunOnlyWhenTheBackendServerReportsIt) {
  for (Outcome ran : {Outcome::NotRun, Outcome::MayHaveRun}) {
    AgentRig rig;
    rig.offer(offerOf(1));
    rig.apply(
        RunFailed{rig.Started[0].Run, {ErrorKind::ServerLost, "broke"}, ran});
    bool notRun = ran == Outcome::NotRun;
    EXPECT_EQ(rig.sentTo<wire::Refused>(LinkA).size(), notRun ? 1U : 0U);
    EXPECT_EQ(rig.sentTo<wire::Finished>(LinkA).size(), notRun ? 0U : 1U);
  }
}

TEST(AgentCore, AnswerResumesOnAnotherLinkForItsOrganisationOnly) {
  AgentRig rig;
  rig.offer(offerOf(1));
  RunToken run = rig.Started[0].Run;
  rig.text(run, "one ");
  rig.apply(LinkClosed{LinkA});
  rig.text(run, "two ");
  rig.apply(LinkMessage{LinkB, wire::Resume{run.Id, 1, "dakar-notices", 0}});
  EXPECT_EQ(rig.lastTo<wire::Refused>(LinkB).Kind, ErrorKind::AnswerLost);
  EXPECT_EQ(rig.textTo(LinkB), "");
  rig.apply(LinkMessage{LinkB, wire::Resume{run.Id, 1, "riga-buyers", 1}});
  rig.text(run, "three");
  rig.done(run);
  EXPECT_EQ(rig.textTo(LinkB), "two three");
  EXPECT_EQ(rig.lastTo<wire::Finished>(LinkB).Chunks, 3U);
}

TEST(AgentCore, FinishedAnswerIsKeptForTheResumeWindow) {
  AgentRig rig;
  rig.offer(offerOf(1));
  RunToken run = rig.Started[0].Run;
  rig.apply(LinkClosed{LinkA});
  rig.text(run, "whole");
  rig.done(run);
  rig.advanceTime(Duration(5'000'000));
  rig.apply(LinkMessage{LinkB, wire::Resume{run.Id, 1, "riga-buyers", 0}});
  EXPECT_EQ(rig.textTo(LinkB), "whole");
  rig.advanceTime(Duration(11'000'000));
  rig.apply(LinkMessage{LinkB, wire::Resume{run.Id, 1, "riga-buyers", 0}});
  EXPECT_EQ(rig.lastTo<wire::Refused>(LinkB).Kind, ErrorKind::AnswerLost);
}

TEST(AgentCore, RunWithoutReaderIsCancelledAfterTheResumeWindow) {
  AgentRig rig;
  rig.offer(offerOf(1));
  rig.apply(LinkClosed{LinkA});
  rig.advanceTime(Duration(11'000'000));
  EXPECT_EQ(rig.Cancelled.size(), 1U);
}

TEST(AgentCore, RetryJoinsTheRunAndAnotherBodyIsRefused) {
  AgentRig rig;
  rig.offer(offerOf(1));
  RunToken run = rig.Started[0].Run;
  rig.text(run, "one ");
  rig.offer(offerOf(1, 2), LinkB);
  wire::Offer other = offerOf(1, 3);
  other.Body = "{}";
  rig.offer(other, LinkB);
  EXPECT_EQ(rig.lastTo<wire::Refused>(LinkB).Kind, ErrorKind::KeyReused);
  rig.text(run, "two");
  rig.done(run);
  EXPECT_EQ(rig.Started.size(), 1U);
  EXPECT_EQ(rig.textTo(LinkA), "one two");
  EXPECT_EQ(rig.textTo(LinkB), "one two");
  EXPECT_EQ(rig.lastTo<wire::Finished>(LinkB).AttemptNumber, 2U);
}

TEST(AgentCore, RepeatedOfferIsAnsweredOnce) {
  AgentRig rig;
  rig.offer(offerOf(1));
  rig.offer(offerOf(1));
  rig.done(rig.Started[0].Run);
  rig.offer(offerOf(1));
  EXPECT_EQ(rig.Started.size(), 1U);
  EXPECT_EQ(rig.sentTo<wire::Accepted>(LinkA).size(), 1U);
  EXPECT_EQ(rig.sentTo<wire::Finished>(LinkA).size(), 1U);
}

TEST(AgentCore, RepeatOfARefusedOfferIsNotRun) {
  AgentRig rig;
  rig.offer(offerOf(1));
  rig.apply(RunFailed{
      rig.Started[0].Run, {ErrorKind::ServerLost, "refused"}, Outcome::NotRun});
  rig.offer(offerOf(1));
  EXPECT_EQ(rig.Started.size(), 1U);
  rig.offer(offerOf(1, 2));
  EXPECT_EQ(rig.Started.size(), 2U);
}

TEST(AgentCore, DrainFinishesAcceptedRequests) {
  AgentRig rig;
  for (uint64_t i = 1; i <= 3; ++i)
    rig.offer(offerOf(i));
  rig.apply(DrainRequested{});
  EXPECT_FALSE(rig.Core.isDrained());
  for (size_t i = 0; i < 3; ++i) {
    ASSERT_LT(i, rig.Started.size());
    rig.done(rig.Started[i].Run);
  }
  EXPECT_EQ(rig.sentTo<wire::Finished>(LinkA).size(), 3U);
  EXPECT_TRUE(rig.Core.isDrained());
}

TEST(AgentCore, WeightSwapRefusesWaitingRequests) {
  AgentRig rig;
  for (uint64_t i = 1; i <= 3; ++i)
    rig.offer(offerOf(i));
  EngineStatus next = engineStatus();
  next.Version = "v2";
  rig.apply(next);
  rig.done(rig.Started[0].Run);
  EXPECT_EQ(rig.Started.size(), 2U);
  EXPECT_EQ(rig.lastTo<wire::Refused>(LinkA).Kind, ErrorKind::NotReady);
  EXPECT_EQ(rig.lastTo<wire::Refused>(LinkA).RunOutcome, Outcome::NotRun);
}

TEST(AgentCore, SnapshotShowsRunningWaitingAndRefused) {
  AgentRig rig;
  for (uint64_t i = 1; i <= 3; ++i)
    rig.offer(offerOf(i));
  wire::Offer bad = offerOf(4);
  bad.Model = "other";
  rig.offer(bad);
  rig.advanceTime(Duration(100'000));
  auto latest = rig.Core.snapshot().load();
  EXPECT_EQ(latest->Runs.size(), 3U);
  EXPECT_EQ(latest->Load.Running, 2U);
  EXPECT_EQ(latest->Load.Waiting, 1U);
  ASSERT_EQ(latest->Refusals.size(), 1U);
  EXPECT_EQ(latest->Refusals[0].Kind, ErrorKind::UnknownModel);
}

} // namespace
} // namespace daisytack::serve::test
