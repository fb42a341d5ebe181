#include "context/sighting_table.h"

#include <algorithm>
#include <bit>
#include <cstring>
#include <tuple>

namespace daisytack {

namespace {

/// Counts of a class are halved when its sightings exceed this, so that recent
/// ones weigh more.
constexpr double DecayThreshold = 65536;
/// Prior: a fifth of the pieces return after the first sighting, half after two
/// and four fifths after more, spread evenly over the gap buckets.
constexpr double PriorWeight = 48;
constexpr std::array<double, 3> PriorReturnProbability = {0.2, 0.5, 0.8};

uint64_t wordAt(const PieceKey &key, size_t offset) {
  uint64_t out = 0;
  std::memcpy(&out, key.Bytes.data() + offset, sizeof(out));
  return out;
}

uint64_t fingerprintOf(const PieceKey &key) {
  return std::max<uint64_t>(1, wordAt(key, 8));
}

uint32_t wholeSeconds(TimePoint now) {
  auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
  return static_cast<uint32_t>(std::max<int64_t>(0, seconds.count()));
}

Duration elapsedSince(uint32_t fromSecond, TimePoint now) {
  uint32_t nowSecond = wholeSeconds(now);
  return std::chrono::seconds(nowSecond > fromSecond ? nowSecond - fromSecond
                                                     : 0);
}

} // namespace

SightingTable::SightingTable(size_t pieces)
    : Sets(std::max<size_t>(1, (pieces + Ways - 1) / Ways)) {}

size_t SightingTable::setIndex(const PieceKey &key) const {
  return wordAt(key, 0) % Sets.size();
}

const SightingTable::Slot *SightingTable::find(const PieceKey &key) const {
  const Set &set = Sets[setIndex(key)];
  uint64_t fingerprint = fingerprintOf(key);
  auto it = std::find_if(set.begin(), set.end(), [&](const Slot &s) {
    return s.Fingerprint == fingerprint;
  });
  return it == set.end() ? nullptr : &*it;
}

SightingHistory SightingTable::peek(const PieceKey &key, TimePoint now) const {
  const Slot *slot = find(key);
  return slot == nullptr
             ? SightingHistory{}
             : SightingHistory{slot->Count,
                               elapsedSince(slot->LastSeenSecond, now)};
}

SightingHistory SightingTable::record(const PieceKey &key, TimePoint now) {
  SightingHistory before = peek(key, now);
  Set &set = Sets[setIndex(key)];
  uint64_t fingerprint = fingerprintOf(key);
  auto it = std::find_if(set.begin(), set.end(), [&](const Slot &s) {
    return s.Fingerprint == fingerprint;
  });
  if (it == set.end()) {
    // Prefer a free slot, then pieces seen once, then the least recently seen.
    it = std::min_element(set.begin(), set.end(),
                          [](const Slot &a, const Slot &b) {
                            uint32_t aClass = std::min(a.Count, 2U);
                            uint32_t bClass = std::min(b.Count, 2U);
                            return std::tie(aClass, a.LastSeenSecond) <
                                   std::tie(bClass, b.LastSeenSecond);
                          });
    *it = Slot{fingerprint, 0, 0};
  }
  it->LastSeenSecond = wholeSeconds(now);
  it->Count = before.Count + 1;
  return before;
}

ReturnModel::ReturnModel() {
  for (size_t c = 0; c < SightingClasses; ++c) {
    CountsByClass[c].Sightings = PriorWeight;
    CountsByClass[c].ReturnsByGap.fill(PriorWeight * PriorReturnProbability[c] /
                                       GapBuckets);
  }
}

size_t ReturnModel::classOf(uint32_t sightings) {
  return std::clamp<uint32_t>(sightings, 1, SightingClasses) - 1;
}

size_t ReturnModel::bucketOf(Duration gap) {
  auto seconds = static_cast<uint64_t>(std::max<int64_t>(
      0, std::chrono::duration_cast<std::chrono::seconds>(gap).count()));
  return std::min<size_t>(std::bit_width(seconds), GapBuckets - 1);
}

void ReturnModel::decay(Counts &counts) {
  counts.Sightings /= 2;
  for (double &it : counts.ReturnsByGap)
    it /= 2;
}

void ReturnModel::observe(const SightingHistory &before) {
  if (before.Count > 0)
    CountsByClass[classOf(before.Count)]
        .ReturnsByGap[bucketOf(before.SinceLast)] += 1;
  Counts &current = CountsByClass[classOf(before.Count + 1)];
  current.Sightings += 1;
  if (current.Sightings > DecayThreshold)
    decay(current);
}

double ReturnModel::returnProbability(uint32_t sightings,
                                      Duration sinceLast) const {
  const Counts &counts = CountsByClass[classOf(sightings)];
  size_t firstBucket = bucketOf(sinceLast);
  double laterReturns = 0;
  double notYetReturned = counts.Sightings;
  for (size_t i = 0; i < GapBuckets; ++i) {
    if (i < firstBucket)
      notYetReturned -= counts.ReturnsByGap[i];
    else
      laterReturns += counts.ReturnsByGap[i];
  }
  return notYetReturned <= 0
             ? 0
             : std::clamp(laterReturns / std::max(notYetReturned, laterReturns),
                          0.0, 1.0);
}

} // namespace daisytack
