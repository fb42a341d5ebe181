#include "serve_agent/agent_rig.h"

#include <gtest/gtest.h>

namespace daisytack::serve::test {
namespace {

constexpr uint64_t SlotRevision = 77;

edge::KvHeader okHeader(uint64_t revision) {
  edge::KvHeader out;
  out.Status = edge::KvStatus::Ok;
  out.Revision = revision;
  return out;
}

/// Grants every requested load slot.
struct SlotGranter {
  using Answer = decltype(swap::SlotResult::Response);

  Answer operator()(const edge::KvRange & /*call*/) const {
    return edge::KvRangeResult{okHeader(SlotRevision), {}, false};
  }
  Answer operator()(const edge::KvTransaction & /*call*/) const {
    return edge::KvTransactionResult{okHeader(SlotRevision), {}};
  }
  Answer operator()(const swap::GrantLease &call) const {
    return edge::KvLeaseResult{okHeader(SlotRevision), 9, call.TimeToLive};
  }
  Answer operator()(const swap::KeepLease &call) const {
    return edge::KvLeaseResult{okHeader(SlotRevision), call.Lease,
                               Duration(10'000'000)};
  }
  Answer operator()(const swap::RevokeLease &call) const {
    return edge::KvLeaseResult{okHeader(SlotRevision), call.Lease, Duration(0)};
  }
};

/// Answers the pending calls for load slots and returns the orders sent.
std::vector<SendOrder> answerSlots(AgentRig &rig) {
  std::vector<SendOrder> out;
  for (bool any = true; any;) {
    any = false;
    for (AgentAction &it : std::exchange(rig.OtherActions, {})) {
      if (auto *order = std::get_if<SendOrder>(&it))
        out.push_back(*order);
      auto *call = std::get_if<CallSlot>(&it);
      if (!call)
        continue;
      any = true;
      rig.apply(SlotAnswer{{call->Call.Number,
                            std::visit(SlotGranter(), call->Call.Operation)}});
    }
  }
  return out;
}

AgentConfig desired(const std::string &version, uint32_t servers = 2) {
  AgentConfig out;
  out.Revision = 5;
  out.Version = version;
  out.MinServers = 1;
  out.ServersInService = servers;
  out.ServersOfModel = servers;
  return out;
}

TEST(AgentSwap, RunsFinishBeforeTheLoadAndLaterRunsUseTheNewVersion) {
  AgentRig rig;
  rig.offer(offerOf(1));
  rig.apply(desired("v2"));
  EXPECT_TRUE(answerSlots(rig).empty());
  rig.offer(offerOf(2));
  EXPECT_EQ(rig.lastTo<wire::Refused>(LinkA).Kind, ErrorKind::NotReady);
  EXPECT_EQ(rig.lastTo<wire::Refused>(LinkA).RunOutcome, Outcome::NotRun);
  rig.done(rig.Started[0].Run);
  EXPECT_EQ(rig.lastTo<wire::Finished>(LinkA).Kind, ErrorKind::None);
  std::vector<SendOrder> orders = answerSlots(rig);
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].Version, "v2");
  EXPECT_EQ(orders[0].Fence, SlotRevision);
  rig.apply(OrderAnswer{orders[0].Call, {}, 0});
  EngineStatus next = engineStatus();
  next.Version = "v2";
  rig.apply(next);
  wire::Offer offer = offerOf(3);
  offer.Version = "v2";
  rig.offer(offer);
  EXPECT_EQ(rig.Started.size(), 2U);
}

/// Until a backend server has loaded the desired version it continues to serve,
/// but without kept context, because the keys in the offer are for the other
/// version.
TEST(AgentSwap, OfferOfAnotherVersionRunsWithoutKeptContext) {
  for (const char *version : {"v1", "v2", ""}) {
    AgentRig rig;
    wire::Offer offer = offerOf(1);
    offer.Version = version;
    offer.Pieces.resize(2);
    rig.offer(offer);
    ASSERT_EQ(rig.Started.size(), 1U) << version;
    bool isOwn = offer.Version == Version;
    EXPECT_EQ(rig.Started[0].Offer->Pieces.size(), isOwn ? 2U : 0U) << version;
    EXPECT_EQ(rig.lastTo<wire::Accepted>(LinkA).Load.Version, Version);
  }
}

TEST(AgentSwap, LastServerOfAModelStaysInService) {
  AgentRig rig;
  rig.apply(desired("v2", 1));
  EXPECT_TRUE(answerSlots(rig).empty());
  rig.offer(offerOf(1));
  EXPECT_EQ(rig.Started.size(), 1U);
}

TEST(AgentSwap, LateAnswerToAnOrderIsIgnored) {
  AgentRig rig;
  rig.apply(desired("v2"));
  std::vector<SendOrder> orders = answerSlots(rig);
  ASSERT_EQ(orders.size(), 1U);
  rig.apply(OrderAnswer{
      orders[0].Call + 1, {ErrorKind::Conflict, "another call"}, 1'000});
  EXPECT_EQ(rig.eventCount(EventKind::OrderRefused), 0U);
  rig.apply(
      OrderAnswer{orders[0].Call, {ErrorKind::Conflict, "fenced"}, 1'000});
  EXPECT_EQ(rig.eventCount(EventKind::OrderRefused), 1U);
}

} // namespace
} // namespace daisytack::serve::test
