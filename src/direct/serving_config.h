/// The operator's configuration on the direct path: which request goes to which
/// service, who may send it, and what it may cost. Value types, and an index
/// for the path of a request.
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

/// What may be repeated. A stream counts as non-idempotent unless its route
/// says that it can be resumed.
enum class RouteKind : uint8_t { Idempotent, NonIdempotent, Stream };

/// One of the services that share a route's requests, by weight.
struct TrafficShare {
  std::string Service;
  uint32_t Weight = 1;
  auto operator<=>(const TrafficShare &) const = default;
};

struct Route {
  std::string Name;
  std::string Host;
  std::string PathPrefix; ///< Begins and ends with a slash.
  RouteKind Kind = RouteKind::NonIdempotent;
  std::vector<TrafficShare> Shares;
  uint32_t Attempts = 1;     ///< Backend servers that may run one request.
  Duration Timeout{0};       ///< Until the final answer; 0: none.
  Duration TargetLatency{0}; ///< Until the first byte of an answer in time.
  /// How long callers wait for the first event of a stream before they leave;
  /// 0: as long as they say.
  Duration MaxFirstEventWait{0};
  Duration TargetEventGap{0}; ///< Between the events of a stream in time.
  uint32_t Priority = 0;      ///< 0 is the most urgent.
  bool IsPublic = false;      ///< Needs no API key.
  bool IsResumable = false;   ///< A broken stream may go on elsewhere.
  bool HasPrompt = false;     ///< Requests name a model and prompt parts.
  AllowedRegions Regions{}; ///< Of servers and stores that requests may reach.
  auto operator<=>(const Route &) const = default;

  /// Whether a request may run more than once.
  bool mayRepeat() const {
    return Kind == RouteKind::Idempotent ||
           (Kind == RouteKind::Stream && IsResumable);
  }
};

/// An organisation and the keys that its requests carry.
struct OrganisationAccess {
  std::string Organisation;
  std::vector<std::string> Keys;
  std::optional<uint32_t> Priority; ///< Replaces that of the route.
  bool IsIsolated = false;          ///< Shares no kept context with others.
  AllowedRegions Regions{}; ///< Of servers and stores that requests may reach.
  auto operator<=>(const OrganisationAccess &) const = default;
};

/// What all engines of a service have in common.
struct EngineTraits {
  uint32_t Slots = 1;             ///< Requests that run at once.
  uint64_t ContextTokens = 0;     ///< Memory for running and kept prompts.
  uint32_t TokenBytes = 0;        ///< Of kept context, per token.
  double LinkMbps = 0;            ///< For transfers of kept context.
  bool HasManagedContext = false; ///< Sources are named part by part.
  std::vector<std::string> Models;
  auto operator<=>(const EngineTraits &) const = default;
};

/// A store of kept context.
struct ContextStoreTraits {
  Endpoint Address;
  std::string FailureDomain;
  uint64_t CapacityTokens = 0;
  double LinkMbps = 0;
  Duration FirstByte{0};      ///< Before each transfer.
  bool IsManaged = false;     ///< Frees nothing by itself.
  uint32_t MaxWatchCalls = 1; ///< Event calls that it keeps waiting at once.
  auto operator<=>(const ContextStoreTraits &) const = default;
};

struct Service {
  std::string Name;
  uint32_t ConnectionLimit = 0; ///< Of one server, over all callers; 0: none.
  Duration ColdStart{0};        ///< How long its servers are cold.
  /// That a cold server bears; 0: servers are as good as warm at once.
  double ColdRequestsPerSecond = 0;
  std::optional<EngineTraits> Engine;
  std::optional<ContextStoreTraits> Store;
  auto operator<=>(const Service &) const = default;
};

/// Bounds on what callers send.
struct CallerLimits {
  size_t MaxHeaderBytes = MaxHttpHeaderBytes;
  size_t MaxBodyBytes = MaxHttpBodyBytes;
  Duration HeaderTimeout{10'000'000};
  Duration IdleTimeout{60'000'000};
  auto operator<=>(const CallerLimits &) const = default;
};

/// One version of the configuration, whole.
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
  /// The route of the host whose prefix is the longest that begins the path;
  /// null when there is none. A port in the host is ignored, and its case.
  const Route *findRoute(std::string_view host, std::string_view path) const;
  /// Null when no organisation holds the key.
  const OrganisationAccess *findKey(std::string_view key) const;
  const Service *findService(std::string_view name) const;
  /// The least target latency of the routes with prompts that lead to the
  /// service; zero when none has one.
  Duration minTargetLatency(std::string_view service) const;
  /// Without organisations no request needs a key.
  bool needsKeys() const { return !Config.Organisations.empty(); }

private:
  struct TextHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming)
    size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };
  using Positions =
      std::unordered_map<std::string, size_t, TextHash, std::equal_to<>>;

  ServingConfig Config;
  std::unordered_map<std::string, Positions, TextHash, std::equal_to<>>
      RoutesByHost; ///< Host, then prefix.
  Positions Keys;
  Positions Services;
  std::unordered_map<std::string, Duration, TextHash, std::equal_to<>>
      MinTargetLatencies; ///< By service.
};

} // namespace daisytack::direct
