/// The operator's configuration of the direct path: routes from requests to
/// services, the organisations that may send requests, and their limits.
/// Defines value types, and an index for lookups during a request.
#pragma once

#include "daisytack/types.h"
#include "direct/locality.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace daisytack::direct {

/// Whether requests may run more than once. A stream may not, unless its route
/// is resumable.
enum class RouteKind : uint8_t { Idempotent, NonIdempotent, Stream };

/// One of the services that share a route's requests, by weight.
struct TrafficShare {
  std::string Service;
  uint32_t Weight = 1;
  auto operator<=>(const TrafficShare &) const = default;
};

/// A route selects the services for requests to a host and path prefix.
struct Route {
  std::string Name;
  std::string Host;
  std::string PathPrefix; ///< Begins and ends with a slash.
  RouteKind Kind = RouteKind::NonIdempotent;
  std::vector<TrafficShare> Shares;
  /// Maximum number of attempts of a request, each on another backend server.
  uint32_t Attempts = 1;
  Duration Timeout{0}; ///< Maximum time until the response ends; 0: none.
  /// Target for the time until the first byte of the response; 0: none.
  Duration TargetLatency{0};
  /// How long callers wait for the first event of a stream before they give up;
  /// 0: the request's deadline applies.
  Duration MaxFirstEventWait{0};
  /// Target for the time between events of a stream; 0: none.
  Duration TargetEventGap{0};
  uint32_t Priority = 0;    ///< 0 is the most urgent.
  bool IsPublic = false;    ///< Requests need no API key.
  bool IsResumable = false; ///< A broken stream may resume on another server.
  bool HasPrompt = false;   ///< Requests name a model and prompt parts.
  AllowedRegions Regions{}; ///< Regions of servers and stores that may be used.
  auto operator<=>(const Route &) const = default;

  /// Whether a request may run more than once.
  bool mayRepeat() const {
    return Kind == RouteKind::Idempotent ||
           (Kind == RouteKind::Stream && IsResumable);
  }
};

/// An organisation, its API keys and what its requests may use.
struct OrganisationAccess {
  std::string Organisation;
  std::vector<std::string> Keys;
  std::optional<uint32_t> Priority; ///< Overrides the route's priority.
  bool IsIsolated = false; ///< Shares no kept context with other organisations.
  AllowedRegions Regions{}; ///< Regions of servers and stores that may be used.
  auto operator<=>(const OrganisationAccess &) const = default;
};

/// Properties shared by all engines of a service.
struct EngineTraits {
  uint32_t Slots = 1; ///< Requests that run at once.
  /// Memory for running and kept prompts, in tokens.
  uint64_t ContextTokens = 0;
  uint32_t TokenBytes = 0; ///< Size of kept context, in bytes per token.
  double LinkMbps = 0;     ///< Bandwidth for transfers of kept context.
  /// Requests name the source of each prompt part separately.
  bool HasManagedContext = false;
  std::vector<std::string> Models; ///< Models that each engine must have.
  auto operator<=>(const EngineTraits &) const = default;
};

/// Properties of a context store, which keeps context for engines to fetch.
struct ContextStoreTraits {
  Endpoint Address;
  std::string FailureDomain;
  uint64_t CapacityTokens = 0;
  double LinkMbps = 0;        ///< Bandwidth for transfers of kept context.
  Duration FirstByte{0};      ///< Latency before each transfer.
  bool IsManaged = false;     ///< The store frees nothing by itself.
  uint32_t MaxWatchCalls = 1; ///< Maximum number of concurrent long polls.
  auto operator<=>(const ContextStoreTraits &) const = default;
};

/// A service: a group of equivalent backend servers, or a context store.
struct Service {
  std::string Name;
  /// Maximum number of connections to one server, from all callers; 0: none.
  uint32_t ConnectionLimit = 0;
  Duration ColdStart{0}; ///< How long a server is cold after its start.
  /// Request rate that a cold server can handle; 0: servers need no warm-up.
  double ColdRequestsPerSecond = 0;
  std::optional<EngineTraits> Engine;      ///< Set if the servers are engines.
  std::optional<ContextStoreTraits> Store; ///< Set for a context store.
  auto operator<=>(const Service &) const = default;
};

/// Limits on callers' connections and requests.
struct CallerLimits {
  size_t MaxHeaderBytes = MaxHttpHeaderBytes;
  size_t MaxBodyBytes = MaxHttpBodyBytes;
  Duration HeaderTimeout{10'000'000}; ///< Until a request's header is complete.
  Duration IdleTimeout{60'000'000};   ///< Until an idle connection is closed.
  auto operator<=>(const CallerLimits &) const = default;
};

/// One complete version of the configuration.
struct ServingConfig {
  uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<Service> Services;
  std::vector<OrganisationAccess> Organisations;
  CallerLimits Limits;
  auto operator<=>(const ServingConfig &) const = default;
};

/// Lookups in one version of the configuration. Immutable.
class ConfigIndex {
public:
  explicit ConfigIndex(ServingConfig config);

  const ServingConfig &config() const { return Config; }
  /// The host's route with the longest prefix of the path; null if there is
  /// none. The host is matched without its port and regardless of case.
  const Route *findRoute(std::string_view host, std::string_view path) const;
  /// The organisation that has the API key; null if there is none.
  const OrganisationAccess *findKey(std::string_view key) const;
  /// The service with this name; null if there is none.
  const Service *findService(std::string_view name) const;
  /// The lowest target latency among the service's routes with prompts; zero if
  /// none of them has a target.
  Duration minTargetLatency(std::string_view service) const;
  /// Group of organisations whose kept context requests of this one may use;
  /// see direct/context_group.h. Requests without an organisation have an empty
  /// name. An organisation that has left the configuration shares nothing.
  std::string contextGroup(std::string_view organisation) const;
  /// Whether requests need an API key: not if no organisations are configured.
  bool needsKeys() const { return !Config.Organisations.empty(); }

private:
  struct TextHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming)
    size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };
  /// Index into a list of Config, by name.
  using Positions =
      std::unordered_map<std::string, size_t, TextHash, std::equal_to<>>;

  ServingConfig Config;
  std::unordered_map<std::string, Positions, TextHash, std::equal_to<>>
      RoutesByHost; ///< By host, then by path prefix.
  Positions Keys;
  Positions Services;
  /// Whether each organisation is isolated, by name.
  std::unordered_map<std::string, bool, TextHash, std::equal_to<>> Isolation;
  std::string CommonGroup; ///< Of all organisations that are not isolated.
  std::unordered_map<std::string, Duration, TextHash, std::equal_to<>>
      MinTargetLatencies; ///< By service.
};

} // namespace daisytack::direct
