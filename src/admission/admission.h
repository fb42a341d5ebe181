/// Admission control: whether a request is accepted for its best eligible
/// backend server or refused at once, and when a refused caller should retry.
#pragma once

#include "direct/catalog.h"
#include "direct/placement_cost.h"

#include <optional>

namespace daisytack::admission {

/// Thread-safe.
class Admission {
public:
  Admission(direct::PlacementSettings settings,
            const direct::PlacementCost &cost);

  /// Whether the server's memory is full, its queue is too long, or the answer
  /// would begin after the caller's wait is over even in the best case. Always
  /// false for a request without a prompt.
  bool isTooBusy(const direct::ForwardRequest &request,
                 const direct::Catalog &catalog,
                 const balancing::ServerLoadView &load, TimePoint now) const;
  /// Delay after which a caller should retry when the server is too busy.
  Duration retryAfter(const direct::ForwardRequest &request,
                      const direct::Catalog &catalog,
                      const balancing::ServerLoadView &load) const;

private:
  /// Longest prefill time, in milliseconds, that may be queued at a server;
  /// nullopt when queues are not limited.
  std::optional<double> maxQueueMs(const direct::ForwardRequest &request,
                                   const direct::Catalog &catalog) const;
  /// Prefill time, in milliseconds, of the prompts that the server prefills
  /// before the request's.
  double queueMs(const direct::ForwardRequest &request,
                 const balancing::ServerLoadView &load) const;
  /// Whether the prompt fits into the server's memory next to the prompts of
  /// the requests that are running there.
  bool hasMemory(const direct::ForwardRequest &request,
                 const direct::Catalog &catalog,
                 const balancing::ServerLoadView &load) const;

  direct::PlacementSettings Settings;
  const direct::PlacementCost &Cost;
};

} // namespace daisytack::admission
