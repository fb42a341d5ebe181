/// Guards against calls that take time, memory or a connection without bound
/// because a server's bytes do not end.
#include "net_http/cut_message.h"
#include "net_http/endless_server.h"

namespace daisytack::net {
namespace {

using namespace std::chrono_literals;

constexpr size_t MaxBody = 1U << 20;
constexpr Duration CallTimeout = 2s;
/// What the kernel buffers on the way.
constexpr uint64_t SocketBuffers = 16U << 20;

class EndlessResponseTest : public testing::Test {
protected:
  Error fetch(const EndlessServer &server) {
    HttpClientInit init;
    init.MaxResponseBodyBytes = MaxBody;
    HttpClient client(Threads.Io, init);
    std::promise<Error> ended;
    HttpRequest request;
    request.Method = "GET";
    request.Path = "/";
    client.fetch(server.address(), request, CallTimeout,
                 [&](const Error &error, const HttpResponse &) {
                   ended.set_value(error);
                 });
    auto future = ended.get_future();
    EXPECT_EQ(future.wait_for(WaitLimit), std::future_status::ready);
    return future.get();
  }
  static bool isClosed(const EndlessServer &server) {
    auto end = std::chrono::steady_clock::now() + WaitLimit;
    while (server.openConnections() > 0 &&
           std::chrono::steady_clock::now() < end)
      std::this_thread::sleep_for(5ms);
    return server.openConnections() == 0;
  }

  IoThreads Threads;
};

TEST_F(EndlessResponseTest, EndsTheCallAndTheConnection) {
  for (const EndlessAnswer &answer : endlessAnswers()) {
    // Without a hook that compares ids every answer is the call's own.
    if (std::string(answer.Name).starts_with("answer"))
      continue;
    EndlessServer server(answer, false);
    Error error = fetch(server);
    EXPECT_EQ(error.Kind, ErrorKind::ProtocolError) << answer.Name;
    EXPECT_TRUE(isClosed(server)) << answer.Name;
    EXPECT_LT(server.bytesSent(), MaxBody + SocketBuffers) << answer.Name;
  }
}

/// In each state of a response: a client collected chunk extensions and trailer
/// fields without a limit.
TEST_F(EndlessResponseTest, EndsTheCallInEachState) {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n003;a=b;c=\"d\"\r\nabc\r\n0;e\r\nT: u\r\nV: w\r\n";
  const std::string interim =
      "HTTP/1.1 100 Continue\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n";
  for (const std::string &response : {chunked, interim})
    for (const CutMessage &cut : cutEverywhere(response)) {
      EndlessServer server({"", cut.Begin, cut.Repeat}, false);
      Error error = fetch(server);
      EXPECT_EQ(error.Kind, ErrorKind::ProtocolError)
          << cut.name() << ": " << error.Detail;
      EXPECT_TRUE(isClosed(server)) << cut.name();
      EXPECT_LT(server.bytesSent(), MaxBody + SocketBuffers) << cut.name();
    }
}

TEST_F(EndlessResponseTest, SkipsNoEndOfAnswersToOthers) {
  for (const EndlessAnswer &answer : endlessAnswers()) {
    std::string name = answer.Name;
    if (!name.starts_with("answer"))
      continue;
    EndlessServer server(answer, false);
    HttpClient client(Threads.Io, {});
    std::promise<Error> ended;
    HttpHooks hooks;
    hooks.MatchesRequest = [](const auto &, bool) { return false; };
    hooks.Done = [&](const Error &error) { ended.set_value(error); };
    client.call(server.address(), {"GET", "/", {}, {}, {}}, 20s, hooks);
    auto future = ended.get_future();
    ASSERT_EQ(future.wait_for(WaitLimit), std::future_status::ready);
    EXPECT_EQ(future.get().Kind, ErrorKind::ProtocolError) << name;
    EXPECT_TRUE(isClosed(server)) << name;
  }
}

TEST_F(EndlessResponseTest, EndsSlowOnesAtTheTimeout) {
  std::vector<std::future<void>> calls;
  for (const EndlessAnswer &answer : endlessAnswers()) {
    std::string name = answer.Name;
    if (name.starts_with("answer"))
      continue;
    calls.push_back(std::async(std::launch::async, [this, answer, name] {
      EndlessServer server(answer, true);
      Error error = fetch(server);
      // Bytes that are no HTTP may be recognised only at the end of a line.
      bool isNoHttp =
          name == "no HTTP" || name == "zeros" || name == "empty lines";
      // A chunk that doesn't end is recognised at the next byte.
      bool isBadChunk = name == "missing end of a chunk";
      bool isExpected =
          error.Kind == ErrorKind::DeadlinePassed ||
          ((isNoHttp || isBadChunk) && error.Kind == ErrorKind::ProtocolError);
      EXPECT_TRUE(isExpected) << name << ": " << error.Detail;
      EXPECT_TRUE(isClosed(server)) << name;
    }));
  }
  for (auto &it : calls)
    it.get();
}

/// A call may take longer only while its response comes quickly enough.
TEST_F(EndlessResponseTest, SlowOnesGetNoMoreTimeForTheirProgress) {
  EndlessServer server(
      {"body", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", "x"}, true);
  HttpClient client(Threads.Io, {});
  std::promise<Error> ended;
  client.fetch(server.address(), {"GET", "/", {}, {}, {}}, {500ms, 400ms},
               [&](const Error &error, const HttpResponse &) {
                 ended.set_value(error);
               });
  EXPECT_EQ(ended.get_future().get().Kind, ErrorKind::DeadlinePassed);
}

TEST_F(EndlessResponseTest, QuickOnesMayTakeLongerThanTheTimeout) {
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  constexpr size_t Steps = 10;
  std::thread writer([&] {
    tcp::socket socket(io);
    acceptor.accept(socket);
    ErrorCode ec;
    asio::write(socket,
                asio::buffer(std::string(
                    "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n")),
                ec);
    for (size_t i = 0; i < Steps && !ec; ++i) {
      std::this_thread::sleep_for(80ms);
      asio::write(socket, asio::buffer(std::string(200'000 / Steps, 'x')), ec);
    }
    EXPECT_FALSE(ec) << ec.message();
  });
  HttpClient client(Threads.Io, {});
  std::promise<size_t> size;
  client.fetch({"127.0.0.1", acceptor.local_endpoint().port()},
               {"GET", "/", {}, {}, {}}, {400ms, 5s},
               [&](const Error &error, const HttpResponse &response) {
                 EXPECT_FALSE(error) << error.Detail;
                 size.set_value(response.Body.size());
               });
  EXPECT_EQ(size.get_future().get(), 200'000U);
  writer.join();
}

} // namespace
} // namespace daisytack::net
