#include "direct/part_sizes.h"

namespace daisytack::direct {

void PartSizes::observe(uint32_t tokens) {
  if (Sizes.size() < MostObserved) {
    Sizes.push_back(tokens);
    return;
  }
  Sizes[NextPlace] = tokens;
  NextPlace = (NextPlace + 1) % MostObserved;
}

std::optional<double> PartSizes::rank(uint32_t tokens) const {
  if (Sizes.size() < LeastObserved)
    return std::nullopt;
  double smaller = 0;
  double all = 0;
  for (uint32_t size : Sizes) {
    all += size;
    if (size < tokens)
      smaller += size;
    if (size == tokens)
      smaller += size / 2.0;
  }
  return all > 0 ? smaller / all : 0;
}

} // namespace daisytack::direct
