/// Revisions of the key-value service that rise for good.
///
/// When the service comes back from an older copy of itself, it counts on from
/// the copy and gives revisions out again, in a later era. A lasting revision
/// holds the era above the service's own count, so that whatever was written in
/// a later era is above all of an earlier one, and whoever compares two of them
/// need not know of eras.
#pragma once

#include <cstdint>

namespace daisytack::direct {

/// Bits of the service's own count: at 1,000 writes a second, 34 years.
constexpr unsigned RevisionBits = 40;

/// 0, which stands for no revision, stays 0.
constexpr uint64_t monotonicRevision(uint64_t era, uint64_t revision) {
  return revision == 0 ? 0 : (era << RevisionBits) | revision;
}

constexpr uint64_t eraOf(uint64_t monotonic) {
  return monotonic >> RevisionBits;
}

/// The service's own count.
constexpr uint64_t countInEra(uint64_t monotonic) {
  return monotonic & ((uint64_t{1} << RevisionBits) - 1);
}

} // namespace daisytack::direct
