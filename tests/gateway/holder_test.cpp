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
TEST_F(GatewayTest, TakesUpTheRightOfAKilledProcessOfItsInstance) {
  Entry &entry = prepare("e1", Store.address());
  Store.put("daisytack/holder", holderText("e1", entry.Options.Peers), 77);
  uint64_t before = Store.revisionOf("daisytack/holder");
  Store.put("op/config", configText("\"k1\""));
  entry.start();
  ASSERT_TRUE(waitReady(entry));
  EXPECT_TRUE(eventually([&] {
    return Store.has("daisytack/holder") &&
           Store.revisionOf("daisytack/holder") > before;
  }));
  Threads.stop(); // Handlers use what ends here.
}

class HolderTest : public GatewayTest {
protected:
  void expectLeftAlone(const std::string &holder) {
    Store.put("daisytack/holder", holder, 77);
    uint64_t before = Store.revisionOf("daisytack/holder");
    Store.put("op/config", configText("\"k1\""));
    Entry &entry = start("e1", Store.address());
    ASSERT_TRUE(waitReady(entry));
    ASSERT_TRUE(eventually([&] { return Store.has("daisytack/entries/e1"); }));
    EXPECT_EQ(Store.revisionOf("daisytack/holder"), before);
    Threads.stop(); // Handlers use what ends here.
  }
};

/// Its name may be that of an instance that was lost, and whose orders are
/// still under way.
TEST_F(HolderTest, LeavesTheRightOfItsNameOnAnotherInstanceAlone) {
  expectLeftAlone(holderText("e1", {"127.0.0.1", 9}));
}

TEST_F(HolderTest, LeavesTheRightOfAnotherEntryAlone) {
  expectLeftAlone(holderText("e2", {"127.0.0.1", 9}));
}

} // namespace
} // namespace daisytack::gateway
