/// Revisions of the key-value service that stay monotonic across restores.
///
/// When the service is restored from an older copy, it continues counting from
/// the copy's revision and so issues the same numbers again. Each restore
/// begins a new era. A monotonic revision has the era in its high bits and the
/// service's own count in the low bits: every revision of a later era is
/// greater than all earlier ones, so comparisons need not consider eras.
#pragma once

#include <cstdint>

namespace daisytack::direct {

/// Bits for the service's own count: enough for 34 years at 1,000 writes a
/// second.
constexpr unsigned RevisionBits = 40;

constexpr uint64_t MaxRevisionCount = (uint64_t{1} << RevisionBits) - 1;
/// The service's own count before its first write.
constexpr uint64_t EmptyRevisionCount = 1;

/// Era of a service that was never restored, if it names one.
constexpr uint64_t FirstEra = 1;

/// A service is restored less often. A greater number is damaged, and believing
/// it would make all later answers look outdated for good.
constexpr uint64_t MaxEra = UINT16_MAX;

/// Combines an era with the service's own count. Count 0 means "no revision"
/// and gives 0 in every era.
constexpr uint64_t monotonicRevision(uint64_t era, uint64_t revision) {
  return revision == 0 ? 0 : (era << RevisionBits) | revision;
}

/// The era in a monotonic revision.
constexpr uint64_t eraOf(uint64_t monotonic) {
  return monotonic >> RevisionBits;
}

/// The service's own count in a monotonic revision.
constexpr uint64_t countInEra(uint64_t monotonic) {
  return monotonic & ((uint64_t{1} << RevisionBits) - 1);
}

} // namespace daisytack::direct
