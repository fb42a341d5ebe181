/// One request as the queue of one server sees it.
#pragma once

#include "daisytack/types.h"

#include <cstddef>
#include <cstdint>

namespace daisytack {

/// Runs at once that a queue can plan for: 42 M tokens/s over 10,000 servers
/// with 45 ms between tokens are 190 of them on each.
constexpr size_t MaxRunSlots = 16'384;

/// Priorities of request classes: 0 is shed first, 9 last.
constexpr uint8_t MaxPriority = 9;

/// One request as the queue sees it. Times are absolute: Deadline already has
/// the reserve for a re-run taken off.
struct RunRequest {
  RequestId Id;
  Attempt Try = 0;
  uint64_t Organisation = 0; ///< hashName of the organisation.
  uint32_t Weight = 1;       ///< Organisation's fair share.
  uint8_t Priority = 0;
  bool Preemptible = false; ///< May be suspended and resumed while running.
  TimePoint Deadline;       ///< The whole answer must be there by then.
  TimePoint Ready;          ///< Its fetched context is there from then on.
  Duration Patience{0}; ///< Longest wait for which it should be accepted; zero
                        ///< for any.
  Duration Prefill{0};  ///< Predicted, at a high percentile.
  Duration Decode{0};   ///< Predicted, at a high percentile.

  Duration service() const { return Prefill + Decode; }
  bool operator==(const RunRequest &) const = default;
};

} // namespace daisytack
