#include "edge/kv.h"

#include <array>

namespace daisytack::edge {

std::string_view kvStatusName(KvStatus status) {
  constexpr std::array<std::string_view, 4> Names{"ok", "compare_failed",
                                                  "unavailable", "unknown"};
  return Names[static_cast<size_t>(status)];
}

std::string prefixEnd(std::string prefix) {
  while (!prefix.empty() && static_cast<uint8_t>(prefix.back()) == 0xFF)
    prefix.pop_back();
  if (prefix.empty())
    return std::string(1, '\0');
  prefix.back() = static_cast<char>(static_cast<uint8_t>(prefix.back()) + 1);
  return prefix;
}

} // namespace daisytack::edge
