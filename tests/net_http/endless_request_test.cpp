/// Guards against servers that collect the input of one connection without a
/// limit, in any state of a request: an entry of 110 MB ended in a third of a
/// second when a caller sent a chunk extension or trailer fields without end.
#include "net_http/cut_message.h"
#include "net_http/http_fixture.h"

#include <atomic>
#include <list>
#include <set>

namespace daisytack::net {
namespace {

using namespace std::chrono_literals;

constexpr size_t HeadLimit = 4096;
constexpr size_t BodyLimit = 256U << 10;
constexpr int SocketBufferBytes = 64 << 10;
/// A server that has not refused the input by then has no limit on it. Above
/// the limits by what the sockets hold.
constexpr size_t MaxSentBytes = 4U << 20;
/// What one connection may hold apart from the body.
constexpr int64_t MaxHeldBytes = 32 << 10;

const std::string Get = "GET /a HTTP/1.1\r\nHost: a\r\nX: y\r\n\r\n";
const std::string Folded = "GET /a HTTP/1.1\r\nHost: a\r\nX: y\r\n z\r\n\r\n";
const std::string WithLength =
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";
const std::string Chunked =
    "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nhello\r\n003;a=b;c=\"d\"\r\nabc\r\n0;e\r\nT: u\r\nV: w\r\n\r\n";

std::vector<CutMessage> endlessRequests() {
  std::vector<CutMessage> out{{"", "\r\n"}, {"", "\n"}, {"", "a"}};
  for (const std::string &it : {Get, Folded, WithLength, Chunked})
    for (CutMessage &cut : cutEverywhere(it))
      out.push_back(std::move(cut));
  return out;
}

/// One connection that sends without end and reads what it gets.
class Sender {
public:
  Sender(uint16_t port, CutMessage message) : Message(std::move(message)) {
    Socket.open(tcp::v4());
    // Little is sent that the server has not read.
    Socket.set_option(asio::socket_base::send_buffer_size(SocketBufferBytes));
    Socket.connect({asio::ip::make_address("127.0.0.1"), port});
    Socket.non_blocking(true);
    Pending = Message.Begin;
  }

  /// Sends at most `max` bytes, until the server answers with an error.
  void send(size_t max) {
    while (Pending.size() < max)
      Pending += Message.Repeat;
    ErrorCode ec;
    size_t n = Socket.write_some(asio::buffer(Pending.data(), max), ec);
    Pending.erase(0, n);
    Sent += n;
  }
  /// Reads what is there.
  void read() {
    char buf[4096];
    ErrorCode ec;
    while (!ec) {
      size_t n = Socket.read_some(asio::buffer(buf), ec);
      Answer.append(buf, n);
    }
    HasEnded = ec != asio::error::would_block;
  }
  /// Statuses of the answers.
  std::set<std::string> statuses() const {
    std::set<std::string> out;
    const std::string begin = "HTTP/1.1 ";
    for (size_t at = Answer.find(begin); at != std::string::npos;
         at = Answer.find(begin, at + 1))
      out.insert(Answer.substr(at + begin.size(), 3));
    return out;
  }
  bool isRefused() const {
    return Answer.find("Connection: close") != std::string::npos;
  }

  const CutMessage Message;
  size_t Sent = 0;
  std::string Answer;
  bool HasEnded = false;

private:
  asio::io_context Io;
  tcp::socket Socket{Io};
  std::string Pending;
};

class EndlessRequestTest : public testing::Test {
protected:
  static HttpServerInit initOf(std::atomic<int64_t> &held,
                               std::atomic<int64_t> &maxHeld,
                               Duration readTimeout) {
    HttpServerInit init;
    init.MaxHeaderBytes = HeadLimit;
    init.MaxBodyBytes = BodyLimit;
    init.ReadTimeout = readTimeout;
    init.ReceiveBufferBytes = SocketBufferBytes;
    init.OnConnectionBytes = [&](ConnectionBytes kind, int64_t change) {
      if (kind != ConnectionBytes::Input)
        return;
      int64_t now = held += change;
      int64_t before = maxHeld;
      while (now > before && !maxHeld.compare_exchange_weak(before, now)) {
      }
    };
    return init;
  }
  bool isClosed() const {
    auto end = std::chrono::steady_clock::now() + WaitLimit;
    while (Fixture->Server.openConnections() > 0 &&
           std::chrono::steady_clock::now() < end)
      std::this_thread::sleep_for(1ms);
    return Fixture->Server.openConnections() == 0;
  }
  void start(Duration readTimeout) {
    Fixture.emplace(
        [this](HttpRequest request,
               const std::shared_ptr<HttpExchange> &exchange) {
          for (const HttpHeader &it : request.Headers)
            if (it.Name == "T")
              HasTrailer = true;
          echo(std::move(request), exchange);
        },
        initOf(Held, MaxHeld, readTimeout));
  }

  std::atomic<int64_t> Held{0};
  std::atomic<int64_t> MaxHeld{0};
  std::atomic<bool> HasTrailer{false};
  std::optional<HttpFixture> Fixture;
};

TEST_F(EndlessRequestTest, IsRefusedInEachState) {
  start(20s);
  for (const CutMessage &message : endlessRequests()) {
    MaxHeld = 0;
    {
      Sender sender(Fixture->Server.port(), message);
      auto end = std::chrono::steady_clock::now() + WaitLimit;
      while (!sender.HasEnded && !sender.isRefused() &&
             sender.Sent < MaxSentBytes &&
             std::chrono::steady_clock::now() < end) {
        sender.send(16U << 10);
        sender.read();
      }
      std::set<std::string> statuses = sender.statuses();
      EXPECT_TRUE(sender.isRefused())
          << message.name() << ": sent " << sender.Sent << " bytes";
      EXPECT_EQ(statuses.count("400") + statuses.count("413") +
                    statuses.count("431"),
                1U)
          << message.name() << ": " << sender.Answer;
      EXPECT_NE(sender.Answer.find("not_run"), std::string::npos)
          << message.name() << ": " << sender.Answer;
    }
    EXPECT_TRUE(isClosed()) << message.name();
    EXPECT_LE(MaxHeld, MaxHeldBytes) << message.name();
  }
  EXPECT_EQ(Held, 0);
  EXPECT_FALSE(HasTrailer);
}

/// Time is bounded too: a connection that sends a byte now and then ends with
/// an error at the timeout of its state.
TEST_F(EndlessRequestTest, EndsAtTheTimeoutWhenItIsSlow) {
  start(400ms);
  std::list<Sender> senders;
  for (const CutMessage &message : endlessRequests())
    senders.emplace_back(Fixture->Server.port(), message);
  for (Sender &it : senders)
    it.send(std::max<size_t>(1, it.Message.Begin.size()));
  auto end = std::chrono::steady_clock::now() + WaitLimit;
  size_t open = senders.size();
  while (open > 0 && std::chrono::steady_clock::now() < end) {
    open = 0;
    for (Sender &it : senders) {
      it.read();
      if (it.HasEnded || it.isRefused())
        continue;
      ++open;
      it.send(1);
    }
    std::this_thread::sleep_for(20ms);
  }
  for (const Sender &it : senders) {
    std::set<std::string> statuses = it.statuses();
    EXPECT_EQ(statuses.count("400") + statuses.count("408"), 1U)
        << it.Message.name() << ": " << it.Answer;
  }
  senders.clear();
  EXPECT_TRUE(isClosed());
  EXPECT_EQ(Held, 0);
}

/// Requests that a caller sends without waiting for their answers are answered
/// one after another, and take no more memory the more there are.
TEST_F(EndlessRequestTest, HoldsNoMoreOfPipelinedRequests) {
  start(20s);
  for (const std::string &message : {Get, WithLength, Chunked}) {
    MaxHeld = 0;
    {
      Sender sender(Fixture->Server.port(), {message, message});
      auto end = std::chrono::steady_clock::now() + WaitLimit;
      while (!sender.HasEnded && sender.Sent < MaxSentBytes &&
             std::chrono::steady_clock::now() < end) {
        sender.send(16U << 10);
        sender.read();
      }
      EXPECT_GE(sender.Sent, MaxSentBytes) << sender.Answer;
      EXPECT_EQ(sender.statuses(), std::set<std::string>{"200"}) << message;
    }
    EXPECT_TRUE(isClosed());
    EXPECT_LE(MaxHeld, MaxHeldBytes) << message;
  }
  EXPECT_FALSE(HasTrailer);
}

/// Trailer fields could otherwise set headers, such as an API key, after the
/// checks of the head.
TEST_F(EndlessRequestTest, TrailerFieldsAreNoHeaders) {
  for (bool reserves : {false, true}) {
    struct Room : BodyReservation {
      bool reserve(size_t) override { return true; }
      void onReceived(size_t) override {}
    };
    HttpServerInit init;
    if (reserves)
      init.ReserveBody = [](const HttpRequest &, std::optional<uint64_t>) {
        return std::make_shared<Room>();
      };
    HttpFixture fixture(
        [](const HttpRequest &request,
           const std::shared_ptr<HttpExchange> &exchange) {
          std::string names;
          for (const HttpHeader &it : request.Headers)
            names += it.Name + ";";
          exchange->respond({200, {}, names + request.Body + "."});
        },
        init);
    RawClient raw(fixture.Server.port());
    raw.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
             "2;ext=1\r\nab\r\n0\r\nX-Api-Key: k\r\nConnection: close\r\n\r\n");
    std::string answer = raw.readUntil("ab.");
    EXPECT_NE(answer.find("\r\n\r\nHost;Transfer-Encoding;ab."),
              std::string::npos)
        << answer;
    EXPECT_EQ(answer.find("Connection: close"), std::string::npos) << answer;
  }
}

} // namespace
} // namespace daisytack::net
