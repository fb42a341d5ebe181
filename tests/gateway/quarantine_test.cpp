/// Guards against a request that crashes every backend server that runs it.
///
/// Two such requests crashed 37 and 34 instances of a fleet of nine servers,
/// one after the other, which broke off all other requests there and at times
/// left no server. A server crashed as it began to run the request, the entry
/// took that for a fault of the server and tried the next one, and the caller
/// sent the request again under another id and through other entries. A request
/// must therefore be recognised by its content, at every entry. In these tests
/// the servers have nothing in common but that request.
#include "gateway/gateway_fixture.h"

#include "base/clock.h"

namespace daisytack::gateway {
namespace {

/// Entries learn of one another's failures within this time.
constexpr auto PropagationTime = 3s;
constexpr size_t CrashThreshold = 3;
/// Number of sends of such a request that may reach a server after that, over
/// all entries.
constexpr size_t ExtraSends = 3;

class QuarantineTest : public GatewayTest {
protected:
  QuarantineTest() {
    KvService.put("op/config", configText("\"k1\""));
    for (int i = 0; i < 8; ++i)
      addServer();
  }

  /// Adds a server that crashes when it gets the poison request. Another
  /// instance at the same address replaces it and refuses requests for the
  /// crashed one.
  void addServer() {
    struct Current {
      test::FakeServer *Server = nullptr;
      std::mutex Lock;
      std::string Id;
    };
    auto current = std::make_shared<Current>();
    current->Id = nextId();
    current->Server = &startBackend(
        [this, current](const HttpRequest &what, const ExchangePtr &to) {
          std::lock_guard guard(current->Lock);
          if (what.header("X-Daisytack-Expected-Instance") != current->Id)
            return to->respond(misdirected(what));
          if (what.Body != "poison")
            return answer(what, to);
          to->abort();
          ++Crashes;
          if (!KeepsRecords)
            KvService.remove("servers/" + current->Id);
          current->Id = nextId();
          registerServer(current->Id, *current->Server);
        });
    registerServer(current->Id, *current->Server);
  }
  std::string nextId() { return "i-" + std::to_string(++Starts); }
  static HttpResponse misdirected(const HttpRequest &what) {
    HttpResponse out = signedAnswer(what);
    out.Status = 421;
    out.Headers.push_back({"X-Daisytack-Not-Executed", "1"});
    return out;
  }

  /// Sends the same request under a new id, as a caller does that retries.
  Fetched send(const Entry &entry, const std::string &body = "poison") {
    HttpRequest what = request("/safe/x", "r" + std::to_string(++Requests));
    what.Body = body;
    return fetch(entry.Options.Callers, what);
  }
  static bool hasRetryAfter(const HttpResponse &answer) {
    return std::any_of(
        answer.Headers.begin(), answer.Headers.end(),
        [](const auto &header) { return header.Name == "Retry-After"; });
  }
  void stop(Entry &entry) {
    std::atomic<bool> drained{false};
    entry.Daemon.drain(monotonicNow() + WaitTimeout,
                       [&drained](bool) { drained = true; });
    EXPECT_TRUE(eventually([&] { return drained.load(); }));
  }
  void sendUntilServersCrashed(const std::vector<Entry *> &entries) {
    for (size_t i = 0; Crashes < CrashThreshold && i < 10 * CrashThreshold; ++i)
      send(*entries[i % entries.size()]);
    ASSERT_GE(Crashes, CrashThreshold);
  }

  /// Whether the record of a crashed server stays, as it does until its lease
  /// lapses.
  std::atomic<bool> KeepsRecords{false};
  std::atomic<size_t> Crashes{0};
  std::atomic<size_t> Starts{0};
  size_t Requests = 0;
};

TEST_F(QuarantineTest, IsEnforcedByEveryEntry) {
  Entry &one = start("e1", KvService.address());
  Entry &two = start("e2", KvService.address());
  ASSERT_TRUE(waitReady(one));
  ASSERT_TRUE(waitReady(two));
  sendUntilServersCrashed({&one, &two});
  std::this_thread::sleep_for(PropagationTime);
  size_t before = Crashes;
  for (int i = 0; i < 10; ++i) {
    send(one);
    send(two);
  }
  EXPECT_LE(Crashes - before, ExtraSends);
  EXPECT_EQ(send(one).Response.Status, 503);
  EXPECT_TRUE(hasRetryAfter(send(two).Response));
  EXPECT_EQ(send(one, "another").Response.Status, 200);
  Threads.stop(); // Handlers use what is destroyed here.
}

/// The replacement instance refuses requests for the crashed one; that is no
/// sign that the crashed one lives.
TEST_F(QuarantineTest, IgnoresAnswersOfTheReplacementInstance) {
  KeepsRecords = true;
  Entry &one = start("e1", KvService.address());
  ASSERT_TRUE(waitReady(one));
  for (int i = 0; i < 20; ++i) {
    send(one, "another");
    send(one);
    std::this_thread::sleep_for(150ms);
  }
  EXPECT_LE(Crashes, CrashThreshold + ExtraSends);
  EXPECT_EQ(send(one).Response.Status, 503);
  Threads.stop(); // Handlers use what is destroyed here.
}

/// The quarantine is kept in the key-value service, so that an entry which
/// starts when no other one runs knows of it.
TEST_F(QuarantineTest, IsKnownToAnEntryThatStartsLater) {
  Entry &one = start("e1", KvService.address());
  ASSERT_TRUE(waitReady(one));
  sendUntilServersCrashed({&one});
  std::this_thread::sleep_for(PropagationTime);
  stop(one);
  Entry &later = start("e2", KvService.address());
  ASSERT_TRUE(waitReady(later));
  size_t before = Crashes;
  for (int i = 0; i < 10; ++i)
    send(later);
  EXPECT_LE(Crashes - before, ExtraSends);
  Threads.stop(); // Handlers use what is destroyed here.
}

} // namespace
} // namespace daisytack::gateway
