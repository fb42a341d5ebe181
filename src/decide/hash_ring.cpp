#include "decide/hash_ring.h"

#include "base/digest.h"
#include "decide/insertion_sort.h"

#include <algorithm>
#include <bit>

namespace daisytack {

namespace {

/// 2^64 divided by the golden ratio.
constexpr uint64_t PointStep = 0x9e3779b97f4a7c15ULL;
constexpr uint32_t PositionBits = 32;
constexpr size_t PointsPerBucket = 4; ///< On average.

uint32_t positionOf(uint64_t member, uint32_t n) {
  return static_cast<uint32_t>(mix64(member + n * PointStep) >> PositionBits);
}

} // namespace

/// Sorts the points in linear time: a counting sort distributes them to buckets
/// of a few points, and each bucket is then sorted by itself.
HashRing::HashRing(std::vector<uint64_t> members)
    : Members(std::move(members)) {
  size_t count = Members.size() * PointsPerMember;
  size_t buckets = std::max<size_t>(count / PointsPerBucket, 2);
  auto bits = static_cast<uint32_t>(std::bit_width(buckets));
  Shift = PositionBits - std::min(bits, PositionBits - 1);
  Buckets.assign((size_t{1} << (PositionBits - Shift)) + 1, 0);
  for (uint64_t member : Members)
    for (uint32_t n = 0; n < PointsPerMember; ++n)
      ++Buckets[bucketOf(positionOf(member, n)) + 1];
  for (size_t i = 1; i < Buckets.size(); ++i)
    Buckets[i] += Buckets[i - 1];
  Points.resize(count);
  std::vector<uint32_t> next(Buckets.begin(), Buckets.end() - 1);
  for (uint32_t i = 0; i < Members.size(); ++i)
    for (uint32_t n = 0; n < PointsPerMember; ++n) {
      uint32_t position = positionOf(Members[i], n);
      Points[next[bucketOf(position)]++] = {position, i};
    }
  for (size_t i = 0; i + 1 < Buckets.size(); ++i)
    insertionSort(
        std::span(Points).subspan(Buckets[i], Buckets[i + 1] - Buckets[i]));
}

size_t HashRing::memory() const {
  return Members.capacity() * sizeof(uint64_t) +
         Points.capacity() * sizeof(Walk::Point) +
         Buckets.capacity() * sizeof(uint32_t);
}

HashRing::Walk HashRing::walk(uint64_t key) const {
  auto position = static_cast<uint32_t>(key >> PositionBits);
  size_t bucket = bucketOf(position);
  size_t at = Buckets[bucket];
  while (at < Points.size() && Points[at].Position < position)
    ++at;
  return {Points, at == Points.size() ? 0 : at};
}

} // namespace daisytack
