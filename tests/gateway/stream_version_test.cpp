/// Tests that a stream goes on only on servers of the software version that
/// began it, within one answer and when its caller resumes it at any entry.
#include "gateway/gateway_fixture.h"

#include <mutex>
#include <set>

namespace daisytack::gateway {
namespace {

std::string streamConfigText() {
  return R"({"version":1,"routes":[
    {"name":"ask","host":"a.example","path-prefix":"/ask/","kind":"streaming",
     "resumable":true,"timeout-ms":3000,"target-latency-ms":800,
     "service":"plain","attempts":3}],
    "services":[{"name":"plain","connection-limit":100}],
    "tenants":[{"name":"org","api-keys":["k1"]}]})";
}

class StreamVersionTest : public GatewayTest {
protected:
  /// Starts a server that breaks off each stream after its first event, and
  /// continues with the second event if the stream is resumed.
  test::FakeServer &startServer(const std::string &id,
                                const std::string &software) {
    test::FakeServer &out =
        startBackend([](const HttpRequest &what, const ExchangePtr &to) {
          bool isResumed = !what.header("Last-Event-Id").empty();
          to->beginStream(200, signedAnswer(what).Headers);
          to->write(isResumed ? "id: 2\n\n" : "id: 1\n\n");
          if (isResumed)
            to->endStream();
          else
            to->abort();
        });
    registerSoftware(id, out, software);
    return out;
  }
  void registerSoftware(const std::string &id, test::FakeServer &server,
                        const std::string &software) {
    KvService.put("servers/" + id,
                  R"({"service":"plain","address":")" +
                      toString(server.address()) + R"(","zone":"d1",)" +
                      R"("version":")" + software +
                      R"(","slots":4,"state":"ready","cold-remaining-ms":0,)" +
                      R"("sequence":1,"born":1,"models":[]})");
  }
  static HttpRequest ask(const std::string &id) {
    return request("/ask/" + id, id);
  }
  static HttpRequest resume(const std::string &id, const std::string &begun) {
    HttpRequest out = ask(id);
    out.Headers.push_back({"Last-Event-Id", "1"});
    out.Headers.push_back({"Resumes", begun});
    return out;
  }
  /// Ids of the requests with which streams were resumed at the server.
  static std::set<std::string> resumedAt(test::FakeServer &server) {
    std::set<std::string> out;
    for (const HttpRequest &it : server.requests())
      if (!it.header("Last-Event-Id").empty())
        out.emplace(it.header("X-Daisytack-Request-Id"));
    return out;
  }
};

/// Guards against a stream that breaks off going on at a server of another
/// software version, whose events don't fit those that the caller has.
TEST_F(StreamVersionTest, AnswerGoesOnOnlyAtTheVersionThatBeganIt) {
  test::FakeServer &old = startServer("i-1", "v1");
  test::FakeServer &recent = startServer("i-2", "v2");
  KvService.put("op/config", streamConfigText());
  Entry &entry = start("e1", KvService.address());
  ASSERT_TRUE(waitReady(entry));
  for (int i = 0; i < 8; ++i) {
    Fetched got = fetch(entry.Options.Callers, ask("r" + std::to_string(i)));
    EXPECT_EQ(got.Reason.Kind, ErrorKind::ServerLost);
  }
  EXPECT_TRUE(resumedAt(old).empty());
  EXPECT_TRUE(resumedAt(recent).empty());
}

} // namespace
} // namespace daisytack::gateway
