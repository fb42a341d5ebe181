#include "base/digest.h"
#include "base/rcu.h"
#include "daisytack/error.h"
#include "daisytack/types.h"

#include <gtest/gtest.h>

namespace daisytack {

TEST(Types, IdRoundTripsThroughHex) {
  Id128 id{0x0123456789abcdefULL, 0xfedcba9876543210ULL};
  EXPECT_EQ(toHex(id), "0123456789abcdeffedcba9876543210");
  EXPECT_EQ(parseId128(toHex(id)), id);
  EXPECT_FALSE(parseId128("0123"));
  EXPECT_FALSE(parseId128("0123456789abcdeffedcba987654321G"));
}

TEST(Types, EndpointRefusesNamesAndBadPorts) {
  EXPECT_EQ(parseEndpoint("127.0.0.1:80"), (Endpoint{"127.0.0.1", 80}));
  EXPECT_EQ(toString(*parseEndpoint("[::1]:80")), "[::1]:80");
  for (const char *bad : {"localhost:80", "127.0.0.1", "127.0.0.1:0",
                          "127.0.0.1:65536", "127.0.0.1:8x", ":80"})
    EXPECT_FALSE(parseEndpoint(bad)) << bad;
}

TEST(Errors, EveryKindHasNameStatusAndRemedy) {
  for (int i = 0; i <= static_cast<int>(ErrorKind::StreamVersionGone); ++i) {
    auto kind = static_cast<ErrorKind>(i);
    EXPECT_EQ(parseErrorKind(errorName(kind)), kind);
    EXPECT_FALSE(errorRemedy(kind).empty());
  }
}

TEST(Rcu, ReaderSeesTheLatestSnapshotAndKeepsTheOld) {
  Rcu<int> cell(std::make_shared<const int>(1));
  Rcu<int>::Reader reader(cell);
  auto first = reader.get();
  cell.publish(std::make_shared<const int>(2));
  EXPECT_EQ(*first, 1);
  EXPECT_EQ(*reader.get(), 2);
}

TEST(Digest, KnownAnswers) {
  EXPECT_EQ(hexDigest(sha256("abc")),
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  EXPECT_TRUE(equalConstantTime("a", "a"));
  EXPECT_FALSE(equalConstantTime("a", "b"));
  EXPECT_FALSE(equalConstantTime("a", "ab"));
}

} // namespace daisytack
