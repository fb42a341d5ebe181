/// Which backend servers a request may be sent to now.
///
/// Never eligible are servers of an evacuated failure domain (the catalog
/// leaves them out), servers that are leaving or whose Retry-After has not
/// passed, servers outside the regions that the request is confined to, servers
/// on which the request would begin on weights past the rollout limit, servers
/// of another software version than the stream to resume, and servers for which
/// this entry has used up its share of the slow start or of the server's
/// request limit. Unresponsive and ejected servers are used only when no better
/// server is left.
#pragma once

#include "balancing/request_limits.h"
#include "balancing/slow_start.h"
#include "decide/ejection.h"
#include "direct/candidate.h"
#include "direct/catalog.h"
#include "direct/forward_flow.h"
#include "direct/locality.h"
#include "direct/placement_cost.h"

#include <string>
#include <vector>

namespace daisytack::direct {

/// Requests per second that a cold server of the service may get; 0: no limit.
double coldRateOf(const Catalog &catalog, const BackendServer &server);

/// Sources of the servers' state; all thread-safe.
struct ServerTrackers {
  const balancing::ServerLoads &Loads;
  const Ejector &Ejected;
  balancing::SlowStart &ColdServers;
  balancing::RequestLimits &Limits;
};

/// Thread-safe.
class Eligibility {
public:
  Eligibility(PlacementSettings settings, const Locality &locality,
              ServerTrackers trackers, const PlacementCost &cost);

  /// The eligible servers of the best tier that meet the criteria. When
  /// none is left, returns an empty list and sets the reason, with the delay
  /// until a server becomes available if that is known.
  Candidates servers(const ForwardRequest &request, const Catalog &catalog,
                     const ServerCriteria &criteria, TimePoint now,
                     Error &reason) const;
  /// Counts a request that is about to be sent against this entry's shares of
  /// the server's slow start and request limit. False when a share is used up.
  bool tryAcquire(const Candidate &server, const Catalog &catalog,
                  TimePoint now) const;

private:
  /// Preference for a server, best first. A tier is used only when every
  /// better tier is empty.
  enum class Tier : uint8_t { Preferred, Unhealthy };

  Candidate makeCandidate(const ForwardRequest &request, const Catalog &catalog,
                          const BackendServer &server, TimePoint now) const;
  /// When the server may be sent a request, given its own Retry-After, its
  /// request limit and its slow start. A time that is not after `now` means at
  /// once; nullopt means that the time is unknown.
  std::optional<TimePoint> availableAt(const Candidate &server,
                                       const Catalog &catalog,
                                       TimePoint now) const;
  /// Whether the request would begin on the server's weights in time.
  bool beginsInTime(const ForwardRequest &request,
                    const Candidate &server) const;
  /// When an outdated server is expected to have newer weights; after `now`.
  TimePoint newerWeightsAt(const Candidate &server, TimePoint now) const;
  Tier tierOf(const Candidate &server, TimePoint now) const;

  PlacementSettings Settings;
  const Locality &EntryLocality;
  ServerTrackers Trackers;
  const PlacementCost &Cost;
};

} // namespace daisytack::direct
