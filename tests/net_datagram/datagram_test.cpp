#include "net/datagram.h"
#include "net/datagram_seal.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace daisytack::net {
namespace {

const PeerKey Old{"2026a", "old secret"};
const PeerKey New{"2026b", "new secret"};
const Incarnation Alice{1, 2};
const Incarnation Bob{3, 4};

std::string sealed(DatagramSeal &from, std::string_view payload) {
  Error reason;
  return from.seal(payload, reason).value_or("");
}

TEST(DatagramSeal, RoundTripsAndRejectsReplay) {
  DatagramSeal alice({Old}, Alice);
  DatagramSeal bob({Old}, Bob);
  std::string bytes = sealed(alice, "hello");
  Error reason;
  EXPECT_EQ(bob.open(bytes, reason), "hello");
  EXPECT_FALSE(bob.open(bytes, reason));
  EXPECT_EQ(reason.Kind, ErrorKind::Forbidden);
}

TEST(DatagramSeal, EveryFlippedBitIsRejected) {
  DatagramSeal alice({Old}, Alice);
  std::string bytes = sealed(alice, "hello");
  for (size_t bit = 0; bit < bytes.size() * 8; ++bit) {
    std::string bad = bytes;
    bad[bit / 8] = static_cast<char>(bad[bit / 8] ^ (1 << (bit % 8)));
    DatagramSeal bob({Old}, Bob);
    Error reason;
    EXPECT_FALSE(bob.open(bad, reason)) << "bit " << bit;
  }
  for (size_t n = 0; n < bytes.size(); ++n) {
    DatagramSeal bob({Old}, Bob);
    Error reason;
    EXPECT_FALSE(bob.open(bytes.substr(0, n), reason)) << n << " bytes";
  }
}

TEST(DatagramSeal, KeysCanBeRotatedWithoutDowntime) {
  DatagramSeal alice({Old}, Alice);
  DatagramSeal bob({Old}, Bob);
  Error reason;
  // Key rotation: all peers first accept the new key, then sign with it, then
  // remove the old one.
  bob.setKeys({Old, New});
  EXPECT_TRUE(bob.open(sealed(alice, "1"), reason));
  alice.setKeys({New, Old});
  EXPECT_TRUE(bob.open(sealed(alice, "2"), reason));
  EXPECT_TRUE(alice.open(sealed(bob, "3"), reason));
  bob.setKeys({New});
  EXPECT_TRUE(alice.open(sealed(bob, "4"), reason));
  alice.setKeys({Old});
  EXPECT_FALSE(bob.open(sealed(alice, "5"), reason));
  EXPECT_EQ(reason.Kind, ErrorKind::Unauthenticated);
}

TEST(DatagramSeal, BoundsPayloadAndSenders) {
  DatagramSeal alice({Old}, Alice);
  Error reason;
  std::string largest(alice.maxPayload(), 'x');
  EXPECT_EQ(sealed(alice, largest).size(), MaxDatagramBytes);
  EXPECT_FALSE(alice.seal(largest + "x", reason));
  ReplayWindow window(10);
  for (uint64_t i = 0; i < 100; ++i)
    EXPECT_TRUE(window.accept({i, 1}, 1));
  EXPECT_EQ(window.senders(), 10U);
}

RC_GTEST_PROP(ReplayWindow, AcceptsEachCounterAtMostOnce, ()) {
  ReplayWindow window(4);
  std::set<uint64_t> accepted;
  uint64_t highest = 0;
  auto counters = *rc::gen::container<std::vector<uint64_t>>(
      rc::gen::inRange<uint64_t>(1, 300));
  for (uint64_t counter : counters) {
    bool fresh = !accepted.contains(counter);
    bool inWindow = counter + ReplayWindow::Width > highest;
    bool ok = window.accept(Alice, counter);
    RC_ASSERT(ok == (fresh && inWindow));
    if (ok)
      accepted.insert(counter);
    highest = std::max(highest, counter);
  }
}

TEST(DatagramSocket, DeliversBetweenSocketsAndCountsRejected) {
  boost::asio::io_context io;
  std::string got;
  std::vector<ErrorKind> rejected;
  auto ignore = [](const Endpoint &, std::string_view) {};
  DatagramSocket bob(
      io, {"127.0.0.1", 0}, {Old}, Bob,
      [&](const Endpoint &, std::string_view payload) { got = payload; },
      [&](ErrorKind kind) { rejected.push_back(kind); });
  DatagramSocket alice(io, {"127.0.0.1", 0}, {Old}, Alice, ignore,
                       [](ErrorKind) {});
  DatagramSocket mallory(io, {"127.0.0.1", 0}, {New}, {9, 9}, ignore,
                         [](ErrorKind) {});
  Error reason;
  ASSERT_TRUE(bob.start(reason) && alice.start(reason) && mallory.start(reason))
      << reason.Detail;
  Endpoint to{"127.0.0.1", bob.port()};
  mallory.send(to, "forged");
  alice.send(to, "hello");
  while (got.empty() || rejected.empty())
    io.run_one();
  EXPECT_EQ(got, "hello");
  EXPECT_EQ(rejected, std::vector<ErrorKind>{ErrorKind::Unauthenticated});
}

} // namespace
} // namespace daisytack::net
