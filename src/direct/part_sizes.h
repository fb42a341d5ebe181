/// The sizes of the prompt parts that were lately worth keeping, so that stores
/// with quick links can take the small ones.
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
  /// Share of all observed tokens that are in smaller parts and in half of
  /// those of the same size, from 0 to 1; nothing before enough were observed.
  std::optional<double> rank(uint32_t tokens) const;

private:
  /// Enough for a rank that is right to a few hundredths, and few enough for
  /// one look at all of them with each save.
  static constexpr size_t MostObserved = 512;
  /// Fewer say little of what is to come.
  static constexpr size_t LeastObserved = 16;

  std::vector<uint32_t> Sizes; ///< A ring once it is full.
  size_t NextPlace = 0;
};

} // namespace daisytack::direct
