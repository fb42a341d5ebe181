#include "direct/part_sizes.h"

namespace daisytack::direct {

void PartSizes::observe(uint32_t tokens) {
  if (Sizes.size() < MaxSamples) {
    Sizes.push_back(tokens);
    return;
  }
  Sizes[NextIndex] = tokens;
  NextIndex = (NextIndex + 1) % MaxSamples;
}

std::optional<double> PartSizes::rank(uint32_t tokens) const {
  if (Sizes.size() < MinSamples)
    return std::nullopt;
  double smaller = 0;
  double total = 0;
  for (uint32_t size : Sizes) {
    total += size;
    if (size < tokens)
      smaller += size;
    if (size == tokens)
      smaller += size / 2.0;
  }
  return total > 0 ? smaller / total : 0;
}

} // namespace daisytack::direct
