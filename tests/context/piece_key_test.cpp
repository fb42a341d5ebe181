#include "context/piece_key.h"

#include "base/digest.h"
#include "context/check.h"

#include <algorithm>
#include <functional>

namespace daisytack {

namespace {

const std::string Secret(MinPieceSecretBytes, 's');

PieceScope scope() { return {"acme", "*", 1, "m", "v1", ""}; }

std::string text(size_t pieces, char fill) {
  return std::string(pieces * PieceBytes, fill);
}

bool areDisjoint(const std::vector<PieceKey> &a,
                 const std::vector<PieceKey> &b) {
  for (const PieceKey &it : a)
    if (std::find(b.begin(), b.end(), it) != b.end())
      return false;
  return true;
}

rc::Gen<PieceScope> anyScope() {
  // With few letters, fields and their concatenations are often equal.
  auto name = rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("ab\0;", 4)));
  return rc::gen::build<PieceScope>(
      rc::gen::set(&PieceScope::Organisation, name),
      rc::gen::set(&PieceScope::PolicyClass, name),
      rc::gen::set(&PieceScope::Epoch, rc::gen::inRange<uint32_t>(0, 3)),
      rc::gen::set(&PieceScope::Model, name),
      rc::gen::set(&PieceScope::Version, name),
      rc::gen::set(&PieceScope::Adapter, name));
}

} // namespace

TEST(PieceKey, OnlyWholePiecesHaveKeys) {
  PieceKeyer keyer(Secret);
  EXPECT_EQ(keyer.keys(scope(), std::string(PieceBytes - 1, 'x')).size(), 0U);
  EXPECT_EQ(keyer.keys(scope(), std::string(PieceBytes, 'x')).size(), 1U);
  EXPECT_EQ(keyer.keys(scope(), std::string(2 * PieceBytes + 1, 'x')).size(),
            2U);
  EXPECT_EQ(keyer.leadingKeys(scope(), text(9, 'x'), 2).size(), 2U);
}

TEST(PieceKey, IsHmacOverTheChain) {
  PieceKeyer keyer(Secret);
  PieceKey parent = keyer.root(scope());
  std::string message = "daisytack piece next 1";
  message.append(parent.Bytes.begin(), parent.Bytes.end());
  message += text(1, 'x');
  EXPECT_EQ(keyer.next(parent, text(1, 'x')).Bytes,
            hmacSha256(Secret, message));
  PieceKeyer longKeyed(std::string(100, 'k'));
  message = message.substr(0, 22 + 32);
  EXPECT_EQ(longKeyed.next(parent, "").Bytes,
            hmacSha256(std::string(100, 'k'), message));
}

TEST(PieceKey, KeysDifferWithEachScopeField) {
  PieceKeyer keyer(Secret);
  std::vector<std::function<void(PieceScope &)>> changes = {
      [](PieceScope &s) { s.Organisation = "other"; },
      [](PieceScope &s) { s.PolicyClass = "drafts"; },
      [](PieceScope &s) { s.Epoch = 2; },
      [](PieceScope &s) { s.Model = "n"; },
      [](PieceScope &s) { s.Version = "v2"; },
      [](PieceScope &s) { s.Adapter = "a"; }};
  auto base = keyer.keys(scope(), text(3, 'x'));
  for (const auto &change : changes) {
    PieceScope other = scope();
    change(other);
    EXPECT_TRUE(areDisjoint(base, keyer.keys(other, text(3, 'x'))));
  }
  PieceKeyer otherSecret(std::string(MinPieceSecretBytes, 't'));
  EXPECT_TRUE(areDisjoint(base, otherSecret.keys(scope(), text(3, 'x'))));
}

TEST(PieceKey, NoKeyIsSharedAcrossScopes) {
  PieceKeyer keyer(Secret);
  expectProperty([&] {
    PieceScope a = *anyScope();
    PieceScope b = *anyScope();
    bool disjoint =
        areDisjoint(keyer.keys(a, text(2, 'x')), keyer.keys(b, text(2, 'x')));
    RC_ASSERT(disjoint == (a != b));
  });
}

TEST(PieceKey, KeysAgreeExactlyOnTheCommonPrefix) {
  PieceKeyer keyer(Secret);
  expectProperty([&] {
    auto letters = rc::gen::container<std::string>(
        4, rc::gen::elementOf(std::string("xy")));
    std::string a = *letters;
    std::string b = *letters;
    auto keysOf = [&](const std::string &pieces) {
      std::string all;
      for (char c : pieces)
        all += text(1, c);
      return keyer.keys(scope(), all);
    };
    auto ka = keysOf(a);
    auto kb = keysOf(b);
    bool same = true;
    for (size_t i = 0; i < a.size(); ++i) {
      same = same && a[i] == b[i];
      RC_ASSERT((ka[i] == kb[i]) == same);
    }
  });
}

TEST(PieceKey, PurgeChangesAllKeys) {
  PieceKeyer keyer(Secret);
  Model model{"m", "v1", "", 1};
  ReusePolicy policy;
  policy.Organisation = "acme";
  auto before = keyer.keys(scopeOf(policy, model), text(4, 'x'));
  auto after = keyer.keys(scopeOf(purged(policy), model), text(4, 'x'));
  EXPECT_TRUE(areDisjoint(before, after));
}

TEST(PromptText, SharesOnlyTheKeysOfTheCommonPrefix) {
  ChatMessage systemMessage{"system", text(2, 'g')};
  ChatMessage first[] = {systemMessage, {"user", text(2, 'a')}};
  ChatMessage second[] = {systemMessage, {"user", text(2, 'b')}};
  PieceKeyer keyer(Secret);
  auto a = keyer.keys(scope(), canonicalText(first));
  auto b = keyer.keys(scope(), canonicalText(second));
  ASSERT_EQ(a.size(), 4U);
  EXPECT_EQ(a[0], b[0]);
  EXPECT_EQ(a[1], b[1]);
  EXPECT_NE(a[2], b[2]);
}

TEST(PromptText, DistinctMessagesHaveDistinctTexts) {
  expectProperty([] {
    auto part = rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("a\x1b\x1e\x1f")));
    auto message =
        rc::gen::build<ChatMessage>(rc::gen::set(&ChatMessage::Role, part),
                                    rc::gen::set(&ChatMessage::Content, part));
    auto list = rc::gen::container<std::vector<ChatMessage>>(message);
    auto a = *list;
    auto b = *list;
    RC_ASSERT((canonicalText(a) == canonicalText(b)) == (a == b));
  });
}

TEST(ReusePolicyTest, QuotaAndAge) {
  ReusePolicy policy;
  policy.KeepFor = std::chrono::hours(1);
  policy.MaxBytes = 10;
  Organisation organisation;
  organisation.KeptBytes = 20;
  EXPECT_EQ(keptQuota(organisation, policy), 10U);
  WallTime kept{std::chrono::hours(100)};
  EXPECT_TRUE(isWithinKeepFor(policy, kept, kept + std::chrono::minutes(59)));
  EXPECT_FALSE(isWithinKeepFor(policy, kept, kept + std::chrono::hours(1)));
  EXPECT_TRUE(isWithinKeepFor(policy, kept, kept - std::chrono::hours(9)));
  policy.Reuse = false;
  EXPECT_EQ(keptQuota(organisation, policy), 0U);
  EXPECT_FALSE(isWithinKeepFor(policy, kept, kept));
}

TEST(Tokens, AreRoundedUp) {
  EXPECT_EQ(estimateTokens(0), 0U);
  EXPECT_EQ(estimateTokens(1), 1U);
  EXPECT_EQ(estimateTokens(PieceBytes), PieceTokens);
}

} // namespace daisytack
