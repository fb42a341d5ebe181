/// Which beginnings of prompts are so common that every server keeps them
/// anyway, and so should not decide where a prompt goes.
#pragma once

#include "daisytack/types.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace daisytack {

struct PopularitySettings {
  Duration Window{60'000'000}; ///< Counts cover one to two of these.
  double HotShare = 0.5;      ///< A prefix is hot when it begins more than this
                              ///< share of what one server of the pool gets.
  uint32_t LeastCount = 8;    ///< Fewer sightings say nothing.
  size_t Counters = 1U << 14; ///< Of each row; a power of two.
  bool operator==(const PopularitySettings &) const = default;
};

/// Counts prefixes in a count-min sketch of fixed size. Thread-safe and
/// lock-free; a request that is counted while the window turns over may be
/// lost. Counts are an entry's own: entries that the balancer feeds alike come
/// to the same depth, except for prefixes at the border.
class PrefixPopularity {
public:
  explicit PrefixPopularity(PopularitySettings settings);

  /// Counts a prompt, and answers how many of its leading pieces should choose
  /// its home: RoutingPieces, or more while a prefix of so many is hot. Nothing
  /// when all are: the prompt is best spread. The pool is named by hashName of
  /// what it serves, and has so many servers in the entry's region.
  std::optional<uint32_t> count(std::span<const PieceKey> pieces, uint64_t pool,
                                size_t servers, TimePoint now);

private:
  static constexpr size_t Rows = 2;
  struct Epoch {
    std::atomic<int64_t> Number{-1};
    std::vector<std::atomic<uint32_t>> Counts;
  };

  void turn(int64_t number);
  /// Adds one and answers the count of both windows.
  uint32_t add(uint64_t key, int64_t number);

  PopularitySettings Settings;
  std::array<Epoch, 2> Epochs;
  std::atomic<int64_t> Latest{-1};
};

} // namespace daisytack
