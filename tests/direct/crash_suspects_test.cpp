#include "direct/crash_suspects.h"

#include "direct/peer_messages.h"
#include "wire/codec.h"

#include <gtest/gtest.h>

namespace daisytack::direct {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{Duration(1'000'000'000)};
constexpr Id128 Poison{1, 1};
constexpr Id128 Other{2, 2};
constexpr double All = 1;

/// One server after the other ends under the request, each time it is sent.
void endInTurn(CrashSuspects &it, const Id128 &request, uint64_t firstServer,
               size_t servers, TimePoint now = Start) {
  for (size_t i = 0; i < servers; ++i)
    it.onConnectionBroken(request, firstServer + i, it.incidents(request), now);
}

TEST(CrashSuspects, QuarantinesARequestUnderWhichThreeServersEnded) {
  CrashSuspects it({});
  EXPECT_TRUE(it.isEmpty());
  EXPECT_TRUE(it.onConnectionBroken(Poison, 1, 0, Start).empty());
  EXPECT_TRUE(it.onConnectionBroken(Poison, 2, 1, Start + 1s).empty());
  EXPECT_FALSE(it.quarantineLeft(Poison, Start + 1s));
  EXPECT_EQ(it.onConnectionBroken(Poison, 3, 2, Start + 2s),
            std::vector{Poison});
  EXPECT_EQ(it.quarantineLeft(Poison, Start + 3s),
            CrashSuspectSettings().QuarantineDuration - 1s);
  EXPECT_FALSE(it.quarantineLeft(Other, Start + 3s));
}

TEST(CrashSuspects, CountsEachServerOnce) {
  CrashSuspects it({});
  for (uint32_t i = 0; i < 5; ++i)
    EXPECT_TRUE(it.onConnectionBroken(Poison, 1, i, Start).empty());
}

/// A failure domain goes dark: many callers send alike, and several servers end
/// under what they sent, but all of that was sent before any had ended.
TEST(CrashSuspects, DoesNotAccuseForServersThatEndTogether) {
  CrashSuspects it({});
  for (uint64_t server = 1; server <= 6; ++server)
    it.onConnectionBroken(Poison, server, 0, Start);
  EXPECT_FALSE(it.quarantineLeft(Poison, Start));
}

/// An attempt that was sent when something was known against the request ends
/// after that was cleared.
TEST(CrashSuspects, TakesNoAttemptForASecondOccasionAfterAClearing) {
  CrashSuspects it({});
  it.onConnectionBroken(Poison, 1, 0, Start);
  CrashReports answered;
  answered.Cleared = {{Poison, 0}};
  it.onPeerReports(answered, Start + 1s);
  it.onConnectionBroken(Poison, 2, 1, Start + 2s);
  EXPECT_EQ(it.incidents(Poison), 1);
}

/// Servers flap: they end again and again under a request that is answered in
/// between.
TEST(CrashSuspects, ClearsARequestThatIsAnswered) {
  CrashSuspects one({});
  CrashSuspects two({});
  for (uint64_t round = 0; round < 5; ++round) {
    TimePoint now = Start + round * 1s;
    one.onConnectionBroken(Poison, 10 * round, one.incidents(Poison), now);
    two.onPeerReports(one.takeReports(All, now + 200ms), now + 200ms);
    two.onConnectionBroken(Poison, 10 * round + 1, two.incidents(Poison),
                           now + 300ms);
    one.onPeerReports(two.takeReports(All, now + 500ms), now + 500ms);
    one.onAnswered(Poison, now + 600ms);
    two.onPeerReports(one.takeReports(All, now + 700ms), now + 700ms);
    EXPECT_EQ(two.incidents(Poison), 0);
  }
  EXPECT_FALSE(one.quarantineLeft(Poison, Start + 6s));
  EXPECT_FALSE(two.quarantineLeft(Poison, Start + 6s));
}

/// A server that resets connections, or fails to send an answer, lives on.
TEST(CrashSuspects, DropsWhatALivingServerSpeaksAgainst) {
  CrashSuspects it({});
  it.onConnectionBroken(Poison, 1, 0, Start);
  it.onConnectionBroken(Poison, 2, 1, Start + 1s);
  it.onServerAlive(1, Start + 1200ms);
  EXPECT_TRUE(it.onConnectionBroken(Poison, 3, 2, Start + 2s).empty());
  EXPECT_EQ(it.onConnectionBroken(Poison, 4, 3, Start + 3s),
            std::vector{Poison});
}

/// What it sent before its end may be read a moment later.
TEST(CrashSuspects, TakesNoByteOfTheSameMomentForASignOfLife) {
  CrashSuspects it({});
  it.onConnectionBroken(Poison, 1, 0, Start);
  it.onConnectionBroken(Poison, 2, 1, Start + 200ms);
  it.onServerAlive(2, Start + 210ms);
  EXPECT_EQ(it.onConnectionBroken(Poison, 3, 2, Start + 400ms),
            std::vector{Poison});
}

TEST(CrashSuspects, LiftsAQuarantineWhoseServersLive) {
  CrashSuspects one({});
  CrashSuspects two({});
  endInTurn(one, Poison, 1, 3);
  two.onPeerReports(one.takeReports(All, Start), Start);
  ASSERT_TRUE(two.quarantineLeft(Poison, Start));
  one.onServerAlive(2, Start + 200ms);
  EXPECT_FALSE(one.quarantineLeft(Poison, Start + 200ms));
  EXPECT_TRUE(one.wasCleared(Poison, Start + 200ms));
  two.onPeerReports(one.takeReports(All, Start + 200ms), Start + 200ms);
  EXPECT_FALSE(two.quarantineLeft(Poison, Start + 200ms));
}

/// Others run on each server that ends; the retry of one may meet it again.
TEST(CrashSuspects, AcquitsWhatRanBesideTheGuiltyOne) {
  CrashSuspects it({});
  for (uint64_t server = 1; server <= 3; ++server) {
    it.onConnectionBroken(Other, server, it.incidents(Other),
                          Start + server * 1ms);
    if (server == 2) // The guilty one is known before the third ends.
      endInTurn(it, Poison, 1, 3, Start + 2ms);
  }
  EXPECT_TRUE(it.quarantineLeft(Poison, Start + 4ms));
  EXPECT_FALSE(it.quarantineLeft(Other, Start + 4ms));
  EXPECT_EQ(it.incidents(Other), 0);
}

/// Many callers send it alike, some of them in vain while all servers end.
TEST(CrashSuspects, BelievesNothingAgainstWhatItAnsweredLately) {
  CrashSuspects answers({});
  answers.onAnswered(Poison, Start);
  CrashSuspects accuses({});
  endInTurn(accuses, Poison, 1, 3, Start + 20s);
  TimePoint now = Start + 20s;
  ASSERT_TRUE(accuses.quarantineLeft(Poison, now));
  EXPECT_TRUE(
      answers.onPeerReports(accuses.takeReports(All, now), now).empty());
  EXPECT_TRUE(answers.onQuarantineRecord(Poison, now).empty());
  EXPECT_FALSE(answers.isEmpty()); // It has something to tell.
  accuses.onPeerReports(answers.takeReports(All, now), now);
  EXPECT_FALSE(accuses.quarantineLeft(Poison, now));
}

TEST(CrashSuspects, ForgetsAnswersInTime) {
  CrashSuspects it({});
  it.onAnswered(Poison, Start);
  it.onTimer(Start + 31s); // Though nothing else is answered.
  it.onTimer(Start + 62s);
  endInTurn(it, Poison, 1, 3, Start + 63s);
  EXPECT_TRUE(it.quarantineLeft(Poison, Start + 63s));
}

TEST(CrashSuspects, SumsUpWhatEntriesSaw) {
  CrashSuspects one({});
  CrashSuspects two({});
  one.onConnectionBroken(Poison, 1, 0, Start);
  EXPECT_TRUE(one.takeReports(All, Start).isEmpty()); // It may live.
  TimePoint now = Start + 150ms;
  two.onPeerReports(one.takeReports(All, now), now);
  EXPECT_EQ(two.incidents(Poison), 1);
  two.onConnectionBroken(Poison, 2, two.incidents(Poison), now);
  now += 150ms;
  EXPECT_EQ(two.onConnectionBroken(Poison, 3, two.incidents(Poison), now),
            std::vector{Poison});
  EXPECT_EQ(one.onPeerReports(two.takeReports(All, now), now),
            std::vector{Poison});
}

TEST(CrashSuspects, TellsEachEntrySeveralTimesAndThenNoMore) {
  CrashSuspects it({});
  endInTurn(it, Poison, 1, 3);
  int told = 0;
  while (!it.takeReports(0.5, Start + 1s).isEmpty())
    ++told;
  EXPECT_EQ(told, 6);
}

/// An entry that has only just started is told by whoever knows.
TEST(CrashSuspects, AnswersASuspicionOfWhatIsQuarantined) {
  CrashSuspects knows({});
  endInTurn(knows, Poison, 1, 3);
  while (!knows.takeReports(All, Start + 1s).isEmpty())
    ;
  CrashSuspects fresh({});
  fresh.onConnectionBroken(Poison, 9, 0, Start + 1s);
  TimePoint now = Start + 1200ms;
  knows.onPeerReports(fresh.takeReports(All, now), now);
  EXPECT_EQ(fresh.onPeerReports(knows.takeReports(All, now), now),
            std::vector{Poison});
}

TEST(CrashSuspects, LearnsFromARecordUnlessTheRequestWasJustCleared) {
  CrashSuspects it({});
  EXPECT_EQ(it.onQuarantineRecord(Poison, Start), std::vector{Poison});
  EXPECT_TRUE(it.onQuarantineRecord(Poison, Start).empty());
  EXPECT_EQ(it.quarantinedRequests(Start), std::vector{Poison});
  it.onAnswered(Poison, Start);
  EXPECT_TRUE(it.onQuarantineRecord(Poison, Start).empty());
  EXPECT_TRUE(it.quarantinedRequests(Start).empty());
}

TEST(CrashSuspects, QuarantinesAgainAfterOneMoreServer) {
  CrashSuspects it({});
  endInTurn(it, Poison, 1, 5);
  TimePoint later = Start + CrashSuspectSettings().QuarantineDuration;
  it.onTimer(later);
  EXPECT_FALSE(it.quarantineLeft(Poison, later));
  EXPECT_EQ(it.onConnectionBroken(Poison, 9, it.incidents(Poison), later),
            std::vector{Poison});
}

TEST(CrashSuspects, ForgetsASuspicionInTime) {
  CrashSuspects it({});
  endInTurn(it, Poison, 1, 2);
  it.onTimer(Start + CrashSuspectSettings().QuarantineDuration);
  EXPECT_TRUE(it.isEmpty());
}

TEST(CrashSuspects, KeepsQuarantinesAndTheNewestSuspicionsInItsBounds) {
  CrashSuspectSettings settings;
  settings.MostSuspects = 10;
  CrashSuspects it(settings);
  endInTurn(it, Poison, 1, 3);
  for (uint64_t i = 0; i < 100; ++i)
    it.onConnectionBroken({7, i}, 100 + i, 0, Start + i * 1ms);
  EXPECT_TRUE(it.quarantineLeft(Poison, Start));
  EXPECT_EQ(it.incidents({7, 99}), 1);
  EXPECT_EQ(it.incidents({7, 80}), 0);
}

TEST(CrashSuspects, NeverQuarantinesWhenSwitchedOff) {
  CrashSuspectSettings settings;
  settings.ServersToQuarantine = 0;
  CrashSuspects it(settings);
  endInTurn(it, Poison, 1, 9);
  EXPECT_TRUE(it.isEmpty());
  EXPECT_TRUE(it.onQuarantineRecord(Poison, Start).empty());
}

TEST(CrashSuspects, FitsIntoOneDatagram) {
  CrashSuspects it({});
  for (uint64_t request = 1; request <= 50; ++request) {
    endInTurn(it, {request, 0}, 100 * request, 9);
    it.onConnectionBroken({request, 1}, request, 0, Start);
    it.onConnectionBroken({request, 2}, 50 + request, 0, Start);
    it.onAnswered({request, 1}, Start);
    it.onServerAlive(50 + request, Start + 200ms);
  }
  std::string bytes =
      wire::encode(PeerMessage(it.takeReports(All, Start + 1s)));
  EXPECT_LE(bytes.size(), MaxDatagramBytes);
}

} // namespace
} // namespace daisytack::direct
