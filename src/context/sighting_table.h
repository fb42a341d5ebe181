/// Pieces seen lately and how often, in bounded memory: the evidence that a
/// prompt returns. One table an agent.
#pragma once

#include "daisytack/types.h"

#include <array>
#include <cstdint>
#include <vector>

namespace daisytack {

/// What the table knew of a piece before the present sighting.
struct SightingHistory {
  uint32_t Count = 0; ///< Earlier sightings.
  Duration SinceLast{0};
  auto operator<=>(const SightingHistory &) const = default;
};

/// Set-associative table of key fingerprints. A full set forgets the sighting
/// that is least worth keeping: the one seen longest ago, once-seen first.
/// A false match (two pieces with one fingerprint) has a chance of 2^-64 and
/// costs one needless export.
class SightingTable {
public:
  /// Room for at least so many pieces, at 16 bytes each.
  explicit SightingTable(size_t pieces);

  /// Records a sighting and tells what was known before it.
  SightingHistory record(const PieceKey &key, TimePoint now);

  SightingHistory peek(const PieceKey &key, TimePoint now) const;

  size_t bytes() const { return Sets.size() * sizeof(Set); }

private:
  static constexpr size_t Ways = 8;
  struct Slot {
    uint64_t Fingerprint = 0; ///< 0: free.
    uint32_t LastSeenSecond = 0;
    uint32_t Count = 0;
  };
  using Set = std::array<Slot, Ways>;

  const Slot *find(const PieceKey &key) const;
  size_t setIndex(const PieceKey &key) const;

  std::vector<Set> Sets;
};

/// Learns how likely a piece is to return, from the gaps between sightings, by
/// how often it was seen before and how long ago. Starts from a prior.
class ReturnModel {
public:
  ReturnModel();

  /// A piece was seen, with what was known of it before.
  void observe(const SightingHistory &before);

  /// Chance that a piece with so many sightings, last seen so long ago,
  /// returns at all, 0..1.
  double returnProbability(uint32_t sightings, Duration sinceLast) const;

private:
  static constexpr size_t GapBuckets = 24; ///< Powers of two of a second.
  static constexpr size_t SightingClasses =
      3; ///< Seen once, twice, more often.
  struct Counts {
    double Sightings = 0; ///< Sightings after which a return could follow.
    std::array<double, GapBuckets> ReturnsByGap{};
  };

  static size_t classOf(uint32_t sightings);
  static size_t bucketOf(Duration gap);
  void decay(Counts &counts);

  std::array<Counts, SightingClasses> CountsByClass;
};

} // namespace daisytack
