/// Messages by which an entry requests a part of an organisation's pooled quota
/// from the entry that owns the pool. They are sent over the TCP link between
/// peers.
#pragma once

#include <cstdint>

namespace daisytack {

/// Requests a part of an organisation's pool. Organisation and Entry are the
/// hashName of the respective name. Rates are in thousandths of a request per
/// second.
struct QuotaRequest {
  uint64_t Organisation = 0;
  uint64_t Entry = 0;
  uint64_t Sequence = 0; ///< Increases with each request of the entry for the
                         ///< organisation; the grant repeats it.
  uint32_t Requests = 0; ///< Wanted tokens, each for one immediate admission.
  uint32_t Rate = 0;     ///< Wanted total rate beyond the static share.
  uint32_t RateHeld = 0; ///< Rate of an earlier grant that is still valid.
  uint32_t Slots = 0; ///< Wanted concurrent requests beyond the static share.
  uint32_t SlotsHeld = 0; ///< Concurrent requests now running beyond the static
                          ///< share.
  bool operator==(const QuotaRequest &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Organisation, Entry, Sequence, Requests, Rate, RateHeld, Slots,
       SlotsHeld);
  }
};

/// What the entry may admit beyond its static share. The grant is valid for
/// ValidMicros from the time at which the entry sent its request. Rate and
/// Slots replace those of the previous grant; Requests are added to the entry's
/// tokens.
struct QuotaGrant {
  uint64_t Organisation = 0;
  uint64_t Sequence = 0;
  uint32_t Requests = 0;
  uint32_t Rate = 0;
  uint32_t Slots = 0;
  uint64_t ValidMicros = 0;
  bool operator==(const QuotaGrant &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Organisation, Sequence, Requests, Rate, Slots, ValidMicros);
  }
};

} // namespace daisytack
