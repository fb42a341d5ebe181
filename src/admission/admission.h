/// Admission control: whether a request is accepted for its best eligible
/// backend server or refused at once, and when a refused caller should retry.
#pragma once

#include "direct/catalog.h"
#include "direct/placement_cost.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace daisytack::admission {

/// Why a server is too busy for a request.
enum class BusyReason : uint8_t {
  None,     ///< It is not.
  Memory,   ///< The prompt does not fit beside those that run.
  Queue,    ///< The queue is too long.
  Patience, ///< The answer would begin after the caller's wait is over.
  Withheld, ///< As Queue, but only with a limit factor below 1.
};

/// Stable lower-case name of the reason, such as "queue".
std::string_view busyReasonName(BusyReason reason);

/// Whether a server is too busy for a request, with the queue that was judged.
struct BusyState {
  BusyReason Reason = BusyReason::None;
  double QueueMs = 0;                   ///< Prefill time of the queue.
  std::optional<double> QueueLimitMs{}; ///< Nullopt: not limited.

  bool isBusy() const { return Reason != BusyReason::None; }
  bool operator==(const BusyState &) const = default;
};

/// Thread-safe.
class Admission {
public:
  Admission(direct::PlacementSettings settings,
            const direct::PlacementCost &cost);

  /// Whether the server's memory is full, its queue is too long, or the answer
  /// would begin after the caller's wait is over even in the best case. Never
  /// for a request without a prompt. The limit on the queue is multiplied by
  /// `limitFactor`, from 0 to 1.
  BusyState busyState(const direct::ForwardRequest &request,
                      const direct::Catalog &catalog,
                      const balancing::ServerLoadView &load, double limitFactor,
                      TimePoint now) const;
  /// Delay after which a caller should retry when the server is too busy.
  Duration retryAfter(const direct::ForwardRequest &request,
                      const direct::Catalog &catalog,
                      const balancing::ServerLoadView &load,
                      double limitFactor) const;

private:
  /// Longest prefill time, in milliseconds, that may be queued at a server;
  /// nullopt when queues are not limited.
  std::optional<double> maxQueueMs(const direct::ForwardRequest &request,
                                   const direct::Catalog &catalog,
                                   double limitFactor) const;
  /// Prefill time, in milliseconds, of the prompts that the server prefills
  /// before the request's.
  double queueMs(const direct::ForwardRequest &request,
                 const balancing::ServerLoadView &load) const;
  /// Whether the prompt fits into the server's memory next to the prompts of
  /// the requests that are running there.
  bool hasMemory(const direct::ForwardRequest &request,
                 const direct::Catalog &catalog,
                 const balancing::ServerLoadView &load) const;
  /// As busyState(), but does not tell whether the factor is the reason.
  BusyState busyStateWithin(const direct::ForwardRequest &request,
                            const direct::Catalog &catalog,
                            const balancing::ServerLoadView &load,
                            double limitFactor, TimePoint now) const;

  direct::PlacementSettings Settings;
  const direct::PlacementCost &Cost;
};

} // namespace daisytack::admission
