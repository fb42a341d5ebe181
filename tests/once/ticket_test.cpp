#include "once/ticket.h"

#include <gtest/gtest.h>

namespace daisytack {

namespace {

Ticket example() {
  return {"kengarags-portal-1",   {1, 2},
          "rimi.grower_7",        {3, 4},
          TimePoint(Duration(5)), TimePoint(Duration(605))};
}

std::string signedExample(const std::string &secret) {
  Error reason;
  return signTicket(example(), secret, reason).value_or("");
}

} // namespace

TEST(Ticket, RoundTrips) {
  std::string text = signedExample("secret");
  Error reason;
  auto back = parseTicket(text, reason);
  ASSERT_TRUE(back);
  EXPECT_EQ(*back, example());
  EXPECT_TRUE(looksLikeTicket(text));
  EXPECT_TRUE(verifyTicket(text, "secret"));
  EXPECT_LE(text.size(), MaxTicketBytes);
}

TEST(Ticket, RejectsAnyChangedCharacter) {
  std::string text = signedExample("secret");
  EXPECT_FALSE(verifyTicket(text, "other secret"));
  for (size_t i = 0; i < text.size(); ++i) {
    std::string forged = text;
    forged[i] = forged[i] == '0' ? '1' : '0';
    Error reason;
    EXPECT_FALSE(parseTicket(forged, reason) && verifyTicket(forged, "secret"))
        << i;
  }
}

TEST(Ticket, RefusesMalformedText) {
  std::string text = signedExample("secret");
  Error reason;
  for (size_t n = 0; n < text.size(); ++n)
    EXPECT_FALSE(parseTicket(text.substr(0, n), reason)) << n;
  EXPECT_FALSE(parseTicket(text + ":", reason));
  EXPECT_FALSE(parseTicket("dt1:" + std::string(1000, 'a'), reason));
  EXPECT_EQ(reason.Kind, ErrorKind::BadRequest);
}

TEST(Ticket, RefusesInvalidNames) {
  for (const char *name : {"", "a:b", "a b", "a\r\nb"}) {
    Ticket ticket = example();
    ticket.Organisation = name;
    Error reason;
    EXPECT_FALSE(signTicket(ticket, "secret", reason)) << name;
    EXPECT_EQ(reason.Kind, ErrorKind::BadValue);
  }
}

TEST(Ticket, AcceptsTheLongestNames) {
  Ticket ticket = example();
  ticket.Instance = std::string(MaxNameBytes, 'i');
  ticket.Organisation = std::string(MaxNameBytes, 'o');
  ticket.ExpiresAt = TimePoint::max();
  Error reason;
  auto text = signTicket(ticket, "secret", reason);
  ASSERT_TRUE(text);
  EXPECT_EQ(parseTicket(*text, reason), ticket);
}

} // namespace daisytack
