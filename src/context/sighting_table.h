/// Records in bounded memory how often and when prompt pieces were seen, to
/// estimate whether they will be seen again. Each agent has one table.
#pragma once

#include "daisytack/types.h"

#include <array>
#include <cstdint>
#include <vector>

namespace daisytack {

/// Earlier sightings of a piece; a Count of 0 means that the table has none.
struct SightingHistory {
  uint32_t Count = 0;    ///< Number of earlier sightings.
  Duration SinceLast{0}; ///< Time since the last sighting.
  auto operator<=>(const SightingHistory &) const = default;
};

/// Set-associative table of key fingerprints. A full set evicts the least
/// recently seen piece, and pieces seen only once before all others. A
/// collision of fingerprints has a probability of 2^-64 and costs one needless
/// export.
class SightingTable {
public:
  /// Capacity of at least the given number of pieces, at 16 bytes each.
  explicit SightingTable(size_t pieces);

  /// Records a sighting and returns the earlier ones.
  SightingHistory record(const PieceKey &key, TimePoint now);

  /// Returns the sightings of a piece without recording one.
  SightingHistory peek(const PieceKey &key, TimePoint now) const;

  size_t bytes() const { return Sets.size() * sizeof(Set); }

private:
  static constexpr size_t Ways = 8;
  struct Slot {
    uint64_t Fingerprint = 0;    ///< 0 when the slot is free.
    uint32_t LastSeenSecond = 0; ///< Whole seconds on the caller's clock.
    uint32_t Count = 0;
  };
  using Set = std::array<Slot, Ways>;

  const Slot *find(const PieceKey &key) const;
  size_t setIndex(const PieceKey &key) const;

  std::vector<Set> Sets;
};

/// Estimates the probability that a piece is seen again, from the number of
/// sightings and the time since the last one. Learns from the observed gaps
/// between sightings, starting from a prior.
class ReturnModel {
public:
  ReturnModel();

  /// Learns from a new sighting of a piece with the given earlier ones.
  void observe(const SightingHistory &before);

  /// Probability, 0 to 1, that a piece with the given number of sightings is
  /// ever seen again, when the last sighting was sinceLast ago.
  double returnProbability(uint32_t sightings, Duration sinceLast) const;

private:
  /// Bucket bounds are powers of two in seconds.
  static constexpr size_t GapBuckets = 24;
  /// Pieces seen once, twice, and more often.
  static constexpr size_t SightingClasses = 3;
  /// Number of sightings in this class, decayed.
  struct Counts {
    double Sightings = 0;
    /// Number of sightings that were followed by another one, by the gap.
    std::array<double, GapBuckets> ReturnsByGap{};
  };

  static size_t classOf(uint32_t sightings);
  static size_t bucketOf(Duration gap);
  void decay(Counts &counts);

  std::array<Counts, SightingClasses> CountsByClass;
};

} // namespace daisytack
