/// The properties of a request that scheduling on one server depends on.
#pragma once

#include "daisytack/types.h"

#include <cstddef>
#include <cstdint>

namespace daisytack {

/// Maximum number of concurrent runs of one server. A server that produces
/// 4,200 tokens/s with 45 ms between the tokens of a run has about 190 of them.
constexpr size_t MaxRunSlots = 16'384;

/// Highest priority of a request class. Under overload, requests of priority 0
/// are refused first.
constexpr uint8_t MaxPriority = 9;

/// One request in the queue of a server. Time points are absolute.
struct RunRequest {
  RequestId Id;
  Attempt AttemptNumber = 0; ///< Number of the attempt, from 1.
  uint64_t Organisation = 0; ///< hashName of the organisation.
  uint32_t Weight = 1;       ///< Fair-share weight of the organisation.
  uint8_t Priority = 0;      ///< From 0, the lowest, to MaxPriority.
  bool Preemptible = false;  ///< May be suspended while running and run again.
  TimePoint Deadline; ///< The whole answer must have been produced by then; the
                      ///< entry's re-run reserve is already subtracted.
  TimePoint ContextReady; ///< Expected end of the fetch of its context.
  Duration WaitLimit{0};  ///< Longest predicted wait for which the request
                          ///< should be accepted; zero for no limit.
  Duration Prefill{0};    ///< Predicted duration, at a high percentile.
  Duration Decode{0};     ///< Predicted duration, at a high percentile.

  /// Predicted time that the request occupies a slot.
  Duration service() const { return Prefill + Decode; }
  bool operator==(const RunRequest &) const = default;
};

} // namespace daisytack
