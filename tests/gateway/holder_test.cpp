/// Guards against new weights that reach servers too late when the holder of
/// the order lease is killed and restarted: its new process, which started
/// after half a second, had to wait until the lease of the old one expired.
#include "gateway/gateway_fixture.h"

namespace daisytack::gateway {
namespace {

std::string holderText(const std::string &name, const Endpoint &peer) {
  return R"({"entry":")" + name + R"(","peer":")" + toString(peer) + R"("})";
}

/// Leases of the fake service do not expire by themselves, so that only a
/// takeover ends the order lease of the killed process.
TEST_F(GatewayTest, TakesOverFromAKilledProcessOfItsInstance) {
  Entry &entry = prepare("e1", KvService.address());
  KvService.put("daisytack/holder", holderText("e1", entry.Options.Peers), 77);
  uint64_t before = KvService.revisionOf("daisytack/holder");
  KvService.put("op/config", configText("\"k1\""));
  entry.start();
  ASSERT_TRUE(waitReady(entry));
  EXPECT_TRUE(eventually([&] {
    return KvService.has("daisytack/holder") &&
           KvService.revisionOf("daisytack/holder") > before;
  }));
  Threads.stop(); // Handlers use what is destroyed here.
}

class HolderTest : public GatewayTest {
protected:
  void expectNoTakeover(const std::string &holder) {
    KvService.put("daisytack/holder", holder, 77);
    uint64_t before = KvService.revisionOf("daisytack/holder");
    KvService.put("op/config", configText("\"k1\""));
    Entry &entry = start("e1", KvService.address());
    ASSERT_TRUE(waitReady(entry));
    ASSERT_TRUE(
        eventually([&] { return KvService.has("daisytack/entries/e1"); }));
    EXPECT_EQ(KvService.revisionOf("daisytack/holder"), before);
    Threads.stop(); // Handlers use what is destroyed here.
  }
};

/// The record may be that of a lost instance of the same name whose orders are
/// still in progress.
TEST_F(HolderTest, DoesNotTakeOverFromItsNameOnAnotherInstance) {
  expectNoTakeover(holderText("e1", {"127.0.0.1", 9}));
}

TEST_F(HolderTest, DoesNotTakeOverFromAnotherEntry) {
  expectNoTakeover(holderText("e2", {"127.0.0.1", 9}));
}

} // namespace
} // namespace daisytack::gateway
