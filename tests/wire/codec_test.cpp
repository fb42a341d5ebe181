/// Guards against messages that change when encoded and decoded, and against a
/// decoder that accepts truncated, extended or foreign bytes.
#include "wire/codec.h"
#include "wire/messages.h"

#include <gtest/gtest.h>

namespace daisytack::wire {

TEST(Codec, OfferRoundTrips) {
  Offer offer;
  offer.Id = {1, 2};
  offer.AttemptNumber = 3;
  offer.Organisation = "kengarags-fruit";
  offer.Pieces.resize(2);
  offer.Pieces[1].Bytes[31] = 7;
  offer.Call.Headers.push_back({"a", "b"});
  Error reason;
  auto back = decode<Message>(encode(Message(offer)), reason);
  ASSERT_TRUE(back);
  EXPECT_EQ(std::get<Offer>(*back), offer);
}

TEST(Codec, RefusesCutExtendedAndForeignBytes) {
  std::string bytes = encode(Message(Cancel{{1, 2}, 3}));
  Error reason;
  for (size_t n = 0; n < bytes.size(); ++n)
    EXPECT_FALSE(decode<Message>(bytes.substr(0, n), reason)) << n;
  EXPECT_FALSE(decode<Message>(bytes + "x", reason));
  std::string other = bytes;
  other[0] = static_cast<char>(ProtocolVersion + 1);
  EXPECT_FALSE(decode<Message>(other, reason));
  other = bytes;
  other[1] = 100;
  EXPECT_FALSE(decode<Message>(other, reason));
  EXPECT_EQ(reason.Kind, ErrorKind::ProtocolError);
}

} // namespace daisytack::wire
