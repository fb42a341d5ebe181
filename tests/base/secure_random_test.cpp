// The generator is replaced through functions that OpenSSL 3 deprecates.
#define OPENSSL_SUPPRESS_DEPRECATED

#include "base/digest.h"

#include <gtest/gtest.h>
#include <openssl/rand.h>

namespace daisytack {
namespace {

/// Lets OpenSSL's generator return the result without setting any bytes.
template <int Result> void replaceGenerator() {
  static RAND_METHOD method{};
  method.bytes = [](unsigned char *, int) { return Result; };
  ASSERT_EQ(RAND_set_rand_method(&method), 1);
}

/// Incarnations, request ids and nonces must be unique. Two processes that got
/// zeros from a failing generator would share them.
TEST(SecureRandomDeathTest, EndsTheProcessIfTheGeneratorFails) {
  GTEST_FLAG_SET(death_test_style, "threadsafe"); // The log has threads.
  EXPECT_DEATH(
      {
        replaceGenerator<0>();
        secureRandom();
      },
      "no random numbers");
}

TEST(SecureRandomDeathTest, EndsTheProcessIfTheGeneratorIsNotSupported) {
  GTEST_FLAG_SET(death_test_style, "threadsafe");
  EXPECT_DEATH(
      {
        replaceGenerator<-1>();
        randomId(secureRandom);
      },
      "no random numbers");
}

} // namespace
} // namespace daisytack
