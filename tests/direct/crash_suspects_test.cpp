#include "direct/crash_suspects.h"

#include "direct/peer_messages.h"
#include "wire/codec.h"

#include <gtest/gtest.h>

namespace daisytack::direct {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{Duration(1'000'000'000)};
constexpr Id128 Poison{1, 2};
constexpr Id128 Other{2, 2};
constexpr double AllEntries = 1; ///< Share of entries for takeReports().

/// Crashes a server under the request, which was sent at `sentAt`.
std::vector<Id128> crash(CrashSuspects &it, const Id128 &request,
                         uint64_t server, TimePoint sentAt, TimePoint now) {
  return it.onConnectionBroken({&request, 1}, server, sentAt, now);
}

void answer(CrashSuspects &it, const Id128 &request, TimePoint now) {
  it.onAnswered({&request, 1}, now);
}

std::optional<Duration> quarantineLeft(const CrashSuspects &it,
                                       const Id128 &request, TimePoint now) {
  return it.quarantineLeft({&request, 1}, now);
}

/// Crashes servers one after the other under the request, as separate
/// incidents.
void crashInTurn(CrashSuspects &it, const Id128 &request, uint64_t firstServer,
                 size_t servers, TimePoint now = Start) {
  for (size_t i = 0; i < servers; ++i)
    crash(it, request, firstServer + i, now, now);
}

TEST(CrashSuspects, QuarantinesARequestAfterThreeServersCrashed) {
  CrashSuspects it({});
  EXPECT_TRUE(it.isEmpty());
  EXPECT_TRUE(crash(it, Poison, 1, Start, Start).empty());
  EXPECT_TRUE(crash(it, Poison, 2, Start + 1s, Start + 1s).empty());
  EXPECT_FALSE(quarantineLeft(it, Poison, Start + 1s));
  EXPECT_EQ(crash(it, Poison, 3, Start + 2s, Start + 2s), std::vector{Poison});
  EXPECT_EQ(quarantineLeft(it, Poison, Start + 3s),
            CrashSuspectSettings().QuarantineDuration - 1s);
  EXPECT_FALSE(quarantineLeft(it, Other, Start + 3s));
}

TEST(CrashSuspects, CountsEachServerOnce) {
  CrashSuspects it({});
  for (uint32_t i = 0; i < 5; ++i)
    EXPECT_TRUE(crash(it, Poison, 1, Start, Start).empty());
}

/// Guards against: the outage of a failure domain quarantines a request that
/// many callers send identically. All its attempts were sent before the first
/// server crashed, so the crashes are one incident.
TEST(CrashSuspects, DoesNotQuarantineForServersThatCrashTogether) {
  CrashSuspects it({});
  for (uint64_t server = 1; server <= 6; ++server)
    crash(it, Poison, server, Start - 1s, Start);
  EXPECT_FALSE(quarantineLeft(it, Poison, Start));
}

/// Guards against a quarantine by one outage: servers 1 to 3 crash together
/// after a connection to server 9 was reset, which then answers.
TEST(CrashSuspects, LiftsAQuarantineThatOneIncidentIsLeftOf) {
  CrashSuspects it({});
  crash(it, Poison, 9, Start, Start);
  for (uint64_t server = 1; server <= 3; ++server)
    crash(it, Poison, server, Start + 200ms, Start + 500ms);
  ASSERT_TRUE(quarantineLeft(it, Poison, Start + 500ms));
  it.onServerAlive(9, Start + 300ms, Start + 600ms);
  EXPECT_EQ(it.incidents(Poison), 1U);
  EXPECT_FALSE(quarantineLeft(it, Poison, Start + 600ms));
}

/// A record names servers, but not when they crashed: what is left of its
/// crashes may still be several incidents.
TEST(CrashSuspects, KeepsARecordedQuarantineThatLosesOneOfFourCrashes) {
  CrashSuspects it({});
  it.onQuarantineRecord(Poison, {1, 2, 3, 4}, Start);
  it.onServerAlive(4, Start + 100ms, Start + 200ms);
  EXPECT_TRUE(quarantineLeft(it, Poison, Start + 200ms));
}

/// Guards against: an attempt that was sent while an incident was known against
/// the request breaks after the request was cleared, and counts as the second
/// incident.
TEST(CrashSuspects, CountsOneIncidentAfterTheRequestWasCleared) {
  CrashSuspects it({});
  crash(it, Poison, 1, Start, Start);
  CrashReports answered;
  answered.Answered = {{Poison, 0}};
  it.onPeerReports(answered, Start + 1s);
  crash(it, Poison, 2, Start + 500ms, Start + 2s);
  EXPECT_EQ(it.incidents(Poison), 1);
}

/// Guards against: servers that crash again and again quarantine a request that
/// is answered in between.
TEST(CrashSuspects, ClearsARequestThatIsAnswered) {
  CrashSuspects one({});
  CrashSuspects two({});
  for (uint64_t round = 0; round < 5; ++round) {
    TimePoint now = Start + round * 1s;
    crash(one, Poison, 10 * round, now, now);
    two.onPeerReports(one.takeReports(AllEntries, now + 200ms), now + 200ms);
    crash(two, Poison, 10 * round + 1, now + 300ms, now + 300ms);
    one.onPeerReports(two.takeReports(AllEntries, now + 500ms), now + 500ms);
    answer(one, Poison, now + 600ms);
    two.onPeerReports(one.takeReports(AllEntries, now + 700ms), now + 700ms);
    EXPECT_EQ(two.incidents(Poison), 0);
  }
  EXPECT_FALSE(quarantineLeft(one, Poison, Start + 6s));
  EXPECT_FALSE(quarantineLeft(two, Poison, Start + 6s));
}

/// A server that reset a connection or failed to send an answer has not
/// crashed: its later answers disprove the crash.
TEST(CrashSuspects, DropsTheCrashOfAServerThatIsAlive) {
  CrashSuspects it({});
  crash(it, Poison, 1, Start, Start);
  crash(it, Poison, 2, Start + 1s, Start + 1s);
  it.onServerAlive(1, Start + 1100ms, Start + 1200ms);
  EXPECT_TRUE(crash(it, Poison, 3, Start + 2s, Start + 2s).empty());
  EXPECT_EQ(crash(it, Poison, 4, Start + 3s, Start + 3s), std::vector{Poison});
}

/// Data that a server sent before its crash may be read after the connection
/// broke, much later by a busy entry, and does not disprove the crash.
TEST(CrashSuspects, IgnoresDataReadShortlyAfterTheCrash) {
  CrashSuspects it({});
  crash(it, Poison, 1, Start, Start);
  crash(it, Poison, 2, Start + 200ms, Start + 200ms);
  it.onServerAlive(2, Start + 100ms, Start + 210ms);
  it.onServerAlive(2, Start + 190ms, Start + 900ms);
  EXPECT_EQ(crash(it, Poison, 3, Start + 400ms, Start + 1s),
            std::vector{Poison});
}

TEST(CrashSuspects, LiftsAQuarantineWhenItsServersAreAlive) {
  CrashSuspects one({});
  CrashSuspects two({});
  crashInTurn(one, Poison, 1, 3);
  two.onPeerReports(one.takeReports(AllEntries, Start), Start);
  ASSERT_TRUE(quarantineLeft(two, Poison, Start));
  one.onServerAlive(2, Start + 100ms, Start + 200ms);
  EXPECT_FALSE(quarantineLeft(one, Poison, Start + 200ms));
  EXPECT_TRUE(one.wasCleared(Poison));
  two.onPeerReports(one.takeReports(AllEntries, Start + 200ms), Start + 200ms);
  EXPECT_FALSE(quarantineLeft(two, Poison, Start + 200ms));
}

/// Guards against: a harmless request is quarantined because it and its retries
/// ran on the same servers as the request that crashed them.
TEST(CrashSuspects, ClearsARequestThatRanBesideTheCulprit) {
  CrashSuspects it({});
  for (uint64_t server = 1; server <= 8; ++server) {
    TimePoint now = Start + server * 1ms;
    crash(it, Other, server, now, now);
    if (server == 2) // The culprit is known before the third server crashes.
      crashInTurn(it, Poison, 1, 3, now);
    if (server > 3)
      crash(it, Poison, server, now, now);
  }
  EXPECT_TRUE(quarantineLeft(it, Poison, Start + 8ms));
  EXPECT_FALSE(quarantineLeft(it, Other, Start + 8ms));
}

/// Guards against: a request that many callers send identically is quarantined
/// by entries that got no answer to it while servers crashed, although another
/// entry answered it recently.
TEST(CrashSuspects, IgnoresReportsAgainstARecentlyAnsweredRequest) {
  CrashSuspects answering({});
  answer(answering, Poison, Start);
  CrashSuspects reporting({});
  crashInTurn(reporting, Poison, 1, 3, Start + 20s);
  TimePoint now = Start + 20s;
  ASSERT_TRUE(quarantineLeft(reporting, Poison, now));
  EXPECT_TRUE(
      answering.onPeerReports(reporting.takeReports(AllEntries, now), now)
          .empty());
  EXPECT_TRUE(answering.onQuarantineRecord(Poison, {}, now).empty());
  EXPECT_FALSE(answering.isEmpty()); // It has the cleared request to report.
  reporting.onPeerReports(answering.takeReports(AllEntries, now), now);
  EXPECT_FALSE(quarantineLeft(reporting, Poison, now));
}

TEST(CrashSuspects, ForgetsOldAnswers) {
  CrashSuspects it({});
  answer(it, Poison, Start);
  it.onTimer(Start + 31s); // Old answers expire without new ones.
  it.onTimer(Start + 62s);
  crashInTurn(it, Poison, 1, 3, Start + 63s);
  EXPECT_TRUE(quarantineLeft(it, Poison, Start + 63s));
}

TEST(CrashSuspects, CombinesTheReportsOfSeveralEntries) {
  CrashSuspects one({});
  CrashSuspects two({});
  crash(one, Poison, 1, Start, Start);
  // Nothing is reported while the server may be alive.
  EXPECT_TRUE(one.takeReports(AllEntries, Start).isEmpty());
  TimePoint now = Start + 150ms;
  two.onPeerReports(one.takeReports(AllEntries, now), now);
  EXPECT_EQ(two.incidents(Poison), 1);
  crash(two, Poison, 2, now, now);
  now += 150ms;
  EXPECT_EQ(crash(two, Poison, 3, now, now), std::vector{Poison});
  EXPECT_EQ(one.onPeerReports(two.takeReports(AllEntries, now), now),
            std::vector{Poison});
}

TEST(CrashSuspects, SendsEachReportALimitedNumberOfTimes) {
  CrashSuspects it({});
  crashInTurn(it, Poison, 1, 3);
  int sendCount = 0;
  while (!it.takeReports(0.5, Start + 1s).isEmpty())
    ++sendCount;
  EXPECT_EQ(sendCount, 6);
}

/// An entry that started recently and reports a crash learns of the quarantine
/// from the entries that know it.
TEST(CrashSuspects, AnswersAReportOnAQuarantinedRequest) {
  CrashSuspects informed({});
  crashInTurn(informed, Poison, 1, 3);
  while (!informed.takeReports(AllEntries, Start + 1s).isEmpty())
    ;
  CrashSuspects fresh({});
  crash(fresh, Poison, 9, Start, Start + 1s);
  TimePoint now = Start + 1200ms;
  informed.onPeerReports(fresh.takeReports(AllEntries, now), now);
  EXPECT_EQ(fresh.onPeerReports(informed.takeReports(AllEntries, now), now),
            std::vector{Poison});
}

TEST(CrashSuspects, LearnsFromARecordUnlessTheRequestWasJustCleared) {
  CrashSuspects it({});
  EXPECT_EQ(it.onQuarantineRecord(Poison, {}, Start), std::vector{Poison});
  EXPECT_TRUE(it.onQuarantineRecord(Poison, {}, Start).empty());
  EXPECT_EQ(it.quarantined(Start), std::vector{Poison});
  answer(it, Poison, Start);
  EXPECT_TRUE(it.onQuarantineRecord(Poison, {}, Start).empty());
  EXPECT_TRUE(it.quarantined(Start).empty());
}

TEST(CrashSuspects, QuarantinesAgainAfterOneMoreCrash) {
  CrashSuspects it({});
  crashInTurn(it, Poison, 1, 5);
  TimePoint later = Start + CrashSuspectSettings().QuarantineDuration;
  it.onTimer(later);
  EXPECT_FALSE(quarantineLeft(it, Poison, later));
  EXPECT_EQ(crash(it, Poison, 9, later, later), std::vector{Poison});
}

TEST(CrashSuspects, ForgetsOldSuspects) {
  CrashSuspects it({});
  crashInTurn(it, Poison, 1, 2);
  it.onTimer(Start + CrashSuspectSettings().QuarantineDuration);
  EXPECT_TRUE(it.isEmpty());
}

TEST(CrashSuspects, KeepsQuarantinesAndTheNewestSuspectsWhenFull) {
  CrashSuspectSettings settings;
  settings.MaxSuspects = 10;
  CrashSuspects it(settings);
  crashInTurn(it, Poison, 1, 3);
  for (uint64_t i = 0; i < 100; ++i)
    crash(it, {7, 2 * i}, 100 + i, Start, Start + i * 1ms);
  EXPECT_TRUE(quarantineLeft(it, Poison, Start));
  EXPECT_EQ(it.incidents({7, 198}), 1);
  EXPECT_EQ(it.incidents({7, 160}), 0);
}

TEST(CrashSuspects, NeverQuarantinesWhenSwitchedOff) {
  CrashSuspectSettings settings;
  settings.ServersToQuarantine = 0;
  CrashSuspects it(settings);
  crashInTurn(it, Poison, 1, 9);
  EXPECT_TRUE(it.isEmpty());
  EXPECT_TRUE(it.onQuarantineRecord(Poison, {}, Start).empty());
}

constexpr Id128 GuiltyPart{3, 1};
constexpr Id128 SoundPart{4, 1};
constexpr Id128 OtherPart{5, 1};

/// Crashes a server under a request with the parts, which no other one equals.
std::vector<Id128> crashPrompt(CrashSuspects &it, std::vector<Id128> parts,
                               uint64_t server, TimePoint now) {
  parts.push_back({9, 2 * server});
  return it.onConnectionBroken(parts, server, now, now);
}

void answerPrompt(CrashSuspects &it, const std::vector<Id128> &parts,
                  TimePoint now) {
  it.onAnswered(parts, now);
}

/// Guards against unlike requests with one part in common that crash servers
/// for ever.
TEST(CrashSuspects, QuarantinesAPartOfUnlikeRequests) {
  CrashSuspects it({});
  answerPrompt(it, {OtherPart}, Start);
  EXPECT_TRUE(crashPrompt(it, {GuiltyPart}, 1, Start + 1s).empty());
  EXPECT_TRUE(crashPrompt(it, {GuiltyPart}, 2, Start + 2s).empty());
  EXPECT_EQ(crashPrompt(it, {GuiltyPart}, 3, Start + 3s),
            std::vector{GuiltyPart});
}

/// Guards against accusing what all prompts share when all connections break
/// before the first prompt is answered.
TEST(CrashSuspects, AccusesNoPartBeforeAnyPromptIsAnswered) {
  CrashSuspects it({});
  for (uint64_t server = 1; server <= 9; ++server)
    crashPrompt(it, {SoundPart}, server, Start + server * 1s);
  EXPECT_FALSE(quarantineLeft(it, SoundPart, Start + 9s));
}

/// Guards against accusing a part of requests that have run on each crashed
/// server beside the culprit's.
TEST(CrashSuspects, AccusesThePartThatExplainsMoreCrashes) {
  CrashSuspects it({});
  answerPrompt(it, {OtherPart}, Start);
  for (uint64_t server = 1; server <= 4; ++server) {
    TimePoint now = Start + server * 1s;
    if (server > 1)
      crashPrompt(it, {SoundPart}, server, now);
    crashPrompt(it, {GuiltyPart}, server, now);
  }
  EXPECT_TRUE(quarantineLeft(it, GuiltyPart, Start + 4s));
  EXPECT_FALSE(quarantineLeft(it, SoundPart, Start + 4s));
}

/// Guards against convicting one of two parts that the same crashes accuse:
/// the next crash tells them apart.
TEST(CrashSuspects, WaitsWhileTwoPartsAreEquallySuspect) {
  CrashSuspects it({});
  answerPrompt(it, {OtherPart}, Start);
  for (uint64_t server = 1; server <= 3; ++server)
    crashPrompt(it, {GuiltyPart, SoundPart}, server, Start + server * 1s);
  EXPECT_TRUE(it.quarantined(Start + 3s).empty());
  EXPECT_EQ(crashPrompt(it, {GuiltyPart}, 4, Start + 4s),
            std::vector{GuiltyPart});
}

/// Guards against accusing a part of a request that crashes servers as a
/// whole.
TEST(CrashSuspects, AccusesTheWholeRequestBeforeItsPart) {
  CrashSuspects it({});
  answerPrompt(it, {OtherPart}, Start);
  std::vector<Id128> request{SoundPart, Poison};
  for (uint64_t server = 1; server <= 3; ++server) {
    TimePoint now = Start + server * 1s;
    it.onConnectionBroken(request, server, now, now);
  }
  EXPECT_EQ(it.quarantined(Start + 3s), std::vector{Poison});
}

/// Guards against a part that is found through whole requests only: two more
/// servers under another request with the part show it at the fifth crash.
TEST(CrashSuspects, AccusesAPartThatCrashesSeveralWholeRequests) {
  CrashSuspects it({});
  answerPrompt(it, {OtherPart}, Start);
  std::vector<Id128> first{GuiltyPart, Poison};
  std::vector<Id128> second{GuiltyPart, Other};
  for (uint64_t server = 1; server <= 5; ++server) {
    TimePoint now = Start + server * 1s;
    it.onConnectionBroken(server <= 3 ? first : second, server, now, now);
  }
  EXPECT_EQ(it.quarantined(Start + 5s), std::vector{GuiltyPart});
}

/// Guards against accusing what was answered a moment ago on the evidence that
/// suffices for what never was, and against sparing it for half a minute.
TEST(CrashSuspects, NeedsMoreEvidenceAgainstAPartAnsweredLately) {
  CrashSuspects it({});
  answerPrompt(it, {GuiltyPart}, Start);
  for (uint64_t server = 1; server <= 5; ++server) {
    EXPECT_FALSE(quarantineLeft(it, GuiltyPart, Start + server * 1s));
    crashPrompt(it, {GuiltyPart}, server, Start + server * 1s);
  }
  EXPECT_TRUE(quarantineLeft(it, GuiltyPart, Start + 5s));
}

/// Guards against a wrong quarantine that nothing could clear, and against
/// probes that crash more than three servers after the fifth.
TEST(CrashSuspects, ProbesAQuarantinedPartLessOftenTheMoreServersCrashed) {
  CrashSuspects it({});
  answerPrompt(it, {OtherPart}, Start);
  uint64_t server = 0;
  while (!quarantineLeft(it, GuiltyPart, Start))
    crashPrompt(it, {GuiltyPart}, ++server, Start);
  std::vector<Id128> request{GuiltyPart, {9, 1000}};
  size_t probesAfterFifth = 0;
  for (TimePoint now = Start; now < Start + 600s; now += 1s) {
    if (!it.takeProbe(request, now))
      continue;
    probesAfterFifth += server >= 5 ? 1 : 0;
    it.onConnectionBroken(request, ++server, now, now + 100ms);
  }
  EXPECT_GE(probesAfterFifth, 1U);
  EXPECT_LE(probesAfterFifth, 3U);
}

TEST(CrashSuspects, LiftsTheQuarantineOfAPartWhoseProbeIsAnswered) {
  CrashSuspects it({});
  answerPrompt(it, {OtherPart}, Start);
  for (uint64_t server = 1; server <= 3; ++server)
    crashPrompt(it, {SoundPart}, server, Start);
  std::vector<Id128> request{SoundPart, {9, 1000}};
  EXPECT_FALSE(it.takeProbe(request, Start + 1s));
  EXPECT_TRUE(it.takeProbe(request, Start + 3s));
  EXPECT_FALSE(it.takeProbe(request, Start + 3s));
  it.onAnswered(request, Start + 4s);
  EXPECT_FALSE(quarantineLeft(it, SoundPart, Start + 4s));
}

/// Guards against accusing a common part at an entry that has just started and
/// knows neither answers nor quarantines.
TEST(CrashSuspects, AccusesNoPartInItsFirstSecond) {
  CrashSuspects it({});
  it.onStart(Start);
  answerPrompt(it, {OtherPart}, Start);
  for (uint64_t server = 1; server <= 3; ++server)
    crashPrompt(it, {GuiltyPart}, server, Start + server * 100ms);
  EXPECT_FALSE(quarantineLeft(it, GuiltyPart, Start + 900ms));
  EXPECT_EQ(it.onTimer(Start + 1s), std::vector{GuiltyPart});
}

/// Guards against a quarantine that stays at an entry which knows it from the
/// record alone, after the entries with the evidence have lifted it.
TEST(CrashSuspects, LiftsAQuarantineThatAnotherEntryLifted) {
  CrashSuspects one({});
  CrashSuspects two({});
  crashInTurn(one, Poison, 1, 3);
  two.onQuarantineRecord(Poison, {}, Start);
  one.onServerAlive(2, Start + 100ms, Start + 200ms);
  two.onPeerReports(one.takeReports(AllEntries, Start + 200ms), Start + 200ms);
  EXPECT_FALSE(quarantineLeft(two, Poison, Start + 200ms));
}

/// Guards against a sound request that stays quarantined for resets of servers
/// that an outage takes down at the moment of the verdict, also on entries that
/// had no connection to them.
TEST(CrashSuspects, LiftsAQuarantineWhoseCrashesAreDisputedAtOnce) {
  CrashSuspects it({});
  CrashSuspects peer({});
  for (uint64_t i = 0; i < 3; ++i)
    crash(it, Other, i + 1, Start + i * 200ms, Start + i * 200ms);
  TimePoint now = Start + 400ms;
  peer.onPeerReports(it.takeReports(AllEntries, now), now);
  ASSERT_TRUE(quarantineLeft(it, Other, now));
  ASSERT_TRUE(quarantineLeft(peer, Other, now));
  crash(it, {3, 2}, 1, now, now);
  EXPECT_FALSE(quarantineLeft(it, Other, now));
  now = now + 100ms;
  peer.onPeerReports(it.takeReports(AllEntries, now), now);
  EXPECT_FALSE(quarantineLeft(peer, Other, now));
}

/// Entries that were paused notice broken connections late.
TEST(CrashSuspects, KeepsAQuarantineThatIsDisputedLate) {
  CrashSuspects it({});
  crashInTurn(it, Poison, 1, 3);
  crash(it, Other, 1, Start, Start + 600ms);
  EXPECT_TRUE(quarantineLeft(it, Poison, Start + 600ms));
}

/// Guards against entries that started later and take crashes under a
/// quarantined signature for unexplained, as its record lacks them.
TEST(CrashSuspects, TellsAgainOfCrashesThatAReportOnAQuarantineLacks) {
  CrashSuspects one({});
  CrashSuspects two({});
  crashInTurn(one, Poison, 1, 4);
  for (int i = 0; i < 3; ++i)
    one.takeReports(AllEntries, Start + 200ms);
  two.onQuarantineRecord(Poison, {1, 2, 3}, Start);
  crash(two, Poison, 5, Start, Start + 200ms);
  TimePoint now = Start + 400ms;
  one.onPeerReports(two.takeReports(AllEntries, now), now);
  two.onPeerReports(one.takeReports(AllEntries, now), now);
  EXPECT_EQ(two.crashedServers(Poison).size(), 5U);
}

/// Guards against an entry that counts a recorded quarantine from its own
/// start: it would probe the signature too soon and refuse it for too long.
TEST(CrashSuspects, LearnsFromOthersWhatARecordLacks) {
  CrashSuspects one({});
  CrashSuspects two({});
  crashInTurn(one, Poison, 1, 4);
  for (int i = 0; i < 3; ++i)
    one.takeReports(AllEntries, Start + 200ms);
  TimePoint now = Start + 60s;
  two.onQuarantineRecord(Poison, {1, 2, 3}, now);
  one.onPeerReports(two.takeReports(AllEntries, now), now);
  two.onPeerReports(one.takeReports(AllEntries, now), now);
  EXPECT_EQ(two.crashedServers(Poison).size(), 4U);
  EXPECT_EQ(quarantineLeft(two, Poison, now),
            CrashSuspectSettings().QuarantineDuration - 60s);
  EXPECT_EQ(quarantineLeft(one, Poison, now),
            CrashSuspectSettings().QuarantineDuration - 60s);
}

/// Guards against a quarantine that ends early because another entry still
/// reports the one before.
TEST(CrashSuspects, KeepsTheEndOfItsOwnQuarantine) {
  CrashSuspects it({});
  crashInTurn(it, Poison, 1, 3);
  CrashReports reports;
  reports.Suspects = {{Poison, 2, {{1, 0}, {2, 0}, {3, 0}}, 50'000}};
  it.onPeerReports(reports, Start);
  EXPECT_EQ(quarantineLeft(it, Poison, Start),
            CrashSuspectSettings().QuarantineDuration);
}

/// Guards against a sound part that stays quarantined for crashes that a guilty
/// part explains, after other servers were seen to be running.
TEST(CrashSuspects, LiftsAPartWhoseRemainingCrashesAreExplained) {
  CrashSuspects it({});
  answerPrompt(it, {OtherPart}, Start);
  for (uint64_t server = 1; server <= 5; ++server)
    crashPrompt(it, {GuiltyPart}, server, Start + server * 100ms);
  for (uint64_t server : {1U, 2U, 3U, 6U, 7U})
    crashPrompt(it, {SoundPart}, server, Start + 1s + server * 100ms);
  ASSERT_TRUE(quarantineLeft(it, SoundPart, Start + 2s));
  it.onServerAlive(7, Start + 1900ms, Start + 2s);
  EXPECT_FALSE(quarantineLeft(it, SoundPart, Start + 2s));
  EXPECT_TRUE(quarantineLeft(it, GuiltyPart, Start + 2s));
}

/// A record doesn't tell when its servers crashed.
TEST(CrashSuspects, TakesNoRecordForADispute) {
  CrashSuspects it({});
  crashInTurn(it, Poison, 1, 2);
  it.onQuarantineRecord(Poison, {1, 2, 3}, Start + 400ms);
  crash(it, Other, 9, Start + 400ms, Start + 400ms);
  EXPECT_TRUE(quarantineLeft(it, Poison, Start + 400ms));
}

TEST(CrashSuspects, FitsIntoOneDatagram) {
  CrashSuspects it({});
  for (uint64_t request = 1; request <= 50; ++request) {
    crashInTurn(it, {request, 0}, 100 * request, 9);
    crash(it, {request, 1}, request, Start, Start);
    crash(it, {request, 2}, 50 + request, Start, Start);
    answer(it, {request, 1}, Start);
    it.onServerAlive(50 + request, Start + 100ms, Start + 200ms);
  }
  std::string bytes =
      wire::encode(PeerMessage(it.takeReports(AllEntries, Start + 1s)));
  EXPECT_LE(bytes.size(), MaxDatagramBytes);
}

} // namespace
} // namespace daisytack::direct
