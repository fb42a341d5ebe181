/// Every decoder of bytes from outside, as a function that must neither crash
/// nor break its stated rule, whatever the bytes are.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace daisytack::fuzz {

struct Target {
  std::string_view Name; ///< Also of its directory below tests/fuzz/corpus.
  void (*Run)(std::string_view bytes) = nullptr;
  /// Valid inputs that are no text, made by the encoder.
  std::vector<std::string> (*BinarySeeds)() = nullptr;
};

const std::vector<Target> &targets();
/// Nothing of that name: nullptr.
const Target *findTarget(std::string_view name);

} // namespace daisytack::fuzz
