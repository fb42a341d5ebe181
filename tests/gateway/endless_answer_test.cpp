/// Guards against answers without end: the caller must learn that there is no
/// answer, the connection to the server must end, and other requests must not
/// suffer.
#include "gateway/gateway_fixture.h"
#include "net_http/endless_server.h"

namespace daisytack::gateway {
namespace {

const std::string Config = R"({"version":1,"routes":[
    {"name":"call","host":"a.example","path-prefix":"/call/","kind":"unsafe",
     "timeout-ms":2500,"target-latency-ms":300,"service":"bad","attempts":1},
    {"name":"safe","host":"a.example","path-prefix":"/safe/","kind":"safe",
     "timeout-ms":2500,"target-latency-ms":300,"service":"bad","attempts":2},
    {"name":"ask","host":"a.example","path-prefix":"/ask/","kind":"streaming",
     "timeout-ms":2500,"target-latency-ms":300,"service":"bad","attempts":2,
     "resumable":true},
    {"name":"sound","host":"a.example","path-prefix":"/sound/","kind":"unsafe",
     "timeout-ms":2500,"target-latency-ms":300,"service":"sound",
     "attempts":1}],
    "services":[{"name":"bad","connection-limit":100},
     {"name":"sound","connection-limit":100}],
    "tenants":[{"name":"org","api-keys":["k1"]}]})";

class EndlessAnswerTest : public GatewayTest,
                          public testing::WithParamInterface<bool> {
protected:
  /// Handlers use what is destroyed with a test.
  ~EndlessAnswerTest() override { Threads.stop(); }

  void registerBad(const std::string &id, const Endpoint &address) {
    KvService.put("servers/" + id,
                  R"({"service":"bad","address":")" + toString(address) +
                      R"(","zone":"d1","version":"v1","slots":4,)"
                      R"("state":"ready","cold-remaining-ms":0,)"
                      R"("sequence":1,"born":1,"models":[]})");
  }
};

TEST_P(EndlessAnswerTest, EndsWithTheRequestAndHarmsNoOther) {
  bool isSlow = GetParam();
  KvService.put("op/config", Config);
  test::FakeServer &sound = startBackend(answer);
  registerServer("i-sound", sound, "sound");
  Entry &entry = start("e0", KvService.address());
  ASSERT_TRUE(waitReady(entry));
  int n = 0;
  for (const net::EndlessAnswer &endless : net::endlessAnswers()) {
    net::EndlessServer server(endless, isSlow);
    std::string id = "i-" + std::to_string(++n);
    registerBad(id, server.address());
    std::vector<std::future<Fetched>> requests;
    for (const char *path : {"/call/x", "/safe/x", "/ask/x"})
      requests.push_back(std::async(std::launch::async, [&, path] {
        Fetched out;
        bool isKnown = eventually([&] {
          out = fetch(entry.Options.Callers,
                      request(path, std::string(path) + std::to_string(n)));
          return out.Response.Status != 503; // The server is not known yet.
        });
        EXPECT_TRUE(isKnown);
        return out;
      }));
    for (int i = 0; i < 20; ++i)
      EXPECT_EQ(statusOf(entry, request("/sound/x", "s" + std::to_string(i))),
                200U)
          << endless.Name;
    for (auto &it : requests) {
      Fetched out = it.get();
      bool isTrue = out.Reason || out.Response.Status == 502 ||
                    out.Response.Status == 504;
      EXPECT_TRUE(isTrue) << endless.Name << ": " << out.Response.Status;
    }
    EXPECT_TRUE(eventually([&] { return server.openConnections() == 0; }))
        << endless.Name;
    KvService.remove("servers/" + id);
  }
}

INSTANTIATE_TEST_SUITE_P(SlowAndFast, EndlessAnswerTest, testing::Bool());

} // namespace
} // namespace daisytack::gateway
