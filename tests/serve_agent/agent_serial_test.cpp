/// Tests of an agent whose engine prefills only one prompt at a time.
#include "serve_agent/fake_platform.h"

#include <gtest/gtest.h>

namespace daisytack::serve::test {
namespace {

AgentSettings serialSettings() {
  AgentSettings out = modelSettings();
  out.Queue.Slots = 8;
  out.Queue.MaxPrefills = 1;
  out.Stores.Instances = {{"s1", "imanta", {"127.0.0.1", 1}, hashName("s1")}};
  return out;
}

wire::Offer longOffer(uint64_t id, uint8_t pieces) {
  wire::Offer out = offerOf(id);
  for (uint8_t i = 1; i <= pieces; ++i)
    out.Pieces.push_back(keyOf(i));
  out.PromptTokens = pieces * PieceTokens + 100;
  out.KeepMicros = 3'600'000'000;
  return out;
}

} // namespace

TEST(AgentSerialPrefill, NextPrefillStartsAfterTheFirstTokenOfThePreviousRun) {
  AgentRig rig(serialSettings());
  rig.offer(offerOf(1));
  rig.offer(offerOf(2));
  ASSERT_EQ(rig.Started.size(), 1U);
  rig.text(rig.Started[0].Run, "a");
  ASSERT_EQ(rig.Started.size(), 2U);
  rig.text(rig.Started[1].Run, "a");
  rig.offer(offerOf(3));
  EXPECT_EQ(rig.Started.size(), 3U);
}

TEST(AgentSerialPrefill, FailedRunWithoutTokensLetsTheNextStart) {
  AgentRig rig(serialSettings());
  rig.offer(offerOf(1));
  rig.offer(offerOf(2));
  RunFailed failed;
  failed.Run = rig.Started[0].Run;
  failed.Why = {ErrorKind::ServerFailed, "broken", {}};
  rig.apply(failed);
  EXPECT_EQ(rig.Started.size(), 2U);
}

TEST(AgentSerialPrefill, FetchDoesNotDelayOtherRequests) {
  AgentRig rig(serialSettings());
  FakePlatform platform(rig);
  for (uint8_t i = 1; i <= 4; ++i)
    platform.storePiece({0}, keyOf(i));
  rig.offer(longOffer(1, 4));
  while (platform.CallCounts["read"] == 0)
    ASSERT_TRUE(platform.answerOne());
  rig.offer(offerOf(2));
  ASSERT_EQ(rig.Started.size(), 1U);
  EXPECT_EQ(rig.Started[0].Run.Id, (RequestId{7, 2}));
  platform.answerAll();
  EXPECT_EQ(rig.Started.size(), 1U)
      << "the engine still prefills the other prompt";
  rig.text(rig.Started[0].Run, "a");
  ASSERT_EQ(rig.Started.size(), 2U);
  EXPECT_EQ(rig.Started[1].Run.Id, (RequestId{7, 1}));
}

TEST(AgentSerialPrefill, UnreachableStoresDoNotBlockARun) {
  AgentRig rig(serialSettings());
  FakePlatform platform(rig);
  platform.Fault = StoreFault::Unreachable;
  platform.storePiece({0}, keyOf(1));
  rig.offer(longOffer(1, 1));
  platform.answerAll();
  rig.advanceTime(Duration(3'000'000));
  EXPECT_EQ(rig.Started.size(), 1U);
}

} // namespace daisytack::serve::test
