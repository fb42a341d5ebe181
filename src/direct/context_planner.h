/// Plans from which context stores a backend server fetches the kept context of
/// a prompt, and to which stores it saves the context that it computes.
#pragma once

#include "direct/candidate.h"
#include "direct/forward_flow.h"
#include "direct/kept_context.h"
#include "direct/locality.h"
#include "direct/placement_cost.h"
#include "direct/store_links.h"

#include <optional>

namespace daisytack::direct {

/// Upper bound on the time of a fetch that an entry orders; the platform starts
/// no fetch that would have to wait for two seconds. Kept context is freed only
/// after this time has passed since the last entry stopped naming it as a
/// source.
constexpr Duration MaxFetchTime{2'000'000};

/// Thread-safe.
class ContextPlanner {
public:
  ContextPlanner(PlacementSettings settings, const Locality &locality,
                 const StoreLinks &links, KeptContext &kept,
                 const PlacementCost &cost);

  /// Sets the order's sources for the parts that are faster to fetch than to
  /// compute, and its destinations for the parts that no store holds. Without
  /// the servers' clock no source is set: such a fetch would have no deadline
  /// and might still be running when the part is freed. `home` is the home
  /// server of the request's session (direct/placement.h).
  void plan(const ForwardRequest &request, const Candidate &server,
            const BackendServer &home, std::optional<int64_t> serversClockMs,
            TimePoint now, AttemptOrder &order);

private:
  /// How long, in milliseconds, a fetch may take before computing the parts
  /// instead is better.
  double fetchBudgetMs(const ForwardRequest &request) const;
  /// Time, in milliseconds, after which the server aborts a fetch; zero or less
  /// if nothing may be fetched. Never so long that the request would begin on
  /// weights that are too old by then.
  double maxFetchMs(const ForwardRequest &request, const Candidate &server,
                    double budgetMs) const;
  /// Whether the request avoids a congested link and computes the parts
  /// instead.
  bool shedsFetch(const ForwardRequest &request, double excessMs,
                  double budgetMs) const;

  PlacementSettings Settings;
  const Locality &EntryLocality;
  const StoreLinks &Links;
  KeptContext &Kept;
  const PlacementCost &Cost;
};

} // namespace daisytack::direct
