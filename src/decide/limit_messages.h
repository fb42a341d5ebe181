/// Messages between an entry and the entry that allots an organisation's
/// limits. Carried by the peers' TCP link.
#pragma once

#include <cstdint>

namespace daisytack {

/// Asks for a share of an organisation's pool. Organisation and Entry are
/// hashName of their names. Rates are thousandths of a request a second.
struct AllotmentRequest {
  uint64_t Organisation = 0;
  uint64_t Entry = 0;
  uint64_t Sequence = 0; ///< Of this entry and organisation; the grant repeats
                         ///< it.
  uint32_t Requests = 0; ///< Wanted admissions at once.
  uint32_t Rate = 0;     ///< Wanted beyond the static share, in all.
  uint32_t RateHeld = 0; ///< Of an earlier grant that still holds.
  uint32_t Slots = 0; ///< Wanted concurrent requests beyond the static share.
  uint32_t SlotsHeld = 0; ///< Of these, in use.
  bool operator==(const AllotmentRequest &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Organisation, Entry, Sequence, Requests, Rate, RateHeld, Slots,
       SlotsHeld);
  }
};

/// What the entry may admit beyond its static share, until ValidMicros after it
/// asked. Rate and Slots replace what was granted before, Requests adds to it.
struct AllotmentGrant {
  uint64_t Organisation = 0;
  uint64_t Sequence = 0;
  uint32_t Requests = 0;
  uint32_t Rate = 0;
  uint32_t Slots = 0;
  uint64_t ValidMicros = 0;
  bool operator==(const AllotmentGrant &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Organisation, Sequence, Requests, Rate, Slots, ValidMicros);
  }
};

} // namespace daisytack
