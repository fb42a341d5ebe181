#include "direct/context_group.h"

#include "base/digest.h"

#include <algorithm>

namespace daisytack::direct {

namespace {

constexpr std::string_view CommonPrefix = "shared";
constexpr std::string_view IsolatedPrefix = "isolated-";
/// Hexadecimal digits of a digest that are used: 128 bits.
constexpr size_t DigestDigits = 32;

/// Organisations choose their names, which may have any characters.
std::string digestOf(std::string_view text) {
  return hexDigest(sha256(text)).substr(0, DigestDigits);
}

} // namespace

std::string commonContextGroup(std::vector<std::string> isolated) {
  std::string out(CommonPrefix);
  if (isolated.empty())
    return out;
  std::sort(isolated.begin(), isolated.end());
  std::string text;
  for (const std::string &it : isolated) {
    // The length keeps different lists apart.
    text += std::to_string(it.size()) + ":";
    text += it;
  }
  out += '-';
  return out + digestOf(text);
}

std::string isolatedContextGroup(std::string_view organisation) {
  std::string out(IsolatedPrefix);
  return out + digestOf(organisation);
}

} // namespace daisytack::direct
