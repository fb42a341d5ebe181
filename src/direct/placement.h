/// Which backend server a request is sent to, where the server finds the kept
/// context of its prompt, and where it leaves what it reads.
///
/// Requests whose prompts begin alike meet at the same server, their home, so
/// that kept context is found there. One cost, in milliseconds until the first
/// token, decides when another server is better.
#pragma once

#include "direct/admission.h"
#include "direct/context_planner.h"
#include "direct/eligibility.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack::direct {

/// What a choice is made on; all thread-safe.
struct PlacementInputs {
  const ServerLoads &Loads; ///< Of backend servers.
  const StoreLinks &Links;  ///< To the stores.
  const Ejector &Ejected;
  const PrefillRate &Rates;
  KeptContext &Kept;
  SlowStart &ColdServers;
  RequestLimits &Limits;
};

/// Thread-safe.
class Placement {
public:
  Placement(PlacementSettings settings, Locality where, PlacementInputs view);
  // Its parts refer to one another.
  Placement(const Placement &) = delete;
  Placement &operator=(const Placement &) = delete;

  /// Servers that were tried are left out. Plans saves, and takes from the
  /// share of a cold or limited server, as side effects.
  std::optional<AttemptChoice> choose(const ForwardRequest &request,
                                      const Catalog &catalog,
                                      const std::vector<std::string> &tried,
                                      std::optional<int64_t> serversClockMs,
                                      TimePoint now, Error &reason);

  /// Whether choose would find a server; without effect.
  bool canChoose(const ForwardRequest &request, const Catalog &catalog,
                 const std::vector<std::string> &tried, TimePoint now) const;

private:
  struct Choice {
    Candidate Server;
    /// That may hold the session's context in its memory; null for a request
    /// without a prompt.
    const BackendServer *Home = nullptr;
  };

  /// The best of the servers; nothing, with the reason, when it is too busy.
  std::optional<Choice> best(const ForwardRequest &request,
                             const Catalog &catalog, const Candidates &servers,
                             TimePoint now, Error &reason) const;
  /// Servers for the request's session, its home first.
  Candidates ofSession(const ForwardRequest &request,
                       const Candidates &servers) const;
  Candidates spares(const ForwardRequest &request,
                    const Candidates &servers) const;
  /// Of one server at least.
  const Candidate &cheapest(const ForwardRequest &request,
                            const Candidates &servers,
                            const BackendServer *home) const;
  AttemptOrder orderFor(const ForwardRequest &request, const Catalog &catalog,
                        const Candidate &server, const BackendServer *home,
                        std::optional<int64_t> serversClockMs, TimePoint now);

  PlacementSettings Settings;
  Locality Where;
  const PrefillRate &Rates;
  PlacementCost Cost;
  Eligibility Eligible;
  Admission Admit;
  ContextPlanner Contexts;
};

} // namespace daisytack::direct
