/// Insertion sort for short ranges.
#pragma once

#include <cstddef>
#include <span>
#include <utility>

namespace daisytack {

/// Sorts the range in place. Stable, without allocation, and faster than
/// std::sort for a few elements.
template <class T> void insertionSort(std::span<T> range) {
  for (size_t i = 1; i < range.size(); ++i)
    for (size_t at = i; at > 0 && range[at] < range[at - 1]; --at)
      std::swap(range[at], range[at - 1]);
}

} // namespace daisytack
