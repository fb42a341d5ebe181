/// Guards against entries that stay on an old configuration because the new one
/// is large and their link is slow.
#include "gateway/gateway_fixture.h"
#include "gateway/limited_link.h"

#include "direct/follow_plan.h"

namespace daisytack::gateway {
namespace {

/// 10 Mbit/s, in bytes per second.
constexpr double SlowLinkRate = 1.25e6;
constexpr int ManyRoutes = 4200;
/// What the link of an entry may carry from a change until it is in force
/// there: as much as it can within the time for that, two seconds.
constexpr double MaxBytes = SlowLinkRate * 2;

/// A configuration with many routes that no request uses, and one that is
/// public or not.
std::string largeConfigText(int version, bool isPublic) {
  std::string routes;
  for (int i = 0; i < ManyRoutes; ++i) {
    // Names that are not alike, as an operator's are.
    size_t name = std::hash<int>()(i) * 0x9E3779B97F4A7C15U;
    routes += R"({"name":"r)" + std::to_string(name) + R"(","host":"h)" +
              std::to_string(name >> 40U) + R"(.example","path-prefix":"/p)" +
              std::to_string(name % 100'000) +
              R"(/","kind":"safe","timeout-ms":3000,)"
              R"("target-latency-ms":300,"service":"plain","attempts":2,)"
              R"("priority":2,"public":false,"resumable":false},)";
  }
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         routes +
         R"({"name":"call","host":"a.example","path-prefix":"/call/",
     "kind":"unsafe","timeout-ms":3000,"target-latency-ms":300,
     "service":"plain","attempts":1,"public":)" +
         (isPublic ? "true" : "false") +
         R"(}],"services":[{"name":"plain","connection-limit":100}],
    "limits":{"max-header-bytes":16384,"max-body-bytes":100000,
     "header-timeout-ms":3000,"idle-timeout-ms":15000},
    "tenants":[{"name":"org","api-keys":["k1"]}]})";
}

/// An entry that follows two readers and the key-value service over one slow
/// link. Both readers are one entry, which watches the service itself, as it is
/// alone in its failure domain.
class LargeConfigTest : public GatewayTest {
protected:
  LargeConfigTest()
      : Link(Threads.Io, SlowLinkRate),
        Server(startBackend([](const HttpRequest &what, const ExchangePtr &to) {
          to->respond(test::signedAnswer(what));
        })) {
    registerServer("i-1", Server);
  }
  /// Handlers use what is destroyed with a test.
  ~LargeConfigTest() override { Threads.stop(); }

  void startAll() {
    KvService.put("op/config", configText("\"k1\""));
    GatewayOptions options =
        Entry::optionsFor("reader", KvService.address(), {});
    options.FailureDomain = "d2";
    Reader = &add(std::move(options));
    announceReaders();
    // The holder of the order lease watches the service itself, so the follower
    // must not become it.
    ASSERT_TRUE(eventually([&] { return KvService.has("daisytack/holder"); }));
    Follower =
        &add(Entry::optionsFor("follower", Link.to(KvService.address()), {}));
    ASSERT_TRUE(waitReady(*Reader));
    ASSERT_TRUE(waitReady(*Follower));
    ASSERT_TRUE(eventually([&] {
      KvService.completeWatches();
      return fetch(Follower->Options.Metrics, request("/metrics"))
                 .Response.Body.find("daisytack_service_watched 0") !=
             std::string::npos;
    }));
  }
  /// Whether a request without a key is let through, as only the new
  /// configuration says.
  bool hasNewConfig(const Entry &entry) {
    return statusOf(entry, request("/call/x", "r", "")) == 200;
  }

  test::LimitedLink Link;
  test::FakeServer &Server;
  Entry *Reader = nullptr;
  Entry *Follower = nullptr;

private:
  Entry &add(GatewayOptions options) {
    Entries.push_back(std::make_unique<Entry>(Threads.Io, std::move(options)));
    Entries.back()->start();
    return *Entries.back();
  }
  /// Announces the reader under two names in the follower's failure domain,
  /// both of which rank before the follower.
  void announceReaders() {
    int announced = 0;
    for (int i = 0; announced < 2; ++i) {
      direct::EntryPeer peer{"r" + std::to_string(i),
                             Link.to(Reader->Options.Peers), "d1"};
      if (!outranksFollower(peer))
        continue;
      ++announced;
      KvService.put("daisytack/entries/" + peer.Name,
                    R"({"peer":")" + toString(peer.Peer) +
                        R"(","failure-domain":"d1"})");
    }
  }
  static bool outranksFollower(const direct::EntryPeer &peer) {
    direct::FollowSettings one;
    one.MinReaders = 1;
    direct::Catalog catalog;
    catalog.Entries = {{"follower", {}, "d1"}, peer};
    return direct::readersOf(catalog, "d1", one).front() == peer.Peer;
  }
};

TEST_F(LargeConfigTest, ComesIntoForceOverASlowLink) {
  ASSERT_NO_FATAL_FAILURE(startAll());
  std::string config = largeConfigText(2, true);
  uint64_t before = Link.carried();
  KvService.put("op/config", config);
  EXPECT_TRUE(eventually([&] { return hasNewConfig(*Reader); }));
  EXPECT_TRUE(eventually([&] { return hasNewConfig(*Follower); }));
  EXPECT_LT(static_cast<double>(Link.carried() - before), MaxBytes);
}

TEST_F(LargeConfigTest, ASmallChangeOfItCrossesTheLinkAsOne) {
  ASSERT_NO_FATAL_FAILURE(startAll());
  KvService.put("op/config", largeConfigText(2, false));
  ASSERT_TRUE(eventually([&] {
    auto text =
        fetch(Follower->Options.Metrics, request("/metrics")).Response.Body;
    return text.find("daisytack_configuration_version 2") != std::string::npos;
  }));
  uint64_t before = Link.carried();
  std::string config = largeConfigText(3, true);
  KvService.put("op/config", config);
  EXPECT_TRUE(eventually([&] { return hasNewConfig(*Follower); }));
  EXPECT_LT(Link.carried() - before, config.size() / 2);
}

} // namespace
} // namespace daisytack::gateway
