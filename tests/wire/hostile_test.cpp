/// Guards against a decoder that allocates memory by an encoded length instead
/// of by the bytes received: a short message with a huge length would then
/// exhaust the memory of the process.
#include "allocations.h"
#include "samples.h"
#include "wire/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisytack::wire {

namespace {

/// Bound on allocated bytes per byte of the message: vectors grow by doubling,
/// and an element in memory is several times its smallest encoding.
constexpr size_t MaxGrowth = 16;
constexpr size_t Slack = 4096;

/// Number of bytes that decoding the message allocates.
size_t allocatedBy(const std::string &bytes) {
  test::resetAllocatedBytes();
  Error reason;
  auto decoded = decode<Message>(bytes, reason);
  return test::allocatedBytes();
}

void writeLength(std::string &bytes, size_t at, uint64_t length) {
  for (size_t i = 0; i < sizeof(length) && at + i < bytes.size(); ++i)
    bytes[at + i] = static_cast<char>(length >> (8 * i));
}

} // namespace

TEST(HostileBytes, SamplesCoverEveryKindAndRoundTrip) {
  auto samples = test::sampleMessages();
  ASSERT_EQ(samples.size(), std::variant_size_v<Message>);
  for (size_t i = 0; i < samples.size(); ++i) {
    EXPECT_EQ(samples[i].index(), i);
    Error reason;
    EXPECT_EQ(decode<Message>(encode(samples[i]), reason), samples[i]);
  }
}

TEST(HostileBytes, NoLengthAnywhereAllocatesBeyondTheMessage) {
  const std::vector<uint64_t> lengths{~0ULL, 1ULL << 63, 1ULL << 40, 1ULL << 31,
                                      1ULL << 20};
  for (const Message &sample : test::sampleMessages()) {
    std::string whole = encode(sample);
    for (size_t at = 2; at < whole.size(); ++at) {
      for (uint64_t length : lengths) {
        std::string hostile = whole;
        writeLength(hostile, at, length);
        ASSERT_LE(allocatedBy(hostile), MaxGrowth * whole.size() + Slack)
            << "kind " << sample.index() << " at " << at;
      }
    }
  }
}

TEST(HostileBytes, ALengthThatJustFitsAllocatesInProportion) {
  // The length fits the bytes left, but each header takes 64 bytes in memory.
  std::string whole = encode(Message(test::sampleOffer()));
  constexpr size_t Padding = 1U << 20;
  whole.append(Padding, '\xff');
  for (size_t at = 2; at < whole.size() - Padding; ++at) {
    std::string hostile = whole;
    writeLength(hostile, at, Padding / 2);
    ASSERT_LE(allocatedBy(hostile), MaxGrowth * whole.size()) << at;
  }
}

TEST(HostileBytes, ABoolIsZeroOrOne) {
  Offer offer = test::sampleOffer();
  std::string yes = encode(Message(offer));
  offer.Idempotent = false;
  std::string no = encode(Message(offer));
  size_t at = 0;
  while (yes[at] == no[at])
    ++at;
  yes[at] = 2;
  Error reason;
  EXPECT_FALSE(decode<Message>(yes, reason));
  EXPECT_EQ(reason.Kind, ErrorKind::ProtocolError);
}

RC_GTEST_PROP(HostileBytes, AnyBytesAreDecodedOrRefused, (std::string bytes)) {
  for (uint8_t kind = 0; kind < std::variant_size_v<Message>; ++kind) {
    std::string message{static_cast<char>(ProtocolVersion),
                        static_cast<char>(kind)};
    message += bytes;
    Error reason;
    auto decoded = decode<Message>(message, reason);
    if (decoded)
      RC_ASSERT(encode(*decoded) == message);
    else
      RC_ASSERT(reason.Kind == ErrorKind::ProtocolError);
  }
}

} // namespace daisytack::wire
