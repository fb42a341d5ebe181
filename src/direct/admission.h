/// Whether a request is accepted by the best backend server that it may go to,
/// or refused at once, and when its caller is told to come back.
#pragma once

#include "direct/catalog.h"
#include "direct/placement_cost.h"

#include <optional>

namespace daisytack::direct {

/// Thread-safe.
class Admission {
public:
  Admission(PlacementSettings settings, const PlacementCost &cost);

  /// Whether the server's memory is full or its queue too long, or the answer
  /// would begin after the caller has left even if all goes well.
  bool isTooBusy(const ForwardRequest &request, const Catalog &catalog,
                 const ServerLoadView &load, TimePoint now) const;
  /// When a caller that the server is too busy for should come back.
  Duration retryAfter(const ForwardRequest &request, const Catalog &catalog,
                      const ServerLoadView &load) const;

private:
  /// How long what waits at a server may take to read; nothing without a limit.
  std::optional<double> mostQueueMs(const ForwardRequest &request,
                                    const Catalog &catalog) const;
  /// Whether the server's memory holds the prompt beside those that run.
  bool hasMemory(const ForwardRequest &request, const Catalog &catalog,
                 const ServerLoadView &load) const;

  PlacementSettings Settings;
  const PlacementCost &Cost;
};

} // namespace daisytack::direct
