/// Placement: which backend server a request is sent to, from which stores the
/// server fetches the kept context of its prompt, and to which stores it saves
/// the context that it computes.
///
/// Requests whose prompts share their leading parts belong to one session. Each
/// session has a home server, chosen by rendezvous hashing, so that context
/// which is still in a server's memory is found there. A single cost, in
/// milliseconds until the first token, decides when another server is better.
#pragma once

#include "admission/admission.h"
#include "direct/context_planner.h"
#include "direct/eligibility.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack::direct {

/// State that placements are based on; all thread-safe.
struct PlacementInputs {
  const balancing::ServerLoads &Loads; ///< Loads of backend servers.
  const StoreLinks &Links;             ///< Links of the context stores.
  const Ejector &Ejected;
  const balancing::PrefillRate &Rates;
  KeptContext &Kept;
  balancing::SlowStart &ColdServers;
  balancing::RequestLimits &Limits;
};

/// Why no server was chosen.
struct Refusal {
  Error Reason;
  /// Of the best server, if it is too busy.
  std::optional<admission::BusyState> Busy;
  bool operator==(const Refusal &) const = default;
};

/// Thread-safe.
class Placement {
public:
  Placement(PlacementSettings settings, Locality locality,
            PlacementInputs inputs);
  // The members refer to one another.
  Placement(const Placement &) = delete;
  Placement &operator=(const Placement &) = delete;

  /// Chooses a server that meets the criteria; nullopt, with the reason, when
  /// there is none. As side effects, records the saves that it plans and counts
  /// the request against the quota of a cold or rate-limited server.
  std::optional<AttemptChoice> choose(const ForwardRequest &request,
                                      const Catalog &catalog,
                                      const ServerCriteria &criteria,
                                      std::optional<int64_t> serversClockMs,
                                      TimePoint now, Refusal &refusal);
  /// As above, for callers that need no more than the error.
  std::optional<AttemptChoice> choose(const ForwardRequest &request,
                                      const Catalog &catalog,
                                      const ServerCriteria &criteria,
                                      std::optional<int64_t> serversClockMs,
                                      TimePoint now, Error &reason);

  /// Whether choose() would find a server. Has no side effects.
  bool canChoose(const ForwardRequest &request, const Catalog &catalog,
                 const ServerCriteria &criteria, TimePoint now) const;

  /// When the answer of an attempt must have begun, as the server's weights
  /// will then have been outdated for the rollout limit; nullopt while they are
  /// current.
  std::optional<TimePoint> beginLimit(const ForwardRequest &request,
                                      const Catalog &catalog,
                                      const AttemptOrder &order) const;

private:
  struct Choice {
    Candidate Server;
    /// Home server of the request's session, which may hold the session's
    /// context in its memory; null for a request without a prompt.
    const BackendServer *Home = nullptr;
  };

  /// The best of the servers; nullopt, with the reason, when it is too busy.
  std::optional<Choice> selectServer(const ForwardRequest &request,
                                     const Catalog &catalog,
                                     const Candidates &servers,
                                     double limitFactor, TimePoint now,
                                     Refusal &refusal) const;
  /// Servers for the request's session, the home server first.
  Candidates sessionCandidates(const ForwardRequest &request,
                               const Candidates &servers) const;
  /// Servers to use when the session's servers are too busy; other ones for
  /// each request.
  Candidates spareCandidates(const ForwardRequest &request,
                             const Candidates &servers) const;
  /// The server with the lowest cost. `servers` must not be empty.
  const Candidate &cheapest(const ForwardRequest &request,
                            const Candidates &servers,
                            const BackendServer *home,
                            ReusableContext &context) const;
  AttemptOrder orderFor(const ForwardRequest &request, const Catalog &catalog,
                        const Choice &choice, const Candidates &eligible,
                        std::optional<int64_t> serversClockMs, TimePoint now);

  PlacementSettings Settings;
  Locality EntryLocality;
  const balancing::PrefillRate &Rates;
  PlacementCost Cost;
  Eligibility Eligible;
  admission::Admission AdmissionControl;
  ContextPlanner Planner;
};

} // namespace daisytack::direct
