#include "decide/prefix_popularity.h"

#include "base/digest.h"

#include <algorithm>
#include <bit>
#include <cstring>

namespace daisytack {

namespace {

/// Prefix lengths that are counted, in pieces. A longer prefix is counted only
/// if the next shorter one is hot.
constexpr std::array<uint32_t, 9> Depths{
    RoutingPieces, 3, 4, 6, 8, 12, 16, 24, 32};

uint64_t leadingBytes(const PieceKey &key) {
  uint64_t out = 0;
  std::memcpy(&out, key.Bytes.data(), sizeof out);
  return out;
}

} // namespace

PrefixPopularity::PrefixPopularity(PopularitySettings settings)
    : Settings(settings) {
  Settings.Counters = std::bit_ceil(std::max<size_t>(Settings.Counters, 1));
  for (WindowSketch &it : Sketches)
    it.Counts = std::vector<std::atomic<uint32_t>>(Settings.Counters * Rows);
}

/// Starts the window with the number unless it has already started: the first
/// caller clears the older one of the two sketches.
void PrefixPopularity::startWindow(int64_t windowNumber) {
  int64_t latest = LatestWindow.load(std::memory_order_acquire);
  if (latest >= windowNumber ||
      !LatestWindow.compare_exchange_strong(latest, windowNumber,
                                            std::memory_order_acq_rel))
    return;
  WindowSketch &sketch =
      Sketches[static_cast<size_t>(windowNumber) % Sketches.size()];
  for (std::atomic<uint32_t> &it : sketch.Counts)
    it.store(0, std::memory_order_relaxed);
  sketch.WindowNumber.store(windowNumber, std::memory_order_release);
}

uint32_t PrefixPopularity::increment(uint64_t key, int64_t windowNumber) {
  uint32_t out = 0;
  for (WindowSketch &sketch : Sketches) {
    int64_t age =
        windowNumber - sketch.WindowNumber.load(std::memory_order_acquire);
    if (age < 0 || age > 1)
      continue;
    uint32_t minimum = UINT32_MAX;
    for (size_t row = 0; row < Rows; ++row) {
      size_t at = mix64(key + row) & (Settings.Counters - 1);
      std::atomic<uint32_t> &count =
          sketch.Counts[row * Settings.Counters + at];
      uint32_t seen = age == 0
                          ? count.fetch_add(1, std::memory_order_relaxed) + 1
                          : count.load(std::memory_order_relaxed);
      minimum = std::min(minimum, seen);
    }
    out += minimum;
  }
  return out;
}

std::optional<uint32_t>
PrefixPopularity::chooseDepth(std::span<const PieceKey> pieces, uint64_t pool,
                              size_t servers, TimePoint now) {
  int64_t windowNumber = now.time_since_epoch() / Settings.Window;
  startWindow(windowNumber);
  uint32_t all = increment(pool, windowNumber);
  auto maxDepth = static_cast<uint32_t>(pieces.size());
  for (uint32_t depth : Depths) {
    depth = std::min(depth, maxDepth);
    if (depth == 0)
      return std::nullopt;
    uint32_t seen =
        increment(pool ^ leadingBytes(pieces[depth - 1]), windowNumber);
    double share = static_cast<double>(seen) / all;
    bool hot = seen >= Settings.MinCount &&
               share * static_cast<double>(servers) > Settings.HotShare;
    if (!hot)
      return depth;
    if (depth == maxDepth)
      return std::nullopt;
  }
  return maxDepth;
}

} // namespace daisytack
