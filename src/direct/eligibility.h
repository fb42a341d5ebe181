/// Which backend servers a request may be sent to now.
///
/// Never sent to: servers of an evacuated failure domain (the catalog leaves
/// them out), those that want nothing new by their own word, those outside of
/// the regions that the request is confined to, and cold ones and those that
/// named a limit beyond this entry's share of what they take. Silent, ejected
/// and outdated servers are used only where no better one is left.
#pragma once

#include "decide/ejection.h"
#include "direct/candidate.h"
#include "direct/catalog.h"
#include "direct/forward_flow.h"
#include "direct/locality.h"
#include "direct/placement_cost.h"
#include "direct/request_limits.h"
#include "direct/slow_start.h"

#include <string>
#include <vector>

namespace daisytack::direct {

/// What is believed of servers; all thread-safe.
struct ServerBeliefs {
  const ServerLoads &Loads;
  const Ejector &Ejected;
  SlowStart &ColdServers;
  RequestLimits &Limits;
};

/// Thread-safe.
class Eligibility {
public:
  Eligibility(PlacementSettings settings, const Locality &where,
              ServerBeliefs beliefs, const PlacementCost &cost);

  /// Servers that were tried are left out. Empty, with the reason and when one
  /// may be asked, when none is left.
  Candidates servers(const ForwardRequest &request, const Catalog &catalog,
                     const std::vector<std::string> &tried, TimePoint now,
                     Error &reason) const;
  /// Counts a request that is about to be sent against this entry's share of
  /// what the server takes; false when that is used up.
  bool tryAcquire(const Candidate &server, const Catalog &catalog,
                  TimePoint now) const;

private:
  /// How picky a choice is; each level is tried before the next.
  enum class Care : uint8_t { Full, AnyVersion, Any };

  Candidate look(const ForwardRequest &request, const Catalog &catalog,
                 const BackendServer &server, TimePoint now) const;
  /// When the server may be asked by its own word, its limit and its slow
  /// start: now or earlier for at once, nothing when that is not known.
  std::optional<TimePoint> availableAt(const Candidate &server,
                                       const Catalog &catalog,
                                       TimePoint now) const;
  /// The pickiest level at which the server is used.
  Care careFor(const ForwardRequest &request, const Candidate &server,
               TimePoint now) const;

  PlacementSettings Settings;
  const Locality &Where;
  ServerBeliefs Beliefs;
  const PlacementCost &Cost;
};

} // namespace daisytack::direct
