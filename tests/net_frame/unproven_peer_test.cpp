/// Guards against bytes that an acceptor of framed connections holds for peers
/// that have not proven that they hold a key. The acceptor's own hello tells
/// everybody the name of a key.
#include "net/frame_crypto.h"
#include "net/frame_link.h"

#include "net_http/http_fixture.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <atomic>

namespace daisytack::net {
namespace {

using namespace std::chrono_literals;

const PeerKey Key{"k", "the secret"};

/// A peer without the key.
class Stranger {
public:
  explicit Stranger(uint16_t port) : Socket(Io) {
    Socket.connect({asio::ip::make_address("127.0.0.1"), port});
  }
  std::string read(size_t n, ErrorCode &ec) {
    std::string out(n, '\0');
    asio::read(Socket, asio::buffer(out), ec);
    return out;
  }
  /// Sends a hello that names the key of the acceptor.
  void sendHello() {
    ErrorCode ec;
    std::string hello = read(readFrameLength(read(FrameLengthBytes, ec)), ec);
    Error reason;
    std::optional<FrameHello> accepting = decodeFrameHello(hello, reason);
    ASSERT_TRUE(accepting);
    std::string own =
        encodeFrameHello({FrameRole::Connector, {}, accepting->KeyId});
    std::string out;
    appendFrameLength(out, own.size());
    asio::write(Socket, asio::buffer(out + own));
  }
  void send(const std::string &bytes) {
    ErrorCode ignored;
    asio::write(Socket, asio::buffer(bytes), ignored);
  }
  /// Whether the acceptor closes the connection within the time.
  bool isClosedWithin(Duration time) {
    auto until = std::chrono::steady_clock::now() + time;
    Socket.non_blocking(true);
    while (std::chrono::steady_clock::now() < until) {
      char buf[256];
      ErrorCode ec;
      Socket.read_some(asio::buffer(buf), ec);
      if (ec && ec != asio::error::would_block)
        return true;
      if (ec)
        std::this_thread::sleep_for(2ms);
    }
    return false;
  }

private:
  asio::io_context Io;
  tcp::socket Socket;
};

class UnprovenPeer : public testing::Test {
protected:
  ~UnprovenPeer() override { Threads.stop(); }
  uint16_t serve() {
    FrameHooks hooks;
    hooks.Opened = [this](const auto &) { ++Opened; };
    hooks.Frame = [](const auto &, std::string_view) {};
    hooks.Closed = [this](const auto &, const Error &reason) {
      Reason = reason.Kind;
    };
    Server.emplace(Threads.Io, Endpoint{"127.0.0.1", 0}, PeerKeys{Key},
                   std::move(hooks));
    Error reason;
    EXPECT_TRUE(Server->start(reason)) << reason.Detail;
    return Server->port();
  }

  std::atomic<int> Opened{0};
  std::atomic<ErrorKind> Reason{ErrorKind::None};
  IoThreads Threads{1};
  /// Its timers use the I/O context.
  std::optional<FrameServer> Server;
};

/// Guards against 8 MB that each of many connections without a key could make
/// the acceptor hold: the proof was allowed the length of a frame.
TEST_F(UnprovenPeer, ProofHasNoPayload) {
  Stranger stranger(serve());
  stranger.sendHello();
  std::string length;
  appendFrameLength(length, MaxFrameBytes);
  stranger.send(length + std::string(4096, 'x'));
  // Far less than the timeout of the handshake.
  EXPECT_TRUE(stranger.isClosedWithin(2s));
  EXPECT_EQ(Reason, ErrorKind::ProtocolError);
}

/// Guards against an acceptor that keeps any number of connections that never
/// prove anything, and against one that refuses peers with a key because of
/// them.
TEST_F(UnprovenPeer, ManyThatNeverProveAreBounded) {
  constexpr size_t Strangers = 600;
  constexpr size_t MaxKept = 256;
  uint16_t port = serve();
  std::vector<std::unique_ptr<Stranger>> strangers;
  for (size_t i = 0; i < Strangers; ++i)
    strangers.push_back(std::make_unique<Stranger>(port));
  // Each is greeted before it may be closed for a later one.
  FrameHooks hooks;
  std::atomic<int> connected{0};
  hooks.Opened = [&](const auto &) { ++connected; };
  auto link = connectFrames(Threads.Io, {"127.0.0.1", port}, {Key}, 5s, hooks);
  auto until = std::chrono::steady_clock::now() + 3s;
  while (connected == 0 && std::chrono::steady_clock::now() < until)
    std::this_thread::sleep_for(2ms);
  EXPECT_EQ(connected, 1);
  size_t kept = 0;
  for (auto &it : strangers)
    kept += it->isClosedWithin(10ms) ? 0 : 1;
  EXPECT_LE(kept, MaxKept);
  EXPECT_GT(kept, 0U);
  link->close();
  Threads.stop();
}

} // namespace
} // namespace daisytack::net
