/// Where a backend server finds the kept context of a prompt, and where it
/// leaves what it reads.
#pragma once

#include "direct/candidate.h"
#include "direct/forward_flow.h"
#include "direct/kept_context.h"
#include "direct/locality.h"
#include "direct/placement_cost.h"
#include "direct/store_links.h"

#include <optional>

namespace daisytack::direct {

/// No fetch that an entry asks for lasts longer; the platform starts none that
/// would wait for two seconds. Kept context is freed only once that has passed
/// since the last entry stopped naming it.
constexpr Duration MaxFetchTime{2'000'000};

/// Thread-safe.
class ContextPlanner {
public:
  ContextPlanner(PlacementSettings settings, const Locality &where,
                 const StoreLinks &links, KeptContext &kept,
                 const PlacementCost &cost);

  /// Names sources for the parts that are better fetched than read, and
  /// destinations for those that no store has. Without the servers' clock no
  /// source is named: a fetch without an end may outlast the wait before its
  /// part is freed.
  void plan(const ForwardRequest &request, const Candidate &server,
            const BackendServer &home, std::optional<int64_t> serversClockMs,
            TimePoint now, AttemptOrder &order);

private:
  /// What a fetch may wait before reading the parts instead is better.
  double fetchBudgetMs(const ForwardRequest &request) const;
  /// Whether the request leaves the congested link alone and reads instead.
  bool shedsFetch(const ForwardRequest &request, double excessMs,
                  double budgetMs) const;

  PlacementSettings Settings;
  const Locality &Where;
  const StoreLinks &Links;
  KeptContext &Kept;
  const PlacementCost &Cost;
};

} // namespace daisytack::direct
