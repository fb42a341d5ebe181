/// Guards against values that differ from what was sent: a damaged, truncated
/// or foreign encoding must be recognised as such.
#include "base/delta.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisytack {
namespace {

constexpr size_t MaxBytes = 1U << 20;

std::optional<std::string> decompress(std::string_view bytes,
                                      std::string_view base = {}) {
  Error reason;
  return decompressDelta(bytes, base, MaxBytes, reason);
}

RC_GTEST_PROP(Delta, GivesTheValueBack,
              (const std::string &value, const std::string &base)) {
  RC_ASSERT(decompress(compressDelta(value, base), base) == value);
}

RC_GTEST_PROP(Delta, NeverGivesAnotherValue,
              (const std::string &value, const std::string &base)) {
  RC_PRE(!value.empty());
  std::string bytes = compressDelta(value, base);
  auto at = *rc::gen::inRange<size_t>(0, bytes.size());
  std::string damaged = bytes;
  damaged[at] = static_cast<char>(damaged[at] ^ *rc::gen::inRange(1, 256));
  RC_ASSERT(decompress(damaged, base).value_or(value) == value);
  RC_ASSERT(!decompress(bytes.substr(0, at), base));
}

TEST(Delta, OfALongTextIsAsShortAsTheChange) {
  std::string base;
  for (int i = 0; i < 20'000; ++i)
    base += "line " + std::to_string(i * 7919) + "\n";
  std::string value = base;
  value.insert(value.size() / 2, "another line\n");
  std::string bytes = compressDelta(value, base);
  EXPECT_LT(bytes.size(), 500U);
  EXPECT_EQ(decompress(bytes, base), value);
  EXPECT_EQ(decompress(bytes, value), std::nullopt) << "another base";
}

TEST(Delta, RefusesAValueThatIsTooLarge) {
  Error reason;
  std::string bytes = compressDelta(std::string(MaxBytes + 1, 'a'), {});
  EXPECT_EQ(decompressDelta(bytes, {}, MaxBytes, reason), std::nullopt);
  EXPECT_EQ(reason.Kind, ErrorKind::BadValue);
}

} // namespace
} // namespace daisytack
