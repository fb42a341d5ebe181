/// The queue that an engine works off before a request, and how long a queue a
/// request is accepted behind.
///
/// Engines start urgent requests first, so a request of priority 0 doesn't wait
/// for the queued prompts of others. A request whose own target allows a longer
/// wait may be accepted behind a longer queue.
#pragma once

#include "balancing/server_loads.h"
#include "daisytack/types.h"

#include <cstdint>
#include <optional>

namespace daisytack::admission {

struct QueueLimitSettings {
  /// A request is accepted if the queue before it takes at most this share of
  /// its target latency to prefill; 0: no limit. The rest of the target is for
  /// the request's own prefill. Longer queues reinforce themselves: fetches are
  /// late and memory is exhausted, and both cause prompts to be prefilled
  /// again.
  double QueueShare = 0.6;
  /// Multiplies the limit for requests of priority 0.
  double UrgentFactor = 1.5;
  /// Whether the request's own target counts, rather than the lowest target of
  /// all routes of its service.
  bool IsByTarget = true;
  /// Prompt tokens that an engine may have begun to prefill, which also an
  /// urgent request waits for.
  uint64_t StartedTokens = 4096;
  bool operator==(const QueueLimitSettings &) const = default;
};

/// Target latencies that bound the queue before a request; 0: none.
struct QueueTargets {
  Duration Own{0};            ///< Of the request's route.
  Duration ServiceMinimum{0}; ///< Lowest over the routes of its service.
  bool operator==(const QueueTargets &) const = default;
};

/// Prompt tokens that the server prefills before a new prompt of this priority;
/// 0 is the most urgent.
uint64_t tokensAhead(const QueueLimitSettings &settings,
                     const balancing::ServerLoadView &load, uint32_t priority);

/// Longest prefill time, in milliseconds, of the queue behind which a request
/// of this priority is accepted; nullopt when it is not limited. Never below
/// the limit of a request of lower target.
std::optional<double> queueLimitMs(const QueueLimitSettings &settings,
                                   const QueueTargets &targets,
                                   uint32_t priority);

} // namespace daisytack::admission
