#include "context/sighting_table.h"

#include <algorithm>
#include <bit>
#include <cstring>
#include <tuple>

namespace daisytack {

namespace {

/// Above so many sightings, old ones count half.
constexpr double DecayAt = 65536;
/// Before anything is seen: a fifth returns after its first sighting, half
/// after two, four fifths after more, spread evenly over the gaps.
constexpr double PriorWeight = 48;
constexpr std::array<double, 3> PriorReturn = {0.2, 0.5, 0.8};

uint64_t wordAt(const PieceKey &key, size_t offset) {
  uint64_t out = 0;
  std::memcpy(&out, key.Bytes.data() + offset, sizeof(out));
  return out;
}

uint64_t tagOf(const PieceKey &key) {
  return std::max<uint64_t>(1, wordAt(key, 8));
}

uint32_t secondOf(TimePoint now) {
  auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
  return static_cast<uint32_t>(std::max<int64_t>(0, seconds.count()));
}

Duration since(uint32_t second, TimePoint now) {
  uint32_t present = secondOf(now);
  return std::chrono::seconds(present > second ? present - second : 0);
}

} // namespace

SightTable::SightTable(size_t pieces)
    : Sets(std::max<size_t>(1, (pieces + Ways - 1) / Ways)) {}

size_t SightTable::setOf(const PieceKey &key) const {
  return wordAt(key, 0) % Sets.size();
}

const SightTable::Slot *SightTable::find(const PieceKey &key) const {
  const Set &set = Sets[setOf(key)];
  uint64_t tag = tagOf(key);
  auto it = std::find_if(set.begin(), set.end(),
                         [&](const Slot &s) { return s.Tag == tag; });
  return it == set.end() ? nullptr : &*it;
}

Sight SightTable::peek(const PieceKey &key, TimePoint now) const {
  const Slot *slot = find(key);
  return slot == nullptr ? Sight{}
                         : Sight{slot->Count, since(slot->Second, now)};
}

Sight SightTable::record(const PieceKey &key, TimePoint now) {
  Sight before = peek(key, now);
  Set &set = Sets[setOf(key)];
  uint64_t tag = tagOf(key);
  auto it = std::find_if(set.begin(), set.end(),
                         [&](const Slot &s) { return s.Tag == tag; });
  if (it == set.end()) {
    // Free slots first, then those seen once, then the longest ago.
    it = std::min_element(
        set.begin(), set.end(), [](const Slot &a, const Slot &b) {
          uint32_t aClass = std::min(a.Count, 2U);
          uint32_t bClass = std::min(b.Count, 2U);
          return std::tie(aClass, a.Second) < std::tie(bClass, b.Second);
        });
    *it = Slot{tag, 0, 0};
  }
  it->Second = secondOf(now);
  it->Count = before.Count + 1;
  return before;
}

ReturnModel::ReturnModel() {
  for (size_t c = 0; c < Classes; ++c) {
    Tables[c].Started = PriorWeight;
    Tables[c].Returned.fill(PriorWeight * PriorReturn[c] / GapBuckets);
  }
}

size_t ReturnModel::classOf(uint32_t sightings) {
  return std::clamp<uint32_t>(sightings, 1, Classes) - 1;
}

size_t ReturnModel::bucketOf(Duration gap) {
  auto seconds = static_cast<uint64_t>(std::max<int64_t>(
      0, std::chrono::duration_cast<std::chrono::seconds>(gap).count()));
  return std::min<size_t>(std::bit_width(seconds), GapBuckets - 1);
}

void ReturnModel::decay(Counts &counts) {
  counts.Started /= 2;
  for (double &it : counts.Returned)
    it /= 2;
}

void ReturnModel::observe(const Sight &before) {
  if (before.Count > 0)
    Tables[classOf(before.Count)].Returned[bucketOf(before.SinceLast)] += 1;
  Counts &started = Tables[classOf(before.Count + 1)];
  started.Started += 1;
  if (started.Started > DecayAt)
    decay(started);
}

double ReturnModel::chance(uint32_t sightings, Duration sinceLast) const {
  const Counts &counts = Tables[classOf(sightings)];
  size_t from = bucketOf(sinceLast);
  double later = 0;
  double open = counts.Started;
  for (size_t i = 0; i < GapBuckets; ++i) {
    if (i < from)
      open -= counts.Returned[i];
    else
      later += counts.Returned[i];
  }
  return open <= 0 ? 0 : std::clamp(later / std::max(open, later), 0.0, 1.0);
}

} // namespace daisytack
