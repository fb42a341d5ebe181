/// Timing of fetches from a context store and of saves to it, derived from how
/// often entries call the store.
#pragma once

#include "direct/call_pacing.h"
#include "direct/kept_context.h"

#include <cstdint>

namespace daisytack::direct {

/// What the timing depends on.
struct StoreCalls {
  size_t Entries = 0; ///< Entries that call the store, as one of them counts.
  uint32_t Slots = 0; ///< Waiting calls that the store holds from all of them.
  /// Time after which a call without an answer is given up, beyond the time for
  /// which the store may hold it.
  Duration TimeoutMargin{0};
  bool operator==(const StoreCalls &) const = default;
};

/// Fetches stay possible from one answer of the store to the next, and until
/// the next call has failed. Entries may count one another differently: the
/// delay of saves is not shorter than the fetches of any entry that counts up
/// to twice as many.
StoreTiming storeTiming(const CallPacing &pacing, const StoreCalls &calls);

} // namespace daisytack::direct
