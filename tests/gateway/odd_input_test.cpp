/// Guards against entries that end, stop following a source or report a success
/// because of what other writers, servers and entries send.
#include "gateway/gateway_fixture.h"

#include "direct/peer_messages.h"
#include "direct/revision.h"
#include "net_http/scripted_server.h"
#include "wire/codec.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>

#include <limits>
#include <random>

namespace daisytack::gateway {
namespace {

using net::tcp;

constexpr const char *GoodServer =
    R"({"service":"plain","address":"127.0.0.1:9","zone":"d1","version":"v1",)"
    R"("slots":4,"state":"ready","cold-remaining-ms":0,"sequence":1,"born":1,)"
    R"("models":[{"name":"m","version":1}]})";

std::string replaced(std::string text, const std::string &from,
                     const std::string &to) {
  return text.replace(text.find(from), from.size(), to);
}

/// Records of servers as another writer may leave them.
std::vector<std::string> oddServers() {
  std::string good = GoodServer;
  std::vector<std::string> out{
      "",
      "7",
      "null",
      "\xff\xfe",
      std::string(1'000, '\0'),
      std::string(100'000, '['),
      std::string(30, '[') + std::string(30, ']'),
      "{\"a\":" + std::string(100'000, '[') + std::string(100'000, ']') + "}",
      replaced(good, "\"models\":[", "\"models\":" + std::string(500, '[')),
      replaced(good, "127.0.0.1:9", "127.0.0.1:" + std::string(9'999, '9'))};
  for (const char *address :
       {"127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:0",
        "127.0.0.1:", "127.0.0.1:4294967305", "127.0.0.1:1e3", "[::1]:70000",
        ":9", "256.0.0.1:9", "0.0.0.0:9", "224.0.0.1:9", ""})
    out.push_back(replaced(good, "127.0.0.1:9", address));
  for (const char *field : {"\"slots\":4", "\"cold-remaining-ms\":0",
                            "\"sequence\":1", "\"born\":1", "\"version\":1"})
    for (const char *odd :
         {"1e400", "-1e400", "1e300", "18446744073709551616",
          "18446744073709551615", "-1", "-9223372036854775808", "0.5", "NaN",
          "{}", "[[[[]]]]", "\"4\""}) {
      std::string name(field, std::string(field).find(':') + 1);
      out.push_back(replaced(good, field, name + odd));
    }
  for (size_t n = 1; n < good.size(); n += 7)
    out.push_back(good.substr(0, n));
  return out;
}

class OddInputTest : public GatewayTest {
protected:
  Entry &startPlain(test::FakeServer &server) {
    registerServer("i-1", server);
    KvService.put("op/config", configText("\"k1\""));
    Entry &out = start("e1", KvService.address());
    EXPECT_TRUE(waitReady(out));
    EXPECT_TRUE(
        eventually([&] { return statusOf(out, request("/call/x")) == 200; }));
    return out;
  }
  test::FakeServer &startAnswering() {
    return startBackend([](const HttpRequest &what, const ExchangePtr &to) {
      answer(what, to);
    });
  }
};

/// Guards against one odd entry among those of the servers that ends the entry,
/// or that hides the servers that register after it.
TEST_F(OddInputTest, OddRecordsAmongTheServersHideNoOther) {
  std::vector<std::string> odd = oddServers();
  for (size_t i = 0; i < odd.size(); ++i)
    KvService.put("servers/before-" + std::to_string(i), odd[i]);
  test::FakeServer &server = startAnswering();
  Entry &entry = startPlain(server);
  for (size_t i = 0; i < odd.size(); ++i) {
    KvService.put("servers/beside-" + std::to_string(i), odd[i]);
    KvService.put("servers/same", odd[i]);
    // A sound server that nothing listens at would get some of the requests.
    EXPECT_NE(statusOf(entry, request("/safe/x", "r" + std::to_string(i))), 0U);
  }
  test::FakeServer &later = startAnswering();
  KvService.remove("servers/i-1");
  registerServer("i-2", later);
  size_t i = 0;
  EXPECT_TRUE(eventually([&] {
    statusOf(entry, request("/safe/x", "later" + std::to_string(++i)));
    return !later.requests().empty();
  }));
  EXPECT_EQ(readinessStatus(entry), 200U);
}

/// Guards against a success without the server's answer: the server ends, or
/// resets its connection, inside the head of its answer.
TEST_F(OddInputTest, AnswersThatEndInsideTheirHeadAreNoSuccess) {
  const std::string whole =
      "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n"
      "X-Daisytack-Request-Id: r1\r\nX-Daisytack-Server-Signature: sig\r\n"
      "Content-Length: 0\r\n\r\n";
  const std::string stream =
      "HTTP/1.1 200 OK\r\nX-Daisytack-Request-Id: r1\r\nContent-Type: "
      "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::atomic<size_t> length{0};
  std::atomic<bool> isReset{false};
  std::atomic<size_t> answered{0};
  net::ConnectionServer server([&](tcp::socket &socket) {
    std::string call = net::readCall(socket);
    if (call.empty())
      return;
    const std::string &head =
        call.find("/stream/") == std::string::npos ? whole : stream;
    net::ErrorCode ec;
    net::asio::write(socket, net::asio::buffer(head.substr(0, length)), ec);
    ++answered;
    if (isReset)
      socket.set_option(net::asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
  });
  KvService.put("servers/i-1", replaced(GoodServer, "127.0.0.1:9",
                                        toString(server.endpoint())));
  KvService.put(
      "op/config",
      R"({"version":1,"routes":[{"name":"c","host":"a.example","path-prefix":)"
      R"("/call/","kind":"unsafe","timeout-ms":3000,"service":"plain"},{"name":)"
      R"("s","host":"a.example","path-prefix":"/stream/","kind":"streaming",)"
      R"("timeout-ms":3000,"service":"plain"}],"services":[{"name":"plain"}],)"
      R"("tenants":[]})");
  Entry &entry = start("e1", KvService.address());
  ASSERT_TRUE(waitReady(entry));
  size_t sent = 0;
  for (const char *path : {"/call/x", "/stream/x"}) {
    size_t size = path[1] == 'c' ? whole.size() : stream.size();
    for (size_t n = 0; n < size; ++n)
      for (bool reset : {false, true}) {
        length = n;
        isReset = reset;
        Fetched got = fetch(entry.Options.Callers, request(path));
        ++sent;
        EXPECT_TRUE(got.Response.Status >= 500)
            << path << " " << n << " " << reset << " " << got.Response.Status;
      }
  }
  EXPECT_GE(answered, sent);
  Threads.stop(); // Handlers use what is destroyed here.
}

/// Messages with the extremes of all numbers.
std::vector<direct::PeerMessage> oddMessages(uint64_t server) {
  using namespace direct;
  constexpr int64_t Min = std::numeric_limits<int64_t>::min();
  constexpr int64_t Max = std::numeric_limits<int64_t>::max();
  constexpr float NoNumber = std::numeric_limits<float>::quiet_NaN();
  constexpr double NoLimit = std::numeric_limits<double>::quiet_NaN();
  const Id128 id{1, 2};
  std::vector<PeerMessage> out;
  for (int64_t time : {Min, Min / 2, int64_t{-1}, Max / 2, Max}) {
    out.push_back(
        EntryLoads{"odd",
                   time,
                   {{server, UINT32_MAX, UINT32_MAX, UINT32_MAX, 255, 1},
                    {server, UINT32_MAX, UINT32_MAX, UINT32_MAX, 255, 254}},
                   {{0, UINT32_MAX}, {UINT64_MAX, UINT32_MAX}},
                   {UINT64_MAX}});
    out.push_back(CrashReports{{{id, UINT32_MAX, {{7, UINT32_MAX}}, time}},
                               {{{3, 4}, UINT32_MAX}},
                               {{8, UINT32_MAX}},
                               {{5, 6}}});
    out.push_back(RolloutAges{{{{"m", UINT64_MAX}, time}, {{"", 0}, time}}});
    out.push_back(admission::OrganisationUse{
        "odd", time, 5, true, NoNumber, NoNumber, {{1, NoNumber}}});
    out.push_back(StreamOriginResponse{
        id, StreamOrigin{std::string(500, 'x'), ""}, {{"v", "v"}, time}});
    out.push_back(
        SaveGrantRequest{1, {"store", 7, "s", "p"}, time, UINT32_MAX});
    RecordsResponse records;
    records.ConfirmationAge = records.CompleteStateAge = time;
    records.AnswerAge = records.AnswerDelay = time;
    records.AnsweringAge = time;
    records.AnsweringRevision = UINT64_MAX;
    records.UpTo = records.CompleteTo = UINT64_MAX;
    records.DeletionsMissingTo = records.RestoredTo = UINT64_MAX;
    out.push_back(std::move(records));
  }
  for (uint64_t n : {uint64_t{0}, uint64_t{1}, UINT64_MAX}) {
    out.push_back(RecordsRequest{n});
    out.push_back(RecordPartRequest{"op/config", n, n, n});
    out.push_back(RecordPart{"op/config", n, n, n, n, n, "x"});
    out.push_back(ServersLoading{{{"i-1", n}, {"", n}, {"i-1", n}}});
    out.push_back(ServerLoaded{{"other", n}, {"m", n}});
    out.push_back(ContextRetired{{{0, NoLimit}, {n, -1}, {n, 1e308}}});
    out.push_back(RequestLimitUpdate{{{n, true, NoLimit, 0},
                                      {n, true, -1, UINT32_MAX},
                                      {n, true, 1e308, UINT32_MAX},
                                      {n, true, 5e-324, 0}}});
    out.push_back(StreamsBegan{{"", ""}, {id, id, {n, n}}});
    out.push_back(StreamOriginRequest{{n, n}, "plain"});
    out.push_back(admission::ReturnTickets{{{1, 2, UINT32_MAX, UINT16_MAX}}});
    out.push_back(balancing::QuotaLoanRequest{n, n, UINT32_MAX, n});
    out.push_back(balancing::QuotaLoan{n, n, UINT32_MAX, n});
    out.push_back(SaveGrantRequest{n, {"", n, "", ""}, 1, 0});
    out.push_back(SaveGrantResponse{n, true});
    out.push_back(SaveEnded{n, {"store", n, "s", "p"}, true});
  }
  return out;
}

/// Guards against a message of another entry, odd, cut, doubled or damaged,
/// that ends the entry.
TEST_F(OddInputTest, MessagesOfOtherEntriesDoNotEndTheEntry) {
  test::FakeServer &server = startAnswering();
  Entry &entry = startPlain(server);
  std::vector<std::string> texts;
  std::mt19937 random(7);
  for (const direct::PeerMessage &it :
       oddMessages(direct::ServerRef{"i-1", 1}.key())) {
    std::string whole = wire::encode(it);
    texts.push_back(whole);
    texts.push_back(whole + whole);
    texts.push_back(whole.substr(0, random() % whole.size()));
    for (int i = 0; i < 8; ++i) {
      std::string damaged = whole;
      damaged[2 + random() % (damaged.size() - 2)] =
          static_cast<char>(random());
      texts.push_back(std::move(damaged));
    }
  }
  // The number of elements or bytes, where a message has one first.
  for (uint8_t kind = 0; kind < 24; ++kind)
    for (uint64_t length : {UINT64_MAX, uint64_t{1} << 40U, uint64_t{1'000}}) {
      std::string text{static_cast<char>(ProtocolVersion),
                       static_cast<char>(kind)};
      text.append(reinterpret_cast<const char *>(&length), sizeof(length));
      texts.push_back(text + std::string(100, '\0'));
    }
  net::asio::io_context io;
  net::asio::ip::udp::socket socket(
      io, {net::asio::ip::make_address("127.0.0.1"), 0});
  net::asio::ip::udp::endpoint to(net::asio::ip::make_address("127.0.0.1"),
                                  entry.Options.Peers.Port);
  for (size_t i = 0; i < texts.size(); ++i) {
    net::ErrorCode ignored;
    socket.send_to(net::asio::buffer(texts[i]), to, 0, ignored);
    HttpRequest message;
    message.Method = "POST";
    message.Path = "/peer";
    message.Body = texts[i];
    // The answer comes after the datagram was handled, as both are handled in
    // the order in which they arrive.
    EXPECT_NE(fetch(entry.Options.Peers, message).Response.Status, 0U) << i;
  }
  EXPECT_EQ(statusOf(entry, request("/call/x", "last")), 200U);
  EXPECT_EQ(readinessStatus(entry), 200U);
}

/// Guards against an entry that trusts its records for good, or gets none any
/// more, after another one's odd answer to a request for records.
TEST_F(OddInputTest, OddRecordsOfAnotherEntryHideNoneOfItsLaterOnes) {
  test::FakeServer &server = startAnswering();
  const std::string record =
      replaced(GoodServer, "127.0.0.1:9", toString(server.address()));
  direct::RecordsResponse future;
  future.ConfirmationAge = -1'000'000'000'000'000;
  direct::RecordsResponse endless;
  endless.HasMore = true;
  direct::RecordsResponse beyond;
  beyond.UpTo = UINT64_MAX;
  direct::RecordsResponse newest;
  newest.Records.push_back(
      {"op/config", configText("\"other\"", 9), UINT64_MAX - 1, false});
  direct::RecordsResponse restored;
  restored.RestoredTo = UINT64_MAX;
  restored.AnsweringAge = std::numeric_limits<int64_t>::min();
  const std::vector<direct::RecordsResponse> odd{future, endless, beyond,
                                                 newest, restored};
  std::atomic<size_t> asked{0};
  std::atomic<bool> hasEnded{false};
  test::FakeServer &peer =
      startBackend([&](const HttpRequest &what, const ExchangePtr &to) {
        Error reason;
        auto message = wire::decode<direct::PeerMessage>(what.Body, reason);
        const auto *call =
            message ? std::get_if<direct::RecordsRequest>(&*message) : nullptr;
        if (!call || hasEnded)
          return to->respond({503, {}, {}});
        size_t n = asked++;
        direct::RecordsResponse out;
        if (n < odd.size()) {
          out = odd[n];
        } else {
          out.UpTo = direct::monotonicRevision(1, 5);
          if (call->Revision < out.UpTo)
            out.Records = {{"op/config", configText("\"k1\""),
                            direct::monotonicRevision(1, 4), false},
                           {"servers/i-1", record, out.UpTo, false}};
        }
        to->respond({200, {}, wire::encode(direct::PeerMessage(out))});
      });
  Entry &entry = start("e1", {"127.0.0.1", 1}, {peer.address()});
  EXPECT_TRUE(eventually([&] {
    return statusOf(entry, request("/call/x")) == 200;
  })) << statusOf(entry, request("/call/x"));
  hasEnded = true;
  // A key is refused for good only while the configuration is confirmed.
  EXPECT_TRUE(eventually([&] {
    return statusOf(entry, request("/call/x", "r", "unknown")) == 503;
  }));
  EXPECT_GE(asked, odd.size());
  Threads.stop(); // Handlers use what is destroyed here.
}

/// Guards against a store that is no longer followed, or called without a
/// pause, after odd answers to the calls for its parts.
TEST_F(OddInputTest, OddAnswersOfAStoreDoNotHideItsLaterOnes) {
  const std::vector<std::string> odd{
      "",
      std::string(100'000, '['),
      R"({"epoch":1e400,"next":-1})",
      R"({"epoch":18446744073709551615,"next":18446744073709551615,)"
      R"("clock_ms":1e300,"events":[[18446744073709551615,"+","","",-1],)"
      R"([0,"+","s","p",1e400],[-1,"-",7,null,{}]]})",
      R"({"epoch":0,"next":0,"clock_ms":-9223372036854775808,"held":[[],1]})",
      R"({"epoch":3,"next":7,"clock_ms":9e15,"events":[],"held":[],)"
      R"("incomplete-parts":[["\n","\n"],["a\r\nb",""]]})",
      R"({"epoch":3,"next":7,"events":[[7,"+","s","p",4294967295],)"
      R"([8,"+","s","p",4294967295],[9,"+","s","q",4294967295]]})"};
  std::atomic<size_t> asked{0};
  test::FakeServer &store =
      startBackend([&](const HttpRequest &what, const ExchangePtr &to) {
        size_t n = asked++;
        HttpResponse out{200,
                         {{"Retry-After", "1e300"},
                          {"Keep-Alive", "timeout=99999999999999999999"},
                          {"Server-Limit", "NaN"}},
                         {}};
        if (n < odd.size())
          out.Body = odd[n];
        else if (what.Path == "/kv-list")
          out.Body = R"({"epoch":5,"next":7,"held":[["s","last",9]]})";
        else
          out.Body = R"({"epoch":5,"next":8,"clock_ms":1000,)"
                     R"("events":[[7,"+","s","last",9]]})";
        to->respond(std::move(out));
      });
  KvService.put("op/config", promptConfigText(store.address()));
  Entry &entry = start("e1", KvService.address());
  ASSERT_TRUE(waitReady(entry));
  EXPECT_TRUE(eventually([&] {
    std::string text =
        fetch(entry.Options.Metrics, request("/metrics")).Response.Body;
    return asked > odd.size() &&
           text.find("daisytack_parts_known 1\n") != std::string::npos;
  })) << asked;
  Threads.stop(); // Handlers use what is destroyed here.
}

/// Guards against an exception that nothing catches: the HTTP library holds no
/// header of 64 KB.
TEST_F(OddInputTest, HeaderThatIsTooLongIsAnError) {
  test::FakeServer &server = startAnswering();
  HttpRequest call = request("/call/x");
  call.Headers.push_back({"X-Long", std::string(70'000, 'x')});
  EXPECT_EQ(fetch(server.address(), call).Reason.Kind,
            ErrorKind::HeaderTooLarge);
}

/// Guards against the same for a caller's header, where the configuration
/// allows one of any length.
TEST_F(OddInputTest, LimitOfHeadersIsWhatTheEntryCanHold) {
  test::FakeServer &server = startAnswering();
  registerServer("i-1", server);
  KvService.put("op/config", replaced(configText("\"k1\""), "16384", "1e9"));
  Entry &entry = start("e1", KvService.address());
  ASSERT_TRUE(waitReady(entry));
  net::RawClient caller(entry.Options.Callers.Port);
  caller.send("POST /call/x HTTP/1.1\r\nHost: a.example\r\nX-Long: " +
              std::string(100'000, 'x') + "\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(caller.readUntil("\r\n").substr(0, 12), "HTTP/1.1 431");
  EXPECT_EQ(readinessStatus(entry), 200U);
}

/// Guards against an entry that runs out of memory as several stores, engines
/// or entries answer with long bodies at once.
TEST_F(OddInputTest, BodiesOfAllAnswersTogetherAreBounded) {
  constexpr size_t BodyBytes = 300'000;
  std::mutex lock;
  std::vector<ExchangePtr> open;
  test::FakeServer &server =
      startBackend([&](const HttpRequest &, const ExchangePtr &to) {
        to->beginStream(200, {});
        to->write(std::string(BodyBytes, 'x'));
        std::lock_guard guard(lock);
        open.push_back(to);
      });
  net::HttpClientInit init;
  init.MaxHeldBytes = 4 * BodyBytes;
  net::HttpClient client(Threads.Io, init);
  std::atomic<size_t> refused{0};
  std::atomic<size_t> whole{0};
  auto call = [&] {
    client.fetch(server.address(), request("/x"), 10s,
                 [&](const Error &error, const HttpResponse &answer) {
                   refused += error.Kind == ErrorKind::ProtocolError;
                   whole += answer.Body.size() == BodyBytes;
                 });
  };
  for (int i = 0; i < 8; ++i)
    call();
  // Of those that exceed the limit at the same moment, all end.
  EXPECT_TRUE(eventually([&] {
    std::lock_guard guard(lock);
    return refused >= 4 && open.size() == 8;
  }));
  for (const ExchangePtr &it : open)
    it->endStream();
  EXPECT_TRUE(eventually([&] { return whole + refused == 8; }));
  size_t before = whole;
  // What has ended no longer counts.
  for (int i = 0; i < 4; ++i)
    call();
  EXPECT_TRUE(eventually([&] {
    std::lock_guard guard(lock);
    return open.size() == 12;
  }));
  for (const ExchangePtr &it : open)
    it->endStream();
  EXPECT_TRUE(eventually([&] { return whole == before + 4; })) << whole;
  Threads.stop(); // Handlers use what is destroyed here.
}

} // namespace
} // namespace daisytack::gateway
