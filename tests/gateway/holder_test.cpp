/// What was seen: new weights stayed away from servers too long while entries
/// were killed and started again, among them the one that gives orders.
/// How it came about: nobody could give orders until the killed process's lease
/// had lapsed, though a process of its name ran again after half a second.
#include "gateway/gateway_fixture.h"

namespace daisytack::gateway {
namespace {

std::string holderText(const std::string &name, const Endpoint &peer) {
  return R"({"entry":")" + name + R"(","peer":")" + toString(peer) + R"("})";
}

/// The stand-in's leases do not lapse by themselves, so that only a takeover
/// ends the killed process's right.
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
  Threads.stop(); // Handlers use what ends here.
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
    Threads.stop(); // Handlers use what ends here.
  }
};

/// Its name may be that of an instance that was lost, and whose orders are
/// still under way.
TEST_F(HolderTest, DoesNotTakeOverFromItsNameOnAnotherInstance) {
  expectNoTakeover(holderText("e1", {"127.0.0.1", 9}));
}

TEST_F(HolderTest, DoesNotTakeOverFromAnotherEntry) {
  expectNoTakeover(holderText("e2", {"127.0.0.1", 9}));
}

} // namespace
} // namespace daisytack::gateway
