/// Settings of an entry that forwards requests from callers directly to backend
/// servers.
#pragma once

#include "admission/organisation_shares.h"
#include "admission/request_memory.h"
#include "admission/return_schedule.h"
#include "balancing/answer_times.h"
#include "balancing/prefill_rate.h"
#include "balancing/request_limits.h"
#include "balancing/server_loads.h"
#include "base/decision_log.h"
#include "base/settings.h"
#include "decide/ejection.h"
#include "decide/retry_budget.h"
#include "direct/catalog.h"
#include "direct/crash_suspects.h"
#include "direct/drain_plan.h"
#include "direct/follow_plan.h"
#include "direct/forward_flow.h"
#include "direct/kept_context.h"
#include "direct/placement.h"
#include "direct/retirement.h"
#include "direct/software_versions.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace daisytack::gateway {

/// The retry budget of the deployment, shared by all entries.
struct RetryShareSettings {
  double Share = 0.2; ///< Retries per request.
  /// Additional retries, for all entries together.
  uint32_t Slack = 20;
  /// Fraction of both limits that is used, as entries come and go and each
  /// counts by itself.
  double SafetyFactor = 0.8;
  bool operator==(const RetryShareSettings &) const = default;
};

/// How entries send one another the load that each puts on servers.
struct LoadExchangeSettings {
  /// Time between load messages to each peer in a small deployment. With older
  /// loads, entries choose the same servers at the same time.
  Duration Interval{100'000};
  /// Limit on the peers that get a message in one interval. In a larger
  /// deployment each peer gets them less often, so that the rate at which an
  /// entry sends stays at 360 datagrams a second.
  size_t MaxPeersPerInterval = 36;
  bool operator==(const LoadExchangeSettings &) const = default;
};

struct GatewayOptions {
  std::string Name; ///< Name of this process, unique in the deployment.
  std::string FailureDomain; ///< Failure domain in which this process runs.
  /// Bandwidth of this instance's link; 0: not known.
  uint32_t LinkMbps = 0;
  /// Memory of this instance in bytes; the platform ends a process that takes
  /// more.
  size_t MemoryBytes = 512'000'000;
  /// Region of each failure domain.
  std::map<std::string, std::string, std::less<>> Regions;
  /// Address for requests from callers.
  Endpoint Callers;
  /// Address and path for readiness checks by the load balancer.
  Endpoint Readiness;
  std::string ReadinessPath;
  /// Address for metrics in the Prometheus text format.
  Endpoint Metrics;
  /// Address at which other entries reach this one.
  Endpoint Peers;
  Endpoint Store; ///< Address of the key-value service.
  /// Peers to request records from while no other entry is known.
  std::vector<Endpoint> Seeds;
  size_t MaxConnections = 2000;
  direct::DrainSettings Drain;
  /// After this time without confirmation, the configuration may be out of
  /// date: unknown routes and keys are then refused temporarily instead of
  /// permanently.
  Duration ConfirmedFor{2'500'000};
  /// Age of this entry's state of the key-value service up to which it names
  /// context stores as sources. All entries must use the same value, so it is
  /// not a setting; tests shorten it.
  Duration MaxSourceStaleness = direct::MaxSourceStaleness;
  /// Longest time after its beginning at which a caller resumes a stream, over
  /// all its tries. How old a stream is can't be seen. All entries must use the
  /// same value, so it is not a setting; tests shorten it.
  Duration StreamMaxAge = direct::StreamMaxAge;
  /// Time between two writes of the software versions that entries have seen.
  /// The service must keep the history of its changes for longer. Tests shorten
  /// it.
  Duration VersionsWriteInterval{5'000'000};
  /// Term of the order lease, and of the lease under which an entry announces
  /// itself.
  Duration LeaseTerm{3'000'000};
  /// How long a holder that was paused waits before it acts again.
  Duration WakeDelay{300'000};
  /// Whether servers refuse an order with an outdated fencing token. If not, a
  /// new holder waits until all orders of its predecessor are at least one
  /// lease term old.
  bool ServersCheckFence = false;
  /// Limit on engines that load new weights at the same time; more of them load
  /// more slowly.
  uint32_t ConcurrentLoads = 2;
  /// In a large fleet, the limit is at least this share of the engines.
  double ConcurrentLoadShare = 1.0 / 6;
  LoadExchangeSettings LoadExchange;
  direct::FollowSettings Follow;
  RetryShareSettings Retries;
  EjectionSettings Ejection;
  direct::CrashSuspectSettings Suspects;
  admission::OrganisationShareSettings Shares;
  admission::ReturnSettings Returns;
  /// InstanceBytes is ignored; MemoryBytes applies.
  admission::RequestMemorySettings Memory;
  balancing::SilenceSettings Silence;
  direct::ForwardSettings Forward;
  direct::PlacementSettings Placement;
  balancing::SlowStartSettings SlowStart;
  balancing::RequestLimitSettings Limits;
  balancing::ServerLoadSettings Loads;
  direct::StoreLinkSettings Links;
  balancing::PrefillRateSettings PrefillRate;
  balancing::AnswerTimeSettings AnswerTimes;
  direct::KeptContextSettings StoredParts;
  direct::CatalogSettings Catalog;
  DecisionLogSettings Log;

  /// Connections from callers: MaxConnections, or fewer on an instance with
  /// little memory.
  size_t connectionLimit() const;
  /// Size of the receive buffer of each connection of a caller or to a server;
  /// 0: the system decides.
  size_t receiveBufferBytes() const;
};

/// Whether the settings are those of an entry that forwards directly.
bool isGatewaySettings(const Settings &settings);
/// Reads the options; errors are collected in the settings.
GatewayOptions readGatewayOptions(Settings &settings);

} // namespace daisytack::gateway
