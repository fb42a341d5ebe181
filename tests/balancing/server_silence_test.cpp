/// Servers that fall silent: when they are probed, and when they are lost.
#include "balancing/server_silence.h"

#include "balancing/server_loads.h"

#include <gtest/gtest.h>

namespace daisytack::balancing {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{Duration(1'000'000'000)};

TEST(MaxSilence, FollowsTheTargetAndThePredictedPrefill) {
  EXPECT_EQ(maxSilence({}, 500ms, 0ms), 300ms);
  EXPECT_EQ(maxSilence({}, 500ms, 200ms), 500ms);
  EXPECT_EQ(maxSilence({}, 100ms, 0ms), 150ms);
  EXPECT_EQ(maxSilence({}, 10s, 0ms), 1200ms);
  EXPECT_EQ(maxSilence({}, 0ms, 200ms), 0ms);
  SilenceSettings off;
  off.Share = 0;
  EXPECT_EQ(maxSilence(off, 500ms, 200ms), 0ms);
}

/// Guards against a lost server that gets requests with a target of 500 ms for
/// 1.2 s, and against avoiding an engine that prefills a long prompt.
TEST(ServerSilence, FollowsTheRequestsInFlight) {
  ServerLoads loads{{}};
  loads.onSent("a", {3000, true, 300ms, Start}, Start);
  loads.onSent("a", {12'000, false, 900ms, Start}, Start);
  EXPECT_TRUE(loads.busyServers(Start + 299ms).Silent.empty());
  EXPECT_EQ(loads.busyServers(Start + 300ms).Silent.size(), 1U);
  EXPECT_TRUE(loads.view("a", Start + 300ms).IsAvoided);
  loads.onEnded("a", {3000, true, 300ms, Start}, false, Start + 300ms);
  EXPECT_FALSE(loads.view("a", Start + 899ms).IsAvoided);
  loads.onActivity("a", Start + 899ms);
  EXPECT_FALSE(loads.view("a", Start + 900ms).IsAvoided);
}

/// Guards against avoiding a server that prefills a long prompt as soon as it
/// gets an urgent one.
TEST(ServerSilence, CountsFromTheSendingOfARequest) {
  ServerLoads loads{{}};
  loads.onSent("a", {12'000, false, 900ms, Start}, Start);
  loads.onSent("a", {3000, true, 300ms, Start + 400ms}, Start + 400ms);
  EXPECT_TRUE(loads.busyServers(Start + 699ms).Silent.empty());
  EXPECT_EQ(loads.busyServers(Start + 700ms).Silent.size(), 1U);
}

/// Guards against streams that wait for a lost server until their deadline.
TEST(ServerSilence, CountsStreamsThatHaveBegun) {
  ServerLoads loads{{}};
  loads.onSent("a", {3000, true, 300ms, Start}, Start);
  loads.onFirstByte("a", {3000, true, 300ms, Start}, Start + 100ms);
  EXPECT_TRUE(loads.busyServers(Start + 1299ms).Silent.empty());
  EXPECT_EQ(loads.busyServers(Start + 1300ms).Silent.size(), 1U);
  loads.onEnded("a", {3000, true, 300ms, Start}, true, Start + 1400ms);
  EXPECT_TRUE(loads.busyServers(Start + 9s).Silent.empty());
}

/// Guards against avoiding a server for the silence of a caller: an answer that
/// its caller doesn't read is not read from its server.
TEST(ServerSilence, DoesNotCountAnswersThatThisEntryStopsReading) {
  ServerLoads loads{{}};
  loads.onSent("a", {3000, true, 300ms, Start}, Start);
  loads.onFirstByte("a", {3000, true, 300ms, Start}, Start + 100ms);
  loads.onPaused("a", {3000, true, 300ms, Start});
  EXPECT_TRUE(loads.busyServers(Start + 9s).Silent.empty());
  EXPECT_FALSE(loads.view("a", Start + 9s).IsAvoided);
  loads.onResumed("a", {3000, true, 300ms, Start + 9s}, Start + 9s);
  EXPECT_FALSE(loads.view("a", Start + 10s).IsAvoided);
  EXPECT_EQ(loads.busyServers(Start + 10'200ms).Silent.size(), 1U);
  loads.onEnded("a", {3000, true, 300ms, Start + 9s}, true, Start + 11s);
  EXPECT_TRUE(loads.busyServers(Start + 20s).Silent.empty());
}

/// Guards against calling a server silent that serves the requests of others,
/// and against entries that take each other's new requests for an answer.
TEST(ServerSilence, CountsWhatOtherEntriesReceived) {
  ServerLoads loads{{}};
  ServerLoads other{{}};
  loads.onSent("a", {3000, true, 300ms, Start}, Start);
  other.onSent("a", {3000, true, 300ms, Start + 200ms}, Start + 200ms);
  loads.onPeerReport("other", other.ownLoads(Start + 250ms), 100ms,
                     Start + 250ms);
  EXPECT_EQ(loads.busyServers(Start + 300ms).Silent.size(), 1U);
  other.onActivity("a", Start + 260ms);
  loads.onPeerReport("other", other.ownLoads(Start + 310ms), 100ms,
                     Start + 310ms);
  EXPECT_TRUE(loads.busyServers(Start + 500ms).Silent.empty());
  EXPECT_EQ(loads.busyServers(Start + 570ms).Silent.size(), 1U);
}

class ServerProbingTest : public testing::Test {
protected:
  /// Handles both connection attempts of a probe.
  bool probe(uint64_t server, ProbeResult first, ProbeResult second,
             const BusyServers &servers) {
    if (Probing.onProbed(server, first))
      Probing.onProbed(server, second);
    return Probing.takeLost(server, servers, Start + 4s);
  }

  ServerProbing Probing{{}};
  const BusyServers OneOfFour{4, {7}, Start};
};

TEST_F(ServerProbingTest, LosesAServerThatAcceptsNoConnection) {
  EXPECT_EQ(Probing.onTimer(OneOfFour, Start), std::vector<uint64_t>{7});
  EXPECT_TRUE(
      probe(7, ProbeResult::TimedOut, ProbeResult::TimedOut, OneOfFour));
  EXPECT_FALSE(Probing.takeLost(7, OneOfFour, Start + 1s));
}

TEST_F(ServerProbingTest, KeepsAServerThatIsOnlySlow) {
  Probing.onTimer(OneOfFour, Start);
  EXPECT_FALSE(
      probe(7, ProbeResult::Established, ProbeResult::Established, OneOfFour));
  Probing.onTimer(OneOfFour, Start + 1s);
  EXPECT_FALSE(
      probe(7, ProbeResult::TimedOut, ProbeResult::Established, OneOfFour));
  Probing.onTimer(OneOfFour, Start + 2s);
  // It closed its listening socket, but may finish its requests.
  EXPECT_FALSE(
      probe(7, ProbeResult::TimedOut, ProbeResult::Refused, OneOfFour));
  // It has answered in the meantime.
  Probing.onTimer(OneOfFour, Start + 3s);
  EXPECT_FALSE(
      probe(7, ProbeResult::TimedOut, ProbeResult::TimedOut, {4, {}, Start}));
}

/// Guards against probing a server with every request, or all the time.
TEST_F(ServerProbingTest, ProbesAServerOnceASecond) {
  EXPECT_EQ(Probing.onTimer(OneOfFour, Start).size(), 1U);
  EXPECT_TRUE(Probing.onTimer(OneOfFour, Start + 100ms).empty());
  Probing.onProbed(7, ProbeResult::Established);
  EXPECT_TRUE(Probing.onTimer(OneOfFour, Start + 900ms).empty());
  EXPECT_EQ(Probing.onTimer(OneOfFour, Start + 1s).size(), 1U);
}

/// Guards against an entry that was suspended or cut off, and ends the requests
/// at all servers.
TEST_F(ServerProbingTest, FindsNoServerLostWhileItReceivesNothing) {
  const BusyServers most{4, {7, 8, 9}, Start - 1s};
  EXPECT_TRUE(Probing.onTimer(most, Start).empty());
  EXPECT_EQ(Probing.onTimer(OneOfFour, Start).size(), 1U);
  EXPECT_FALSE(probe(7, ProbeResult::TimedOut, ProbeResult::TimedOut, most));
  // A failure domain may be lost at once, and the others have answered all.
  EXPECT_EQ(Probing.onTimer({3, {4, 5, 6}, Start - 100ms}, Start).size(), 3U);
  EXPECT_EQ(Probing.onTimer({12, {1, 2, 3}, Start - 1s}, Start).size(), 3U);
}

} // namespace
} // namespace daisytack::balancing
