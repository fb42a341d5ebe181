/// Fuzz targets for all decoders of untrusted bytes. For any input, a target
/// must not crash, and the condition stated at its function must hold.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace daisytack::fuzz {

struct Target {
  /// Also the name of the target's corpus directory in tests/fuzz/corpus.
  std::string_view Name;
  void (*Run)(std::string_view bytes) = nullptr;
  /// Returns valid binary inputs made by the encoder; empty for text formats.
  std::vector<std::string> (*BinarySeeds)() = nullptr;
};

const std::vector<Target> &targets();
/// Returns nullptr if there is no target with this name.
const Target *findTarget(std::string_view name);

} // namespace daisytack::fuzz
