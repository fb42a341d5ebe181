/// Guards against requests that wait for their deadline on a backend server
/// that has become unreachable without closing its connections, and against
/// requests that are ended because their server is slow.
#include "gateway/gateway_fixture.h"

#include <sys/socket.h>
#include <sys/time.h>

#include <array>
#include <future>
#include <thread>

namespace daisytack::gateway {
namespace {

namespace ip = net::asio::ip;

/// The callers' deadline. Longer than any wait that ends because a server is
/// lost, also on a busy machine.
constexpr auto CallerDeadline = 9s;
/// Upper bound on the time of a request whose server is lost.
constexpr auto MaxTimeToRecover = 5s;
/// A slow server sends nothing for this time: several times the silence after
/// which it is probed.
constexpr auto SlowAnswerTime = 2500ms;
constexpr size_t SlowRequests = 6;

const std::string FirstEvent = "id: 1\ndata: a\n\n";
const std::string SecondEvent = "id: 2\ndata: b\n\n";

std::string silenceConfigText() {
  return R"({"version":1,"routes":[
    {"name":"ask","host":"a.example","path-prefix":"/ask/","kind":"streaming",
     "timeout-ms":20000,"target-latency-ms":800,"service":"engines",
     "attempts":2,"resumable":true},
    {"name":"safe","host":"a.example","path-prefix":"/safe/","kind":"safe",
     "timeout-ms":20000,"target-latency-ms":800,"service":"engines",
     "attempts":2},
    {"name":"once","host":"a.example","path-prefix":"/once/","kind":"unsafe",
     "timeout-ms":20000,"target-latency-ms":800,"service":"engines",
     "attempts":2}],
    "services":[{"name":"engines","engine":{"slots":64,
      "kv-capacity-tokens":100000,"kv-token-bytes":1000,
      "models":[{"name":"m"}]}}],
    "tenants":[{"name":"org","api-keys":["k1"]}]})";
}

/// A server that takes one request, may begin its answer, and then becomes
/// unreachable: it sends nothing, keeps its connection, and no new connection
/// to it is established, as its accept queue is full.
class VanishingServer {
public:
  /// `begunBody` is the part of the answer that is sent; empty: nothing.
  explicit VanishingServer(std::string begunBody)
      : BegunBody(std::move(begunBody)), Listener(Io), Connection(Io) {
    ip::tcp::endpoint local(ip::address_v4::loopback(), 0);
    Listener.open(local.protocol());
    Listener.bind(local);
    Listener.listen(0);
    Thread = std::thread([this] { run(); });
  }
  ~VanishingServer() {
    // Ends an accept() or a read that still waits.
    ::shutdown(Listener.native_handle(), SHUT_RDWR);
    Thread.join();
  }
  VanishingServer(const VanishingServer &) = delete;
  VanishingServer &operator=(const VanishingServer &) = delete;

  Endpoint address() const {
    return {"127.0.0.1", Listener.local_endpoint().port()};
  }
  bool hasVanished() const { return HasVanished; }

private:
  void run() {
    net::ErrorCode ec;
    Listener.accept(Connection, ec);
    if (ec)
      return;
    std::string id = readRequestId();
    if (!BegunBody.empty())
      beginAnswer(id);
    fillAcceptQueue();
    HasVanished = true;
  }

  /// Reads the request's headers and returns its id.
  std::string readRequestId() {
    // The tests' requests end with this body.
    constexpr std::string_view End = "\r\n\r\nbody";
    std::string text;
    std::array<char, 4096> buf{};
    net::ErrorCode ec;
    while (text.find(End) == std::string::npos && !ec)
      text.append(buf.data(), Connection.read_some(net::asio::buffer(buf), ec));
    const std::string name = "X-Daisytack-Request-Id: ";
    size_t at = text.find(name);
    EXPECT_NE(at, std::string::npos) << text;
    if (at == std::string::npos)
      return {};
    at += name.size();
    return text.substr(at, text.find("\r\n", at) - at);
  }

  void beginAnswer(const std::string &id) {
    std::ostringstream chunk;
    chunk << std::hex << BegunBody.size() << "\r\n" << BegunBody << "\r\n";
    std::string text = "HTTP/1.1 200 OK\r\nX-Daisytack-Request-Id: " + id +
                       "\r\nX-Daisytack-Server-Signature: sig\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n" +
                       chunk.str();
    net::ErrorCode ec;
    net::asio::write(Connection, net::asio::buffer(text), ec);
    EXPECT_FALSE(ec) << ec.message();
  }

  /// Opens connections, which nothing accepts, until one is not established.
  void fillAcceptQueue() {
    constexpr size_t MaxConnections = 16;
    timeval timeout{0, 300'000};
    for (size_t i = 0; i < MaxConnections; ++i) {
      ip::tcp::socket &it = Fillers.emplace_back(Io, ip::tcp::v4());
      ::setsockopt(it.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &timeout,
                   sizeof(timeout));
      ip::tcp::endpoint to = Listener.local_endpoint();
      if (::connect(it.native_handle(), to.data(),
                    static_cast<socklen_t>(to.size())) != 0)
        return;
    }
    ADD_FAILURE() << "the accept queue does not fill";
  }

  const std::string BegunBody;
  net::asio::io_context Io;
  ip::tcp::acceptor Listener;
  ip::tcp::socket Connection;
  std::vector<ip::tcp::socket> Fillers;
  std::atomic<bool> HasVanished{false};
  std::thread Thread;
};

class SilentServerTest : public GatewayTest {
protected:
  SilentServerTest() { KvService.put("op/config", silenceConfigText()); }
  /// Handlers use what is destroyed with a test.
  ~SilentServerTest() override { Threads.stop(); }

  void registerEngine(const std::string &id, const Endpoint &address) {
    KvService.put("servers/" + id, R"({"service":"engines","address":")" +
                                       toString(address) +
                                       R"(","zone":"d1","version":"v1",)"
                                       R"("slots":64,"state":"ready",)"
                                       R"("cold-remaining-ms":0,)"
                                       R"("sequence":1,"born":1,"models":[)"
                                       R"({"name":"m","version":1}]})");
  }
  /// Starts an engine that answers at once, also from within a stream.
  test::FakeServer &startSteadyEngine(const std::string &id) {
    test::FakeServer &out =
        startBackend([](const HttpRequest &what, const ExchangePtr &to) {
          bool isResumed = !what.header("Last-Event-Id").empty();
          to->respond(signedAnswer(what, isResumed ? SecondEvent
                                                   : FirstEvent + SecondEvent));
        });
    registerEngine(id, out.address());
    return out;
  }
  VanishingServer &startVanishingEngine(const std::string &id,
                                        std::string begunBody = {}) {
    Vanishing = std::make_unique<VanishingServer>(std::move(begunBody));
    registerEngine(id, Vanishing->address());
    return *Vanishing;
  }
  /// Starts an engine that accepts connections at once, and answers after
  /// SlowAnswerTime.
  test::FakeServer &startSlowEngine(const std::string &id) {
    test::FakeServer &out =
        startBackend([this](const HttpRequest &what, const ExchangePtr &to) {
          auto timer = std::make_shared<net::asio::steady_timer>(
              Threads.Io, SlowAnswerTime);
          timer->async_wait([timer, what, to](const net::ErrorCode &ec) {
            if (!ec)
              to->respond(signedAnswer(what, FirstEvent + SecondEvent));
          });
        });
    registerEngine(id, out.address());
    return out;
  }
  Entry &startReady(size_t engines) {
    Entry &out = start("e1", KvService.address());
    EXPECT_TRUE(waitReady(out));
    EXPECT_TRUE(eventually([&] {
      return metric(out, "daisytack_servers_known") ==
             static_cast<double>(engines);
    }));
    return out;
  }

  static HttpRequest prompt(const std::string &target, const std::string &id) {
    HttpRequest out = request(target, id);
    for (auto &header : out.Headers)
      if (header.Name == "X-Daisytack-Deadline-Milliseconds")
        header.Value = std::to_string(CallerDeadline / 1ms);
    out.Headers.push_back({"X-Daisytack-Model", "m"});
    out.Headers.push_back({"X-Daisytack-Token-Counts", "1000,4"});
    // Each prompt is a session of its own, so that they go to both engines.
    out.Headers.push_back(
        {"X-Daisytack-Prompt-Prefix", "of-" + id + ":500,own-" + id + ":500"});
    return out;
  }

  struct Timed {
    Fetched Got;
    std::chrono::steady_clock::duration Took{};
  };
  Timed fetchTimed(const Entry &entry, const HttpRequest &what) {
    auto begin = std::chrono::steady_clock::now();
    Timed out;
    out.Got = fetch(entry.Options.Callers, what);
    out.Took = std::chrono::steady_clock::now() - begin;
    return out;
  }
  /// Sends prompts, one after the other, until one has met the vanishing
  /// engine, and returns what its caller got.
  Timed fetchFromVanishing(const Entry &entry, const std::string &target) {
    Timed out;
    EXPECT_TRUE(eventually([&] {
      out = fetchTimed(entry, prompt(target, "r" + std::to_string(++Requests)));
      return Vanishing->hasVanished();
    }));
    return out;
  }
  /// Value of a metric without labels; -1 if there is none.
  double metric(const Entry &entry, const std::string &name) {
    HttpRequest what;
    what.Method = "GET";
    what.Path = "/metrics";
    std::istringstream lines(fetch(entry.Options.Metrics, what).Response.Body);
    for (std::string line; std::getline(lines, line);)
      if (line.starts_with(name + " "))
        return std::stod(line.substr(name.size() + 1));
    return -1;
  }

  std::unique_ptr<VanishingServer> Vanishing;
  size_t Requests = 0;
};

/// Guards against a prompt that may run again waiting for its deadline.
TEST_F(SilentServerTest, RepeatablePromptIsAnsweredByAnotherServer) {
  test::FakeServer &steady = startSteadyEngine("i-1");
  startVanishingEngine("i-2");
  Entry &entry = startReady(2);
  Timed out = fetchFromVanishing(entry, "/safe/x");
  EXPECT_EQ(out.Got.Response.Status, 200);
  EXPECT_EQ(out.Got.Response.Body, FirstEvent + SecondEvent);
  EXPECT_LT(out.Took, MaxTimeToRecover);
  EXPECT_EQ(steady.requests().size(), Requests);
  EXPECT_EQ(metric(entry, "daisytack_servers_lost_total"), 1);
  EXPECT_EQ(metric(entry, "daisytack_attempts_lost_total"), 1);
}

/// Guards against a stream whose caller has received events ending with its
/// server, or repeating an event.
TEST_F(SilentServerTest, ResumableStreamGoesOnAtAnotherServer) {
  test::FakeServer &steady = startSteadyEngine("i-1");
  startVanishingEngine("i-2", FirstEvent);
  Entry &entry = startReady(2);
  Timed out = fetchFromVanishing(entry, "/ask/x");
  EXPECT_FALSE(out.Got.Reason) << out.Got.Reason.Detail;
  EXPECT_EQ(out.Got.Response.Status, 200);
  EXPECT_EQ(out.Got.Response.Body, FirstEvent + SecondEvent);
  EXPECT_LT(out.Took, MaxTimeToRecover);
  ASSERT_FALSE(steady.requests().empty());
  EXPECT_EQ(steady.requests().back().header("Last-Event-Id"), "1");
  EXPECT_EQ(metric(entry, "daisytack_attempts_lost_total"), 1);
}

/// Guards against a prompt that may have run being sent to another server, or
/// being answered as surely not run.
TEST_F(SilentServerTest, PromptThatMayRunOnceEndsWith502) {
  test::FakeServer &steady = startSteadyEngine("i-1");
  startVanishingEngine("i-2");
  Entry &entry = startReady(2);
  Timed out = fetchFromVanishing(entry, "/once/x");
  EXPECT_EQ(out.Got.Response.Status, 502);
  EXPECT_LT(out.Took, MaxTimeToRecover);
  std::string lost = "r" + std::to_string(Requests);
  for (const HttpRequest &it : steady.requests())
    EXPECT_NE(it.header("X-Daisytack-Request-Id"), lost);
  EXPECT_EQ(metric(entry, "daisytack_attempts_lost_total"), 1);
}

/// Guards against new requests waiting for a server that is known to be lost.
TEST_F(SilentServerTest, NewRequestsAvoidALostServer) {
  startSteadyEngine("i-1");
  startVanishingEngine("i-2");
  Entry &entry = startReady(2);
  EXPECT_EQ(fetchFromVanishing(entry, "/once/x").Got.Response.Status, 502);
  for (size_t i = 0; i < 10; ++i) {
    Timed out = fetchTimed(entry, prompt("/once/x", "n" + std::to_string(i)));
    EXPECT_EQ(out.Got.Response.Status, 200);
    EXPECT_LT(out.Took, MaxTimeToRecover);
  }
}

/// Guards against requests ended because their server is silent, although it
/// accepts connections.
TEST_F(SilentServerTest, SlowServerThatAcceptsConnectionsLosesNoRequest) {
  test::FakeServer &one = startSlowEngine("i-1");
  test::FakeServer &two = startSlowEngine("i-2");
  Entry &entry = startReady(2);
  std::vector<std::future<unsigned>> answers;
  for (size_t i = 0; i < SlowRequests; ++i)
    answers.push_back(std::async(std::launch::async, [this, &entry, i] {
      return statusOf(entry, prompt("/once/x", "s" + std::to_string(i)));
    }));
  for (auto &it : answers)
    EXPECT_EQ(it.get(), 200);
  EXPECT_EQ(one.requests().size() + two.requests().size(), SlowRequests);
  EXPECT_GE(metric(entry, "daisytack_server_probes_total"), 1);
  EXPECT_EQ(metric(entry, "daisytack_servers_lost_total"), 0);
  EXPECT_EQ(metric(entry, "daisytack_attempts_lost_total"), 0);
}

} // namespace
} // namespace daisytack::gateway
