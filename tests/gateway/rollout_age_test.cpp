/// Guards against entries that use servers with older weights for too long
/// because they don't know for how long newer ones have been desired.
///
/// Entries that had started while engines loaded new weights assumed that these
/// had been desired for 5 s. They sent requests to engines with the older
/// weights up to 10.8 s after newer ones had been named, of 10 s allowed.
#include "base/clock.h"
#include "gateway/gateway_fixture.h"
#include "gateway/stdout_capture.h"
#include "platform/record_format.h"

#include "wire/codec.h"

#include <boost/asio/ip/udp.hpp>

#include <algorithm>
#include <future>
#include <mutex>

namespace daisytack::gateway {
namespace {

class RolloutAgeTest : public GatewayTest {
protected:
  /// Starts an entry that accepts older weights for an hour and would rather
  /// use a session's own server than one with newer weights.
  Entry &startPatientEntry() {
    GatewayOptions options = Entry::optionsFor("e1", KvService.address(), {});
    options.Placement.OldWeightsLimit = 1h;
    options.Placement.OldWeightsMs = 0;
    Entries.push_back(std::make_unique<Entry>(Threads.Io, options));
    Entries.back()->start();
    EXPECT_TRUE(waitReady(*Entries.back()));
    return *Entries.back();
  }
  /// Tells the entry for how long version 2 has been desired, as another entry
  /// does.
  void tellAge(const Entry &entry, std::chrono::microseconds age) {
    using boost::asio::ip::udp;
    direct::RolloutAges ages{{{{"m", 2}, age.count()}}};
    std::string bytes = wire::encode(direct::PeerMessage(ages));
    udp::socket socket(Threads.Io, udp::v4());
    socket.send_to(boost::asio::buffer(bytes),
                   udp::endpoint(boost::asio::ip::make_address(
                                     entry.Options.Peers.Address),
                                 entry.Options.Peers.Port));
  }
  static size_t promptsAt(test::FakeServer &server) {
    auto requests = server.requests();
    return static_cast<size_t>(
        std::count_if(requests.begin(), requests.end(),
                      [](const auto &it) { return it.Path == "/ask/"; }));
  }
  HttpRequest prompt(const std::string &session) {
    HttpRequest out = request("/ask/", "r" + std::to_string(++Requests));
    out.Headers.push_back({"X-Daisytack-Model", "m"});
    out.Headers.push_back({"X-Daisytack-Token-Counts", "700,10"});
    out.Headers.push_back(
        {"X-Daisytack-Prompt-Prefix", session + ":500,bb:200"});
    return out;
  }
  /// Sends prompts of 20 sessions and returns how many reached the server.
  size_t sendPrompts(const Entry &entry, test::FakeServer &server) {
    size_t before = promptsAt(server);
    for (int i = 0; i < 20; ++i)
      EXPECT_EQ(statusOf(entry, prompt("a" + std::to_string(i))), 200);
    return promptsAt(server) - before;
  }

  /// A context store that reports the servers' clock, which begins at ClockMs.
  test::FakeServer &startStoreWithClock() {
    return startBackend([begin = monotonicNow()](const HttpRequest &what,
                                                 const ExchangePtr &to) {
      if (what.Path == "/kv-list")
        return to->respond({200, {}, R"({"epoch":1,"next":5,"held":[]})"});
      to->respond(
          {200,
           {},
           R"({"epoch":1,"next":5,"lost":false,"events":[],)"
           R"("clock_ms":)" +
               std::to_string(ClockMs + (monotonicNow() - begin) / 1ms) + "}"});
    });
  }
  std::vector<direct::DesiredVersionTime> recordedTimes() {
    auto held = KvService.snapshot();
    Error reason;
    auto value = platform::decodeRecord(
        {RecordKey, held.Items.at(RecordKey).Value, 1, false}, reason);
    EXPECT_TRUE(value) << reason.Detail;
    return value ? std::get<direct::RolloutTimesRecord>(*value).Versions
                 : std::vector<direct::DesiredVersionTime>();
  }

  static constexpr int64_t ClockMs = 1'796'000'000'000;
  const std::string RecordKey = platform::rolloutTimesKey();
  size_t Requests = 0;
};

TEST_F(RolloutAgeTest, AStartingEntryTakesItFromAnotherEntry) {
  test::FakeServer &contextStore = startBackend(answer);
  test::FakeServer &outdated = startBackend(answer);
  test::FakeServer &current = startBackend(answer);
  registerServer("i-1", outdated, "engines", 1);
  registerServer("i-2", current, "engines", 2);
  KvService.put("op/config", promptConfigText(contextStore.address()));
  KvService.put("op/version/m", R"({"model":"m","version":2})");
  // Another entry orders the loads, which would keep requests away as well.
  KvService.put("daisytack/holder", "{}", 77);
  test::StdoutCapture log;
  Entry &entry = startPatientEntry();
  EXPECT_TRUE(eventually([&] { return sendPrompts(entry, outdated) > 0; }));
  // A prompt that waited at the server meanwhile would end with 502.
  EXPECT_TRUE(eventually([&] {
    tellAge(entry, 2h);
    return !log.findLine({"version_age_learned"}).empty();
  }));
  EXPECT_EQ(sendPrompts(entry, outdated), 0);
  Threads.stop(); // Handlers use what is destroyed here.
}

/// No other entry is left when all of them start at once.
TEST_F(RolloutAgeTest, AStartingEntryTakesItFromTheService) {
  test::FakeServer &contextStore = startStoreWithClock();
  test::FakeServer &outdated = startBackend(answer);
  registerServer("i-1", outdated, "engines", 1);
  registerServer("i-2", startBackend(answer), "engines", 2);
  KvService.put("op/config", promptConfigText(contextStore.address()));
  KvService.put("op/version/m", R"({"model":"m","version":2})");
  KvService.put("daisytack/holder", "{}", 77);
  KvService.put(RecordKey, platform::encodeRolloutTimes(
                               {{{{"m", 2}, ClockMs - 7'200'000}}}));
  test::StdoutCapture log;
  Entry &entry = startPatientEntry();
  EXPECT_TRUE(eventually(
      [&] { return !log.findLine({"version_age_learned"}).empty(); }));
  EXPECT_EQ(sendPrompts(entry, outdated), 0);
  Threads.stop(); // Handlers use what is destroyed here.
}

TEST_F(RolloutAgeTest, TimesThatCannotBeDoNotCount) {
  test::FakeServer &contextStore = startStoreWithClock();
  test::FakeServer &outdated = startBackend(answer);
  registerServer("i-1", outdated, "engines", 1);
  registerServer("i-2", startBackend(answer), "engines", 2);
  KvService.put("op/config", promptConfigText(contextStore.address()));
  KvService.put("op/version/m", R"({"model":"m","version":2})");
  KvService.put("daisytack/holder", "{}", 77);
  KvService.put(RecordKey, platform::encodeRolloutTimes({{{{"m", 2}, 0}}}));
  test::StdoutCapture log;
  Entry &entry = startPatientEntry();
  EXPECT_TRUE(eventually(
      [&] { return !log.findLine({"version_time_ignored"}).empty(); }));
  EXPECT_GT(sendPrompts(entry, outdated), 0);
  Threads.stop(); // Handlers use what is destroyed here.
}

TEST_F(RolloutAgeTest, TheHolderOfTheOrderLeaseRecordsItOnce) {
  test::FakeServer &contextStore = startStoreWithClock();
  registerServer("i-1", startBackend(answer), "engines", 1);
  KvService.put("op/config", promptConfigText(contextStore.address()));
  startPatientEntry();
  EXPECT_TRUE(eventually([&] { return KvService.has("daisytack/holder"); }));
  KvService.put("op/version/m", R"({"model":"m","version":2})");
  ASSERT_TRUE(eventually([&] { return KvService.has(RecordKey); }));
  std::vector<direct::DesiredVersionTime> second = recordedTimes();
  ASSERT_EQ(second.size(), 1);
  EXPECT_EQ(second[0].Desired, (direct::ModelVersion{"m", 2}));
  EXPECT_GT(second[0].SinceMs, ClockMs - 3'600'000);
  uint64_t revision = KvService.revisionOf(RecordKey);
  KvService.put("op/version/m", R"({"model":"m","version":3})");
  ASSERT_TRUE(
      eventually([&] { return KvService.revisionOf(RecordKey) > revision; }));
  std::vector<direct::DesiredVersionTime> both = recordedTimes();
  ASSERT_EQ(both.size(), 2);
  EXPECT_EQ(both[0].Desired, second[0].Desired);
  EXPECT_LE(both[0].SinceMs, second[0].SinceMs);
  EXPECT_GT(both[0].SinceMs, ClockMs - 3'600'000);
  EXPECT_EQ(both[1].Desired, (direct::ModelVersion{"m", 3}));
  Threads.stop(); // Handlers use what is destroyed here.
}

/// The ages that the other tests send by themselves: an entry tells them while
/// a server has yet to load the version.
TEST_F(RolloutAgeTest, AnEntryTellsItWhileAServerHasOlderWeights) {
  using boost::asio::ip::udp;
  Endpoint peer = test::freeEndpoint();
  udp::socket socket(Threads.Io,
                     {boost::asio::ip::make_address(peer.Address), peer.Port});
  test::FakeServer &contextStore = startBackend(answer);
  registerServer("i-1", startBackend(answer), "engines", 1);
  KvService.put("op/config", promptConfigText(contextStore.address()));
  KvService.put("daisytack/holder", "{}", 77);
  KvService.put("daisytack/entries/e2",
                R"({"peer":")" + toString(peer) + R"("})");
  startPatientEntry();
  KvService.put("op/version/m", R"({"model":"m","version":2})");
  std::vector<direct::DesiredVersionAge> told;
  EXPECT_TRUE(eventually([&] {
    std::string bytes(65536, '\0');
    while (told.empty() && socket.available() > 0) {
      size_t size = socket.receive(boost::asio::buffer(bytes));
      Error reason;
      auto message =
          wire::decode<direct::PeerMessage>(bytes.substr(0, size), reason);
      EXPECT_TRUE(message) << reason.Detail;
      if (const auto *ages =
              message ? std::get_if<direct::RolloutAges>(&*message) : nullptr)
        told = ages->Versions;
    }
    return !told.empty();
  }));
  ASSERT_EQ(told.size(), 1);
  EXPECT_EQ(told[0].Desired, (direct::ModelVersion{"m", 2}));
  EXPECT_GE(told[0].Age, 0);
  Threads.stop(); // Handlers use what is destroyed here.
}

/// Guards against attempts that begin on weights past the rollout limit: here
/// the age of the weights becomes known while the attempt waits for its server.
TEST_F(RolloutAgeTest, AWaitingAttemptEndsOnceItsWeightsAreTooOld) {
  test::FakeServer &contextStore = startBackend(answer);
  std::vector<ExchangePtr> held; // Keeps the prompts waiting.
  std::mutex lock;
  test::FakeServer &outdated =
      startBackend([&](const HttpRequest &what, const ExchangePtr &to) {
        if (what.Path != "/ask/")
          return answer(what, to);
        std::lock_guard guard(lock);
        held.push_back(to);
      });
  registerServer("i-1", outdated, "engines", 1);
  std::string config = promptConfigText(contextStore.address());
  std::string timeout = R"("timeout-ms":3000)";
  config.replace(config.find(timeout), timeout.size(), R"("timeout-ms":9000)");
  KvService.put("op/config", config);
  KvService.put("op/version/m", R"({"model":"m","version":2})");
  KvService.put("daisytack/holder", "{}", 77);
  Entry &entry = startPatientEntry();
  HttpRequest waiting = prompt("a");
  for (auto &[name, value] : waiting.Headers)
    if (name == "X-Daisytack-Deadline-Milliseconds")
      value = "9000";
  auto status =
      std::async(std::launch::async, [&] { return statusOf(entry, waiting); });
  EXPECT_TRUE(eventually([&] { return promptsAt(outdated) > 0; }));
  EXPECT_TRUE(eventually([&] {
    tellAge(entry, 2h);
    return status.wait_for(10ms) == std::future_status::ready;
  }));
  // Not 504, the answer at the deadline.
  EXPECT_EQ(status.get(), 502);
  EXPECT_EQ(promptsAt(outdated), 1);
  Threads.stop(); // Handlers use what is destroyed here.
}

} // namespace
} // namespace daisytack::gateway
