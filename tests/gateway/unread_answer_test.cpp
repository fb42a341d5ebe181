/// Guards against answers that are read from their servers faster than their
/// callers take them: they filled the entry's memory, up to 1 MB for each
/// caller, and were broken off beyond it.
#include "gateway/gateway_fixture.h"

namespace daisytack::gateway {
namespace {

const std::string Config = R"({"version":1,"routes":[
    {"name":"call","host":"a.example","path-prefix":"/call/","kind":"unsafe",
     "timeout-ms":60000,"target-latency-ms":300,"service":"plain",
     "attempts":1}],
    "services":[{"name":"plain","connection-limit":100}],
    "limits":{"idle-timeout-ms":60000},
    "tenants":[{"name":"org","api-keys":["k1"]}]})";
constexpr size_t AnswerBytes = 24U << 20;
constexpr size_t Callers = 8;

class UnreadAnswerTest : public GatewayTest {
protected:
  /// Handlers use what is destroyed with a test.
  ~UnreadAnswerTest() override { Threads.stop(); }

  /// Bytes of answers that the entry holds.
  size_t heldBytes(const Entry &entry) {
    std::string name = R"(daisytack_request_memory_bytes{cause="answer"} )";
    HttpRequest what;
    what.Method = "GET";
    what.Path = "/metrics";
    std::string text = fetch(entry.Options.Metrics, what).Response.Body;
    size_t at = text.find(name);
    return at == std::string::npos ? 0
                                   : std::stoull(text.substr(at + name.size()));
  }
};

TEST_F(UnreadAnswerTest, StaysWithItsServerAndArrivesWholeInTheEnd) {
  KvService.put("op/config", Config);
  std::string answer(AnswerBytes, 'x');
  test::FakeServer &server =
      startBackend([&](const HttpRequest &what, const ExchangePtr &to) {
        bool isLarge = what.Path == "/call/large";
        to->respond(signedAnswer(what, isLarge ? answer : "small"));
      });
  registerServer("i-1", server);
  GatewayOptions options = Entry::optionsFor("e0", KvService.address(), {});
  // The entry shares the test's process, which takes more with a sanitizer.
  options.MemoryBytes = 8'000'000'000;
  Entries.push_back(std::make_unique<Entry>(Threads.Io, options));
  Entry &entry = *Entries.back();
  entry.start();
  ASSERT_TRUE(eventually(
      [&] { return statusOf(entry, request("/call/small", "s")) == 200; }));
  std::vector<std::unique_ptr<net::RawClient>> callers;
  for (size_t i = 0; i < Callers; ++i) {
    callers.push_back(
        std::make_unique<net::RawClient>(entry.Options.Callers.Port));
    callers.back()->send("GET /call/large HTTP/1.1\r\nHost: a.example\r\n"
                         "X-Api-Key: k1\r\nConnection: close\r\n"
                         "X-Daisytack-Deadline-Milliseconds: 60000\r\n"
                         "X-Daisytack-Request-Id: r" +
                         std::to_string(i) + "\r\n\r\n");
  }
  size_t allowance = admission::RequestMemorySettings().MaxAnswerBytes;
  EXPECT_TRUE(
      eventually([&] { return heldBytes(entry) > Callers * allowance / 2; }));
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(statusOf(entry, request("/call/small", "s" + std::to_string(i))),
              200U);
    // A few reads of 64 KB follow the one that exceeds the allowance.
    EXPECT_LE(heldBytes(entry), Callers * 3 * allowance);
  }
  for (auto &it : callers) {
    std::string got = it->readAll();
    EXPECT_TRUE(got.starts_with("HTTP/1.1 200 ")) << got.substr(0, 200);
    EXPECT_GT(got.size(), AnswerBytes);
    EXPECT_TRUE(got.ends_with("\r\n0\r\n\r\n"));
  }
  EXPECT_TRUE(eventually([&] { return heldBytes(entry) == 0; }));
}

} // namespace
} // namespace daisytack::gateway
