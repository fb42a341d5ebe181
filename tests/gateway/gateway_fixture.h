/// A complete entry, against fakes on loopback.
#pragma once

#include "gateway/gateway.h"

#include "gateway/fake_servers.h"
#include "platform/kv_store.h"
#include "platform/protocol.h"

#include <gtest/gtest.h>

#include <condition_variable>

namespace daisytack::gateway {

using namespace std::chrono_literals;
using net::HttpRequest;
using net::HttpResponse;
using test::ExchangePtr;
using test::signedAnswer;

constexpr auto WaitTimeout = 20s;

/// Waits for a condition that other threads bring about; false on timeout.
template <class Condition> bool eventually(Condition condition) {
  auto end = std::chrono::steady_clock::now() + WaitTimeout;
  while (std::chrono::steady_clock::now() < end) {
    if (condition())
      return true;
    std::this_thread::sleep_for(5ms);
  }
  return false;
}

inline std::string configText(const std::string &keys, int version = 1) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[
    {"name":"call","host":"a.example","path-prefix":"/call/","kind":"unsafe",
     "timeout-ms":3000,"target-latency-ms":300,"service":"plain","attempts":1},
    {"name":"safe","host":"a.example","path-prefix":"/safe/","kind":"safe",
     "timeout-ms":3000,"target-latency-ms":300,"service":"plain","attempts":2}],
    "services":[{"name":"plain","connection-limit":100},
     {"name":"engines","engine":{"slots":4,"models":[{"name":"m"}]}}],
    "limits":{"max-header-bytes":16384,"max-body-bytes":100000,
     "header-timeout-ms":3000,"idle-timeout-ms":15000},
    "tenants":[{"name":"org","api-keys":[)" +
         keys + "]}]}";
}

/// Configuration of an engine service with a context store, and a route to it.
inline std::string promptConfigText(const Endpoint &store) {
  return R"({"version":1,"routes":[
    {"name":"ask","host":"a.example","path-prefix":"/ask/","kind":"streaming",
     "timeout-ms":3000,"target-latency-ms":800,"service":"engines",
     "attempts":1,"sticky":true,"priority":1}],
    "services":[{"name":"engines","engine":{"slots":4,"managed":true,
      "kv-capacity-tokens":100000,"kv-token-bytes":1000,
      "models":[{"name":"m"}]}},
     {"name":"store","kv-store-address":")" +
         toString(store) +
         R"(","zone":"d1","kv-capacity-tokens":100000,"managed":true,
      "max-concurrent":4}],
    "tenants":[{"name":"org","api-keys":["k1"]}]})";
}

/// One entry with its addresses; runs from start() until it is destroyed.
class Entry {
public:
  Entry(net::asio::io_context &io, std::string name, const Endpoint &store,
        std::vector<Endpoint> seeds = {})
      : Entry(io, optionsFor(std::move(name), store, std::move(seeds))) {}
  Entry(net::asio::io_context &io, GatewayOptions options)
      : Options(std::move(options)),
        Daemon(io, Options, platform::makeProtocol(), platform::makeKvStore) {}

  void start() {
    Error reason;
    EXPECT_TRUE(Daemon.start(reason)) << reason.Detail;
  }

  static GatewayOptions optionsFor(std::string name, const Endpoint &store,
                                   std::vector<Endpoint> seeds) {
    GatewayOptions out;
    out.Name = std::move(name);
    out.FailureDomain = "d1";
    out.Callers = test::freeEndpoint();
    out.Readiness = test::freeEndpoint();
    out.ReadinessPath = "/readiness";
    out.Metrics = test::freeEndpoint();
    out.Peers = test::freeEndpoint();
    out.Store = store;
    out.Seeds = std::move(seeds);
    out.Drain.NoticePeriod = 300ms;
    out.ConfirmedFor = 1500ms;
    out.MaxSourceStaleness = 3s;
    out.StreamMaxAge = 2s;
    out.ServersCheckFence = true;
    out.Log.LinesPerSecond = 100;
    return out;
  }

  GatewayOptions Options;
  Gateway Daemon;
};

class GatewayTest : public testing::Test {
protected:
  GatewayTest() : KvService(Threads.Io), Caller(Threads.Io, {}) {}
  /// Ends the I/O threads before anything that they use.
  ~GatewayTest() override { Threads.stop(); }

  /// Creates an entry without starting it.
  Entry &prepare(const std::string &name, const Endpoint &store,
                 std::vector<Endpoint> seeds = {}) {
    Entries.push_back(
        std::make_unique<Entry>(Threads.Io, name, store, std::move(seeds)));
    return *Entries.back();
  }
  Entry &start(const std::string &name, const Endpoint &store,
               std::vector<Endpoint> seeds = {}) {
    Entry &out = prepare(name, store, std::move(seeds));
    out.start();
    return out;
  }
  test::FakeServer &startBackend(test::FakeServer::Answer reply) {
    Servers.push_back(
        std::make_unique<test::FakeServer>(Threads.Io, std::move(reply)));
    return *Servers.back();
  }

  void registerServer(const std::string &id, test::FakeServer &server,
                      const std::string &service = "plain", int version = 1,
                      uint64_t startedMs = 1) {
    KvService.put(
        "servers/" + id,
        R"({"service":")" + service + R"(","address":")" +
            toString(server.address()) +
            R"(","zone":"d1","version":"v1","slots":4,"state":"ready",)"
            R"("cold-remaining-ms":0,"sequence":1,"born":)" +
            std::to_string(startedMs) +
            R"(,"models":[{)"
            R"("name":"m","version":)" +
            std::to_string(version) + "}]}");
  }

  struct Fetched {
    Error Reason;
    HttpResponse Response;
  };
  Fetched fetch(const Endpoint &to, HttpRequest request) {
    auto promise = std::make_shared<std::promise<Fetched>>();
    auto future = promise->get_future();
    Caller.fetch(to, std::move(request), 10s,
                 [promise](const Error &error, HttpResponse response) {
                   promise->set_value({error, std::move(response)});
                 });
    EXPECT_EQ(future.wait_for(WaitTimeout), std::future_status::ready);
    return future.get();
  }
  unsigned readinessStatus(const Entry &entry) {
    HttpRequest request;
    request.Method = "GET";
    request.Path = "/readiness";
    return fetch(entry.Options.Readiness, request).Response.Status;
  }
  bool waitReady(const Entry &entry) {
    return eventually([&] { return readinessStatus(entry) == 200; });
  }
  static HttpRequest request(std::string target, std::string id = "r1",
                             std::string key = "k1") {
    HttpRequest out;
    out.Method = "POST";
    out.Target = std::move(target);
    out.Headers = {{"Host", "a.example"},
                   {"X-Daisytack-Request-Id", std::move(id)},
                   {"X-Daisytack-Deadline-Milliseconds", "2500"},
                   {"X-Api-Key", std::move(key)}};
    out.Body = "body";
    return out;
  }
  unsigned statusOf(const Entry &entry, const HttpRequest &what) {
    return fetch(entry.Options.Callers, what).Response.Status;
  }
  /// Answers prompts with a stream of one event.
  static void answer(const HttpRequest &what, const ExchangePtr &to) {
    bool isStream = what.Path.starts_with("/ask/");
    to->respond(signedAnswer(what, isStream ? "data: answer\n\n" : "answer"));
  }

  net::IoThreads Threads;
  test::FakeKvService KvService;
  net::HttpClient Caller;
  std::vector<std::unique_ptr<test::FakeServer>> Servers;
  std::vector<std::unique_ptr<Entry>> Entries;
};

} // namespace daisytack::gateway
