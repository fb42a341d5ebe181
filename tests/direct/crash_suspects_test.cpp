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
    it.onBroken(request, firstServer + i, it.occasions(request), now);
}

TEST(CrashSuspects, QuarantinesARequestUnderWhichThreeServersEnded) {
  CrashSuspects it({});
  EXPECT_TRUE(it.isEmpty());
  EXPECT_TRUE(it.onBroken(Poison, 1, 0, Start).empty());
  EXPECT_TRUE(it.onBroken(Poison, 2, 1, Start + 1s).empty());
  EXPECT_FALSE(it.quarantineLeft(Poison, Start + 1s));
  EXPECT_EQ(it.onBroken(Poison, 3, 2, Start + 2s), std::vector{Poison});
  EXPECT_EQ(it.quarantineLeft(Poison, Start + 3s),
            CrashSuspectSettings().Memory - 1s);
  EXPECT_FALSE(it.quarantineLeft(Other, Start + 3s));
}

TEST(CrashSuspects, CountsEachServerOnce) {
  CrashSuspects it({});
  for (uint32_t i = 0; i < 5; ++i)
    EXPECT_TRUE(it.onBroken(Poison, 1, i, Start).empty());
}

/// A failure domain goes dark: many callers send alike, and several servers end
/// under what they sent, but all of that was sent before any had ended.
TEST(CrashSuspects, DoesNotAccuseForServersThatEndTogether) {
  CrashSuspects it({});
  for (uint64_t server = 1; server <= 6; ++server)
    it.onBroken(Poison, server, 0, Start);
  EXPECT_FALSE(it.quarantineLeft(Poison, Start));
}

/// An attempt that was sent when something was known against the request ends
/// after that was cleared.
TEST(CrashSuspects, TakesNoAttemptForASecondOccasionAfterAClearing) {
  CrashSuspects it({});
  it.onBroken(Poison, 1, 0, Start);
  CrashReports answered;
  answered.Cleared = {{Poison, 0}};
  it.onPeer(answered, Start + 1s);
  it.onBroken(Poison, 2, 1, Start + 2s);
  EXPECT_EQ(it.occasions(Poison), 1);
}

/// Servers flap: they end again and again under a request that is answered in
/// between.
TEST(CrashSuspects, ClearsARequestThatIsAnswered) {
  CrashSuspects one({});
  CrashSuspects two({});
  for (uint64_t round = 0; round < 5; ++round) {
    TimePoint now = Start + round * 1s;
    one.onBroken(Poison, 10 * round, one.occasions(Poison), now);
    two.onPeer(one.takeNews(All, now + 200ms), now + 200ms);
    two.onBroken(Poison, 10 * round + 1, two.occasions(Poison), now + 300ms);
    one.onPeer(two.takeNews(All, now + 500ms), now + 500ms);
    one.onAnswered(Poison, now + 600ms);
    two.onPeer(one.takeNews(All, now + 700ms), now + 700ms);
    EXPECT_EQ(two.occasions(Poison), 0);
  }
  EXPECT_FALSE(one.quarantineLeft(Poison, Start + 6s));
  EXPECT_FALSE(two.quarantineLeft(Poison, Start + 6s));
}

/// A server that resets connections, or fails to send an answer, lives on.
TEST(CrashSuspects, DropsWhatALivingServerSpeaksAgainst) {
  CrashSuspects it({});
  it.onBroken(Poison, 1, 0, Start);
  it.onBroken(Poison, 2, 1, Start + 1s);
  it.onHeardFrom(1, Start + 1200ms);
  EXPECT_TRUE(it.onBroken(Poison, 3, 2, Start + 2s).empty());
  EXPECT_EQ(it.onBroken(Poison, 4, 3, Start + 3s), std::vector{Poison});
}

/// What it sent before its end may be read a moment later.
TEST(CrashSuspects, TakesNoByteOfTheSameMomentForASignOfLife) {
  CrashSuspects it({});
  it.onBroken(Poison, 1, 0, Start);
  it.onBroken(Poison, 2, 1, Start + 200ms);
  it.onHeardFrom(2, Start + 210ms);
  EXPECT_EQ(it.onBroken(Poison, 3, 2, Start + 400ms), std::vector{Poison});
}

TEST(CrashSuspects, LiftsAQuarantineWhoseServersLive) {
  CrashSuspects one({});
  CrashSuspects two({});
  endInTurn(one, Poison, 1, 3);
  two.onPeer(one.takeNews(All, Start), Start);
  ASSERT_TRUE(two.quarantineLeft(Poison, Start));
  one.onHeardFrom(2, Start + 200ms);
  EXPECT_FALSE(one.quarantineLeft(Poison, Start + 200ms));
  EXPECT_TRUE(one.wasCleared(Poison, Start + 200ms));
  two.onPeer(one.takeNews(All, Start + 200ms), Start + 200ms);
  EXPECT_FALSE(two.quarantineLeft(Poison, Start + 200ms));
}

/// Others run on each server that ends; the retry of one may meet it again.
TEST(CrashSuspects, AcquitsWhatRanBesideTheGuiltyOne) {
  CrashSuspects it({});
  for (uint64_t server = 1; server <= 3; ++server) {
    it.onBroken(Other, server, it.occasions(Other), Start + server * 1ms);
    if (server == 2) // The guilty one is known before the third ends.
      endInTurn(it, Poison, 1, 3, Start + 2ms);
  }
  EXPECT_TRUE(it.quarantineLeft(Poison, Start + 4ms));
  EXPECT_FALSE(it.quarantineLeft(Other, Start + 4ms));
  EXPECT_EQ(it.occasions(Other), 0);
}

/// Many callers send it alike, some of them in vain while all servers end.
TEST(CrashSuspects, BelievesNothingAgainstWhatItAnsweredLately) {
  CrashSuspects answers({});
  answers.onAnswered(Poison, Start);
  CrashSuspects accuses({});
  endInTurn(accuses, Poison, 1, 3, Start + 20s);
  TimePoint now = Start + 20s;
  ASSERT_TRUE(accuses.quarantineLeft(Poison, now));
  EXPECT_TRUE(answers.onPeer(accuses.takeNews(All, now), now).empty());
  EXPECT_TRUE(answers.onRecord(Poison, now).empty());
  EXPECT_FALSE(answers.isEmpty()); // It has something to tell.
  accuses.onPeer(answers.takeNews(All, now), now);
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
  one.onBroken(Poison, 1, 0, Start);
  EXPECT_TRUE(one.takeNews(All, Start).isEmpty()); // It may live.
  TimePoint now = Start + 150ms;
  two.onPeer(one.takeNews(All, now), now);
  EXPECT_EQ(two.occasions(Poison), 1);
  two.onBroken(Poison, 2, two.occasions(Poison), now);
  now += 150ms;
  EXPECT_EQ(two.onBroken(Poison, 3, two.occasions(Poison), now),
            std::vector{Poison});
  EXPECT_EQ(one.onPeer(two.takeNews(All, now), now), std::vector{Poison});
}

TEST(CrashSuspects, TellsEachEntrySeveralTimesAndThenNoMore) {
  CrashSuspects it({});
  endInTurn(it, Poison, 1, 3);
  int told = 0;
  while (!it.takeNews(0.5, Start + 1s).isEmpty())
    ++told;
  EXPECT_EQ(told, 6);
}

/// An entry that has only just started is told by whoever knows.
TEST(CrashSuspects, AnswersASuspicionOfWhatIsQuarantined) {
  CrashSuspects knows({});
  endInTurn(knows, Poison, 1, 3);
  while (!knows.takeNews(All, Start + 1s).isEmpty())
    ;
  CrashSuspects fresh({});
  fresh.onBroken(Poison, 9, 0, Start + 1s);
  TimePoint now = Start + 1200ms;
  knows.onPeer(fresh.takeNews(All, now), now);
  EXPECT_EQ(fresh.onPeer(knows.takeNews(All, now), now), std::vector{Poison});
}

TEST(CrashSuspects, LearnsFromARecordUnlessTheRequestWasJustCleared) {
  CrashSuspects it({});
  EXPECT_EQ(it.onRecord(Poison, Start), std::vector{Poison});
  EXPECT_TRUE(it.onRecord(Poison, Start).empty());
  EXPECT_EQ(it.quarantined(Start), std::vector{Poison});
  it.onAnswered(Poison, Start);
  EXPECT_TRUE(it.onRecord(Poison, Start).empty());
  EXPECT_TRUE(it.quarantined(Start).empty());
}

TEST(CrashSuspects, QuarantinesAgainAfterOneMoreServer) {
  CrashSuspects it({});
  endInTurn(it, Poison, 1, 5);
  TimePoint later = Start + CrashSuspectSettings().Memory;
  it.onTimer(later);
  EXPECT_FALSE(it.quarantineLeft(Poison, later));
  EXPECT_EQ(it.onBroken(Poison, 9, it.occasions(Poison), later),
            std::vector{Poison});
}

TEST(CrashSuspects, ForgetsASuspicionInTime) {
  CrashSuspects it({});
  endInTurn(it, Poison, 1, 2);
  it.onTimer(Start + CrashSuspectSettings().Memory);
  EXPECT_TRUE(it.isEmpty());
}

TEST(CrashSuspects, KeepsQuarantinesAndTheNewestSuspicionsInItsBounds) {
  CrashSuspectSettings settings;
  settings.MostSuspects = 10;
  CrashSuspects it(settings);
  endInTurn(it, Poison, 1, 3);
  for (uint64_t i = 0; i < 100; ++i)
    it.onBroken({7, i}, 100 + i, 0, Start + i * 1ms);
  EXPECT_TRUE(it.quarantineLeft(Poison, Start));
  EXPECT_EQ(it.occasions({7, 99}), 1);
  EXPECT_EQ(it.occasions({7, 80}), 0);
}

TEST(CrashSuspects, NeverQuarantinesWhenSwitchedOff) {
  CrashSuspectSettings settings;
  settings.Servers = 0;
  CrashSuspects it(settings);
  endInTurn(it, Poison, 1, 9);
  EXPECT_TRUE(it.isEmpty());
  EXPECT_TRUE(it.onRecord(Poison, Start).empty());
}

TEST(CrashSuspects, FitsIntoOneDatagram) {
  CrashSuspects it({});
  for (uint64_t request = 1; request <= 50; ++request) {
    endInTurn(it, {request, 0}, 100 * request, 9);
    it.onBroken({request, 1}, request, 0, Start);
    it.onBroken({request, 2}, 50 + request, 0, Start);
    it.onAnswered({request, 1}, Start);
    it.onHeardFrom(50 + request, Start + 200ms);
  }
  std::string bytes = wire::encode(PeerMessage(it.takeNews(All, Start + 1s)));
  EXPECT_LE(bytes.size(), MaxDatagramBytes);
}

} // namespace
} // namespace daisytack::direct
