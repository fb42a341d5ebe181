/// Detects prompt prefixes that are so common that every server has them
/// cached. Such a prefix alone should not determine which server a prompt is
/// routed to.
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
  Duration Window{60'000'000}; ///< Counts cover the last one to two windows.
  /// A prefix is hot if the number of prompts that start with it exceeds this
  /// share of the average number of prompts per server of the pool.
  double HotShare = 0.5;
  uint32_t MinCount = 8;      ///< A prefix with a lower count is not hot.
  size_t Counters = 1U << 14; ///< Counters per row of the sketch; rounded up to
                              ///< a power of two.
  bool operator==(const PopularitySettings &) const = default;
};

/// Counts prefixes in a count-min sketch of fixed size. Thread-safe and
/// lock-free; a count may be lost when it coincides with the start of a window.
/// Each entry counts only its own requests. Entries that get similar traffic
/// from the load balancer choose the same depth, except for prefixes close to
/// the threshold.
class PrefixPopularity {
public:
  explicit PrefixPopularity(PopularitySettings settings);

  /// Counts a prompt and returns how many of its leading pieces should
  /// determine its home server: RoutingPieces, or more if that prefix is hot.
  /// Returns nullopt if the prompt has no pieces or all of its prefixes are
  /// hot; such a prompt should be spread over the pool. The pool is identified
  /// by hashName of the model or service that it serves; servers is its number
  /// of servers in the entry's region.
  std::optional<uint32_t> chooseDepth(std::span<const PieceKey> pieces,
                                      uint64_t pool, size_t servers,
                                      TimePoint now);

private:
  static constexpr size_t Rows = 2;
  /// The sketch of one window.
  struct WindowSketch {
    std::atomic<int64_t> WindowNumber{-1}; ///< Number of the window since time
                                           ///< zero; -1 for none.
    std::vector<std::atomic<uint32_t>> Counts; ///< Row by row.
  };

  void startWindow(int64_t windowNumber);
  /// Adds one to the key's count in the window and returns the sum of its
  /// counts in this window and the previous one.
  uint32_t increment(uint64_t key, int64_t windowNumber);

  PopularitySettings Settings;
  /// The sketches of the current window and the previous one.
  std::array<WindowSketch, 2> Sketches;
  std::atomic<int64_t> LatestWindow{-1}; ///< Number of the current window.
};

} // namespace daisytack
