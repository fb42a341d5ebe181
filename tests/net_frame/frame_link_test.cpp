// Framed connections: delivery, key rotation, and rejection of frames that are
// unauthenticated, modified, repeated, missing or too large.
#include "net/frame_crypto.h"
#include "net/frame_link.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <condition_variable>
#include <list>
#include <mutex>
#include <thread>

using namespace daisytack;
using namespace daisytack::net;
namespace asio = boost::asio;

namespace {

const PeerKey OldKey{"old", "the first secret"};
const PeerKey NewKey{"new", "the second secret"};
constexpr Duration Timeout{5'000'000};

/// Records the events that the hooks of one side receive.
class Recorder {
public:
  FrameHooks hooks(bool echo = false) {
    return {[this](const std::shared_ptr<FrameLink> &link) {
              update([&] { Link = link, ++Opened; });
            },
            [this, echo](const std::shared_ptr<FrameLink> &link,
                         std::string_view frame) {
              if (echo)
                link->send("echo " + std::string(frame));
              update([&] { Frames.emplace_back(frame); });
            },
            [this](const std::shared_ptr<FrameLink> &, const Error &reason) {
              update([&] { Reason = reason.Kind, ++Closed; });
            }};
  }
  template <class Predicate> bool waitFor(Predicate done) {
    std::unique_lock guard(Lock);
    return Changed.wait_for(guard, Timeout, done);
  }

  int Opened = 0;
  int Closed = 0;
  ErrorKind Reason = ErrorKind::None;
  std::vector<std::string> Frames;
  std::shared_ptr<FrameLink> Link;

private:
  template <class Change> void update(Change change) {
    std::lock_guard guard(Lock);
    change();
    Changed.notify_all();
  }
  std::mutex Lock;
  std::condition_variable Changed;
};

class FrameLinkTest : public testing::Test {
protected:
  ~FrameLinkTest() override {
    Server.reset();
    Guard.reset();
    Io.stop();
    Thread.join();
  }
  uint16_t serve(PeerKeys keys) {
    Server.emplace(Io, Endpoint{"127.0.0.1", 0}, std::move(keys),
                   Accepting.hooks(true));
    Error reason;
    EXPECT_TRUE(Server->start(reason)) << reason.Detail;
    return Server->port();
  }
  std::shared_ptr<FrameLink> connect(uint16_t port, PeerKeys keys,
                                     Recorder &recorder) {
    return connectFrames(Io, {"127.0.0.1", port}, std::move(keys), Timeout,
                         recorder.hooks());
  }

  /// Returns a recorder that outlives the I/O thread, unlike a local variable
  /// of the test: a link may call Closed while the test is being torn down.
  Recorder &addRecorder() { return Others.emplace_back(); }

  asio::io_context Io;
  asio::executor_work_guard<asio::io_context::executor_type> Guard{
      Io.get_executor()};
  Recorder Accepting;
  Recorder Connecting;
  std::list<Recorder> Others;
  std::optional<FrameServer> Server;
  std::thread Thread{[this] { Io.run(); }};
};

/// Implements the protocol on a plain socket, so that tests can violate it.
class RawPeer {
public:
  explicit RawPeer(uint16_t port) : Stream(Io) {
    Stream.connect({asio::ip::make_address("127.0.0.1"), port});
  }
  void write(const std::string &bytes) {
    asio::write(Stream, asio::buffer(bytes));
  }
  std::string read(size_t n) {
    std::string out(n, '\0');
    asio::read(Stream, asio::buffer(out));
    return out;
  }
  static std::string framed(const std::string &body,
                            const std::string &mac = {}) {
    std::string out;
    appendFrameLength(out, body.size());
    return out + body + mac;
  }
  void handshake(const PeerKey &key) {
    FrameHello own{FrameRole::Connector, {1, 2, 3}, key.Id};
    write(framed(encodeFrameHello(own)));
    Error reason;
    std::string hello = read(readFrameLength(read(FrameLengthBytes)));
    FrameHello peer = decodeFrameHello(hello, reason).value();
    Mac.emplace(frameSessionKey(key.Secret, own.Role, own, peer));
    write(signedFrame(""));
  }
  std::string signedFrame(const std::string &body) {
    FrameMacValue mac = Mac->sign(body);
    return framed(body, {mac.begin(), mac.end()});
  }

private:
  asio::io_context Io;
  asio::ip::tcp::socket Stream;
  std::optional<FrameMac> Mac;
};

} // namespace

TEST_F(FrameLinkTest, CarriesFramesInOrderBothWays) {
  auto link = connect(serve({OldKey}), {OldKey}, Connecting);
  std::vector<std::string> expected;
  for (int i = 0; i < 1000; ++i) {
    link->send(std::to_string(i));
    expected.push_back("echo " + std::to_string(i));
  }
  link->send(std::string(MaxFrameBytes, 'x'));
  link->send(std::string(MaxFrameBytes + 1, 'y')); // Too long; dropped.
  ASSERT_TRUE(
      Accepting.waitFor([&] { return Accepting.Frames.size() == 1001; }));
  EXPECT_EQ(Accepting.Frames.back().size(), MaxFrameBytes);
  ASSERT_TRUE(
      Connecting.waitFor([&] { return Connecting.Frames.size() >= 1000; }));
  Connecting.Frames.resize(1000);
  EXPECT_EQ(Connecting.Frames, expected);
  EXPECT_EQ(link->pendingBytes(), 0U);
}

TEST_F(FrameLinkTest, CloseDeliversQueuedFrames) {
  auto link = connect(serve({OldKey}), {OldKey}, Connecting);
  ASSERT_TRUE(Connecting.waitFor([&] { return Connecting.Opened == 1; }));
  link->send("last words");
  link->close();
  link->send("too late");
  ASSERT_TRUE(Accepting.waitFor([&] { return Accepting.Closed == 1; }));
  EXPECT_EQ(Accepting.Frames, std::vector<std::string>{"last words"});
  ASSERT_TRUE(Connecting.waitFor([&] { return Connecting.Closed == 1; }));
  EXPECT_EQ(Connecting.Reason, ErrorKind::None);
}

TEST_F(FrameLinkTest, RefusesWrongKeys) {
  struct Case {
    PeerKeys Keys;
    const char *Name;
  };
  uint16_t port = serve({OldKey});
  const Case cases[] = {
      {{PeerKey{"old", "guessed"}}, "secret"}, {{NewKey}, "id"}, {{}, "none"}};
  for (const Case &it : cases) {
    Recorder &recorder = addRecorder();
    auto link = connect(port, it.Keys, recorder);
    link->send("secret prompt");
    ASSERT_TRUE(recorder.waitFor([&] { return recorder.Closed == 1; }))
        << it.Name;
    EXPECT_EQ(recorder.Opened, 0) << it.Name;
  }
  EXPECT_EQ(Accepting.Opened, 0);
  EXPECT_TRUE(Accepting.Frames.empty());
}

TEST_F(FrameLinkTest, AcceptsBothKeysDuringRotation) {
  uint16_t port = serve({OldKey, NewKey});
  Recorder &first = addRecorder();
  auto link = connect(port, {OldKey}, first);
  ASSERT_TRUE(first.waitFor([&] { return first.Opened == 1; }));
  Server->setKeys({NewKey, OldKey});
  Recorder &second = addRecorder();
  auto newer = connect(port, {NewKey, OldKey}, second);
  ASSERT_TRUE(second.waitFor([&] { return second.Opened == 1; }));
  Recorder &third = addRecorder();
  auto older = connect(port, {OldKey, NewKey}, third);
  ASSERT_TRUE(third.waitFor([&] { return third.Opened == 1; }));
  link->send("still open");
  EXPECT_TRUE(first.waitFor([&] { return first.Frames.size() == 1; }));
  Server->setKeys({NewKey});
  Recorder &late = addRecorder();
  auto refused = connect(port, {OldKey, NewKey}, late);
  ASSERT_TRUE(late.waitFor([&] { return late.Closed == 1; }));
  EXPECT_EQ(late.Opened, 0);
}

TEST_F(FrameLinkTest, DropsTamperedAndRepeatedFrames) {
  struct Case {
    const char *Name;
    std::function<std::string(RawPeer &)> Bytes;
  };
  const Case cases[] = {
      {"tampered",
       [](RawPeer &peer) {
         std::string frame = peer.signedFrame("amount 10");
         frame[FrameLengthBytes] ^= 1;
         return frame;
       }},
      {"repeated",
       [](RawPeer &peer) {
         std::string frame = peer.signedFrame("amount 10");
         return frame + frame;
       }},
      {"left out",
       [](RawPeer &peer) {
         peer.signedFrame("lost");
         return peer.signedFrame("amount 10");
       }},
      {"huge", [](RawPeer &) { return std::string("\xff\xff\xff\xff", 4); }},
  };
  uint16_t port = serve({OldKey});
  int closed = 0;
  for (const Case &it : cases) {
    Accepting.Frames.clear();
    RawPeer peer(port);
    peer.handshake(OldKey);
    peer.write(it.Bytes(peer));
    ASSERT_TRUE(Accepting.waitFor([&] {
      return Accepting.Closed == closed + 1;
    })) << it.Name;
    ++closed;
    bool once = std::string_view(it.Name) == "repeated";
    EXPECT_EQ(Accepting.Frames.size(), once ? 1U : 0U) << it.Name;
    EXPECT_TRUE(Accepting.Reason == ErrorKind::Unauthenticated ||
                Accepting.Reason == ErrorKind::ProtocolError)
        << it.Name;
  }
}

// A hello that is too long is rejected on its length field alone, before its
// payload is read.
TEST_F(FrameLinkTest, RejectsInvalidHellos) {
  uint16_t port = serve({OldKey});
  int closed = 0;
  const std::string openings[] = {
      RawPeer::framed(std::string(MaxFrameHelloBytes, 'x')),
      std::string("\x00\x80\x00\x00", 4), "GET / HTTP/1.1\r\n\r\n",
      RawPeer::framed(encodeFrameHello({FrameRole::Acceptor, {}, "old"}))};
  for (const std::string &opening : openings) {
    RawPeer peer(port);
    peer.write(opening);
    ASSERT_TRUE(
        Accepting.waitFor([&] { return Accepting.Closed == closed + 1; }));
    ++closed;
    EXPECT_EQ(Accepting.Reason, ErrorKind::ProtocolError);
  }
  EXPECT_EQ(Accepting.Opened, 0);
}

TEST_F(FrameLinkTest, ReportsAFailedConnectOnce) {
  uint16_t port = serve({OldKey});
  Server.reset();
  Recorder &second = addRecorder();
  auto link = connect(port, {OldKey}, second);
  ASSERT_TRUE(second.waitFor([&] { return second.Closed == 1; }));
  EXPECT_EQ(second.Opened, 0);
}

TEST(FrameHello, RoundTripsAndRejectsEveryTruncation) {
  FrameHello hello{FrameRole::Acceptor, {9, 8, 7}, "key-2026"};
  std::string bytes = encodeFrameHello(hello);
  Error reason;
  EXPECT_EQ(decodeFrameHello(bytes, reason), hello);
  for (size_t n = 0; n < bytes.size(); ++n)
    EXPECT_FALSE(
        decodeFrameHello(std::string_view(bytes).substr(0, n), reason));
  EXPECT_FALSE(decodeFrameHello(bytes + "x", reason));
}
