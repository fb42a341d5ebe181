#include "decide/prefix_popularity.h"

#include "base/digest.h"

#include <algorithm>
#include <bit>
#include <cstring>

namespace daisytack {

namespace {

/// Lengths of prefix that are looked at: a longer one is looked at only while
/// the shorter is hot.
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
  for (Epoch &it : Epochs)
    it.Counts = std::vector<std::atomic<uint32_t>>(Settings.Counters * Rows);
}

/// The first request of a window empties the older of the two sketches.
void PrefixPopularity::turn(int64_t number) {
  int64_t latest = Latest.load(std::memory_order_acquire);
  if (latest >= number || !Latest.compare_exchange_strong(
                              latest, number, std::memory_order_acq_rel))
    return;
  Epoch &epoch = Epochs[static_cast<size_t>(number) % Epochs.size()];
  for (std::atomic<uint32_t> &it : epoch.Counts)
    it.store(0, std::memory_order_relaxed);
  epoch.Number.store(number, std::memory_order_release);
}

uint32_t PrefixPopularity::add(uint64_t key, int64_t number) {
  uint32_t out = 0;
  for (Epoch &epoch : Epochs) {
    int64_t age = number - epoch.Number.load(std::memory_order_acquire);
    if (age < 0 || age > 1)
      continue;
    uint32_t least = UINT32_MAX;
    for (size_t row = 0; row < Rows; ++row) {
      size_t at = mix64(key + row) & (Settings.Counters - 1);
      std::atomic<uint32_t> &count = epoch.Counts[row * Settings.Counters + at];
      uint32_t seen = age == 0
                          ? count.fetch_add(1, std::memory_order_relaxed) + 1
                          : count.load(std::memory_order_relaxed);
      least = std::min(least, seen);
    }
    out += least;
  }
  return out;
}

std::optional<uint32_t>
PrefixPopularity::count(std::span<const PieceKey> pieces, uint64_t pool,
                        size_t servers, TimePoint now) {
  int64_t number = now.time_since_epoch() / Settings.Window;
  turn(number);
  uint32_t all = add(pool, number);
  auto most = static_cast<uint32_t>(pieces.size());
  for (uint32_t depth : Depths) {
    depth = std::min(depth, most);
    if (depth == 0)
      return std::nullopt;
    uint32_t seen = add(pool ^ leadingBytes(pieces[depth - 1]), number);
    double share = static_cast<double>(seen) / all;
    bool hot = seen >= Settings.LeastCount &&
               share * static_cast<double>(servers) > Settings.HotShare;
    if (!hot)
      return depth;
    if (depth == most)
      return std::nullopt;
  }
  return most;
}

} // namespace daisytack
