#include "edge/kv_etcd_json.h"

#include "control/instance_codec.h"

#include <gtest/gtest.h>

namespace daisytack::edge {
namespace {

/// A response of etcd 3.5's gateway, shortened.
const std::string RangeAnswer =
    R"({"header":{"cluster_id":"14841639068965178418","member_id":"1",)"
    R"("revision":"9","raft_term":"2"},"kvs":[{"key":"YQ==",)"
    R"("create_revision":"3","mod_revision":"8","version":"4","value":"YjE="},)"
    R"({"key":"Yw==","create_revision":"9","mod_revision":"9","version":"1",)"
    R"("value":"","lease":"77"}],"more":true,"count":"3"})";

TEST(EtcdJson, ReadsRange) {
  Error reason;
  std::optional<KvRangeResult> result = etcd::parseRange(RangeAnswer, reason);
  ASSERT_TRUE(result) << reason.Detail;
  EXPECT_EQ(result->Header.ClusterId, 14841639068965178418ULL);
  EXPECT_EQ(result->Header.Revision, 9U);
  EXPECT_TRUE(result->More);
  std::vector<KvEntry> expected{{"a", "b1", 3, 8, 4, 0},
                                {"c", "", 9, 9, 1, 77}};
  EXPECT_EQ(result->Entries, expected);
}

TEST(EtcdJson, WritesRequests) {
  EXPECT_EQ(etcd::rangeRequest({"a", "b", 7, 2}),
            R"({"key":"YQ==","range_end":"Yg==","min_mod_revision":"7",)"
            R"("limit":"2"})");
  KvTransaction transaction;
  transaction.If = {{"a", KvCompare::Target::ModRevision, 5}};
  transaction.Then = {{"a", "x", 9, false}, {"b", "", 0, true}};
  transaction.ReadOnFailure = {"a"};
  EXPECT_EQ(
      etcd::transactionRequest(transaction),
      R"({"compare":[{"target":"MOD","result":"EQUAL","key":"YQ==",)"
      R"("mod_revision":"5"}],"success":[{"request_put":{"key":"YQ==",)"
      R"("value":"eA==","lease":"9"}},{"request_delete_range":{"key":"Yg=="}}],)"
      R"("failure":[{"request_range":{"key":"YQ=="}}]})");
  EXPECT_EQ(etcd::leaseGrantRequest(Duration(1'500'000)), R"({"TTL":"2"})");
}

TEST(EtcdJson, DistinguishesFailedCompareFromWrite) {
  Error reason;
  std::optional<KvTransactionResult> failed = etcd::parseTransaction(
      R"({"header":{"revision":"9"},"responses":[{"response_range":)"
      R"({"kvs":[{"key":"YQ==","mod_revision":"8","value":"eA=="}]}}]})",
      reason);
  ASSERT_TRUE(failed) << reason.Detail;
  EXPECT_EQ(failed->Header.Status, KvStatus::CompareFailed);
  ASSERT_EQ(failed->Current.size(), 1U);
  EXPECT_EQ(failed->Current[0].ModRevision, 8U);
  std::optional<KvTransactionResult> written =
      etcd::parseTransaction(R"({"header":{"revision":"10"},"succeeded":true,)"
                             R"("responses":[{"response_put":{}}]})",
                             reason);
  ASSERT_TRUE(written) << reason.Detail;
  EXPECT_EQ(written->Header.Status, KvStatus::Ok);
}

TEST(EtcdJson, LapsedLeaseHasNoTimeLeft) {
  Error reason;
  std::optional<KvLeaseResult> held = etcd::parseLeaseKeepalive(
      R"({"result":{"header":{"revision":"1"},"ID":"5","TTL":"10"}})", reason);
  ASSERT_TRUE(held);
  EXPECT_EQ(held->TimeLeft, Duration(10'000'000));
  std::optional<KvLeaseResult> lapsed = etcd::parseLeaseKeepalive(
      R"({"result":{"header":{"revision":"1"},"ID":"5","TTL":"0"}})", reason);
  ASSERT_TRUE(lapsed);
  EXPECT_EQ(lapsed->Lease, 0U);
}

TEST(EtcdJson, WatchIsCompleteThroughItsEventsWhileCatchingUp) {
  Error reason;
  std::optional<etcd::WatchMessage> events = etcd::parseWatch(
      R"({"result":{"header":{"revision":"100"},"events":[)"
      R"({"kv":{"key":"YQ==","mod_revision":"7","value":"eA=="}},)"
      R"({"type":"DELETE","kv":{"key":"Yg==","mod_revision":"8"}}]}})",
      reason);
  ASSERT_TRUE(events) << reason.Detail;
  EXPECT_EQ(events->Header.Revision, 8U);
  EXPECT_FALSE(events->Changes[0].Deleted);
  EXPECT_TRUE(events->Changes[1].Deleted);
  std::optional<etcd::WatchMessage> progress =
      etcd::parseWatch(R"({"result":{"header":{"revision":"100"}}})", reason);
  ASSERT_TRUE(progress);
  EXPECT_EQ(progress->Header.Revision, 100U);
  std::optional<etcd::WatchMessage> compacted = etcd::parseWatch(
      R"({"result":{"header":{"revision":"100"},"canceled":true,)"
      R"("compact_revision":"50"}})",
      reason);
  ASSERT_TRUE(compacted);
  EXPECT_TRUE(compacted->Canceled);
  EXPECT_EQ(compacted->CompactRevision, 50U);
}

TEST(EtcdJson, RejectsMalformedAnswers) {
  for (const std::string &text :
       {std::string(), std::string("[]"), std::string("{}"),
        std::string(R"({"header":{"revision":"-1"}})"),
        std::string(R"({"header":{"revision":"9x"}})"),
        std::string(R"({"header":{"revision":"1"},"kvs":7})"),
        std::string(R"({"header":{"revision":"1"},"kvs":[{"key":"!!!!"}]})"),
        std::string(R"({"header":{"revision":"1"},"kvs":[{"key":"YQ"}]})"),
        std::string(1000, '['), RangeAnswer.substr(0, 150)}) {
    Error reason;
    EXPECT_FALSE(etcd::parseRange(text, reason)) << text;
    EXPECT_EQ(reason.Kind, ErrorKind::ProtocolError);
  }
}

using control::decodeInstance;
using control::decodeInstanceDelta;
using control::encodeInstance;
using control::InstanceDelta;
using control::ListedMember;

TEST(InstanceList, RoundTripsAndRejectsMalformedLists) {
  ListedMember listed;
  listed.Instance.Name = "a";
  listed.Instance.State = MemberState::Leaving;
  listed.Instance.IsService = true;
  listed.Instance.Work = {"127.0.0.1", 1};
  listed.Instance.Peer = {"::1", 2};
  listed.Changed = 7;
  Error reason;
  EXPECT_EQ(decodeInstance(encodeInstance(listed), reason), listed);
  std::string list =
      R"({"version": 9, "instances": [)" + encodeInstance(listed) + "]}";
  std::optional<InstanceDelta> result = decodeInstanceDelta(list, reason);
  ASSERT_TRUE(result) << reason.Detail;
  EXPECT_EQ(result->Version, 9U);
  EXPECT_EQ(result->Members, std::vector<ListedMember>{listed});
  for (const char *text :
       {"", "{}", R"({"version": -1, "instances": []})",
        R"({"version": 1, "instances": [{}]})", R"({"instances": []})"})
    EXPECT_FALSE(decodeInstanceDelta(text, reason)) << text;
}

} // namespace
} // namespace daisytack::edge
