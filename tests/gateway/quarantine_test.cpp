/// A request under which backend servers end.
///
/// Seen: two requests ended 37 and 34 servers of nine, one after the other;
/// every other request that ran on one of them was broken off, and at times no
/// server was left. Each came again and again, under another request id and at
/// other entries. How: a server crashed as it began to run the request; the
/// entry took that for a fault of the server and asked the next one. Cause:
/// nothing remembered a request by what it is, so that each send of its caller
/// began from nothing, at every entry. Proof: these tests, in which the servers
/// have nothing in common but one request.
#include "gateway/gateway_fixture.h"

#include "base/clock.h"

namespace daisytack::gateway {
namespace {

/// Entries hear of one another's failures within this time.
constexpr auto Stability = 3s;
constexpr size_t ServersToEnd = 3;
/// Sends of such a request that may reach a server even later, over all
/// entries.
constexpr size_t SendsBeyond = 3;

class QuarantineTest : public GatewayTest {
protected:
  QuarantineTest() {
    Store.put("op/config", configText("\"k1\""));
    for (int i = 0; i < 8; ++i)
      addServer();
  }

  /// Ends as it is asked to run the one request, and is then another instance
  /// at the same address. Turns away what is meant for the one before.
  void addServer() {
    struct Current {
      test::StandInServer *Server = nullptr;
      std::mutex Lock;
      std::string Id;
    };
    auto at = std::make_shared<Current>();
    at->Id = nextId();
    at->Server =
        &standIn([this, at](const HttpRequest &what, const ExchangePtr &to) {
          std::lock_guard guard(at->Lock);
          if (what.header("X-Daisytack-Expected-Instance") != at->Id)
            return to->respond(misdirected(what));
          if (what.Body != "poison")
            return answer(what, to);
          to->abort();
          ++Ended;
          if (!KeepsRecords)
            Store.remove("servers/" + at->Id);
          at->Id = nextId();
          serve(at->Id, *at->Server);
        });
    serve(at->Id, *at->Server);
  }
  std::string nextId() { return "i-" + std::to_string(++Starts); }
  static HttpResponse misdirected(const HttpRequest &what) {
    HttpResponse out = signedAnswer(what);
    out.Status = 421;
    out.Headers.push_back({"X-Daisytack-Not-Executed", "1"});
    return out;
  }

  /// The same request under a new id, as its caller repeats it.
  Fetched send(const Entry &entry, const std::string &body = "poison") {
    HttpRequest what = request("/safe/x", "r" + std::to_string(++Requests));
    what.Body = body;
    return fetch(entry.Options.Callers, what);
  }
  static bool namesATime(const HttpResponse &answer) {
    return std::any_of(
        answer.Headers.begin(), answer.Headers.end(),
        [](const auto &header) { return header.Name == "Retry-After"; });
  }
  void stop(Entry &entry) {
    std::atomic<bool> drained{false};
    entry.Daemon.drain(monotonicNow() + Patience,
                       [&drained](bool) { drained = true; });
    EXPECT_TRUE(eventually([&] { return drained.load(); }));
  }
  void sendUntilServersEnded(const std::vector<Entry *> &entries) {
    for (size_t i = 0; Ended < ServersToEnd && i < 10 * ServersToEnd; ++i)
      send(*entries[i % entries.size()]);
    ASSERT_GE(Ended, ServersToEnd);
  }

  /// The record of a server that ended stays, as it lapses only later.
  std::atomic<bool> KeepsRecords{false};
  std::atomic<size_t> Ended{0};
  std::atomic<size_t> Starts{0};
  size_t Requests = 0;
};

TEST_F(QuarantineTest, PassesItOnNoMoreAtAnyEntry) {
  Entry &one = start("e1", Store.address());
  Entry &two = start("e2", Store.address());
  ASSERT_TRUE(waitReady(one));
  ASSERT_TRUE(waitReady(two));
  sendUntilServersEnded({&one, &two});
  std::this_thread::sleep_for(Stability);
  size_t before = Ended;
  for (int i = 0; i < 10; ++i) {
    send(one);
    send(two);
  }
  EXPECT_LE(Ended - before, SendsBeyond);
  EXPECT_EQ(send(one).Response.Status, 503);
  EXPECT_TRUE(namesATime(send(two).Response));
  EXPECT_EQ(send(one, "another").Response.Status, 200);
  Threads.stop(); // Handlers use what ends here.
}

/// The next instance at the address turns away what is meant for the one that
/// ended: that is no sign that it lives.
TEST_F(QuarantineTest, TakesNoWordOfTheNextInstanceForASignOfLife) {
  KeepsRecords = true;
  Entry &one = start("e1", Store.address());
  ASSERT_TRUE(waitReady(one));
  for (int i = 0; i < 20; ++i) {
    send(one, "another");
    send(one);
    std::this_thread::sleep_for(150ms);
  }
  EXPECT_LE(Ended, ServersToEnd + SendsBeyond);
  EXPECT_EQ(send(one).Response.Status, 503);
  Threads.stop(); // Handlers use what ends here.
}

/// What must last lies in the key-value service: an entry that starts when no
/// other one lives knows of it.
TEST_F(QuarantineTest, IsKnownToAnEntryThatStartsLater) {
  Entry &one = start("e1", Store.address());
  ASSERT_TRUE(waitReady(one));
  sendUntilServersEnded({&one});
  std::this_thread::sleep_for(Stability);
  stop(one);
  Entry &later = start("e2", Store.address());
  ASSERT_TRUE(waitReady(later));
  size_t before = Ended;
  for (int i = 0; i < 10; ++i)
    send(later);
  EXPECT_LE(Ended - before, SendsBeyond);
  Threads.stop(); // Handlers use what ends here.
}

} // namespace
} // namespace daisytack::gateway
