/// Sizes of the prompt parts that were recently saved to stores, from which it
/// is decided which parts are small enough for the stores with fast links.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace daisytack::direct {

/// Not thread-safe.
class PartSizes {
public:
  void observe(uint32_t tokens);
  /// Share of all observed tokens, from 0 to 1, that belong to smaller parts or
  /// to half of the parts of the same size; nullopt before enough parts were
  /// observed.
  std::optional<double> rank(uint32_t tokens) const;

private:
  /// Enough samples for a rank within a few hundredths, and few enough to scan
  /// all of them for each save.
  static constexpr size_t MaxSamples = 512;
  /// With fewer samples the rank predicts little.
  static constexpr size_t MinSamples = 16;

  std::vector<uint32_t> Sizes; ///< Ring buffer once it is full.
  size_t NextIndex = 0;
};

} // namespace daisytack::direct
