/// What all requests of one entry on the direct path share.
#pragma once

#include "base/decision_log.h"
#include "base/metrics.h"
#include "direct/crash_suspects.h"
#include "direct/drain_plan.h"
#include "direct/placement.h"
#include "direct/protocol.h"
#include "direct/request_limits.h"
#include "direct/retirement.h"
#include "gateway/gateway_options.h"
#include "net/http_client.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace daisytack::gateway {

/// Series of the direct path; see docs/METRICS.md.
struct GatewayMetrics {
  explicit GatewayMetrics(Metrics &metrics);

  Counter &Requests;
  Counter &Refused;
  Counter &Failed;
  Counter &AnswersBroken;
  Counter &CallersGone;
  Counter &Attempts;
  Counter &RetryAttempts;
  Counter &RetriesDenied;
  Counter &AttemptsRejected;
  Counter &Ejections;
  Counter &SharedTokens;
  Counter &SourcedTokens;
  Counter &SavesRequested;
  Counter &BadDatagrams;
  Counter &BusyFeedCalls;
  Gauge &Running;
  Gauge &Quarantined;
  Gauge &PartsKnown;
  Gauge &ServersKnown;
  Gauge &ServersCold;
  Gauge &ServersLimited;
  Gauge &DomainsEvacuated;
  Gauge &ServiceReachable;
  Gauge &ServiceWatched;
  Gauge &ServiceEra;
  Distribution &FirstByteTime;
  Distribution &RequestTime;
};

/// The servers' clock, learned from stores of kept context. Thread-safe.
class ServerClock {
public:
  void observe(int64_t clockMs, TimePoint now);
  std::optional<int64_t> at(TimePoint now) const;

private:
  static constexpr int64_t Unknown = INT64_MIN;
  std::atomic<int64_t> OffsetMs{Unknown}; ///< To monotonic milliseconds.
};

/// One retry budget for each service. Thread-safe.
class RetryBudgets {
public:
  explicit RetryBudgets(RetryShareSettings settings) : Settings(settings) {}
  /// Made when it is first asked for, as this entry's share among so many.
  RetryBudget &budgetFor(const std::string &service, size_t entries);

private:
  RetryShareSettings Settings;
  std::mutex Lock;
  std::map<std::string, std::unique_ptr<RetryBudget>> Budgets;
};

/// What a caller is told whose request this entry takes no more.
Error drainingError();

class GatewayRequest;

/// The requests without a final answer. Thread-safe.
class RunningRequests {
public:
  void add(const std::shared_ptr<GatewayRequest> &request);
  void remove(const GatewayRequest *request);
  std::vector<std::shared_ptr<GatewayRequest>> all() const;
  size_t size() const;

private:
  mutable std::mutex Lock;
  std::map<const GatewayRequest *, std::weak_ptr<GatewayRequest>> Requests;
};

/// Thread-safe in all members.
struct GatewayState {
  GatewayState(boost::asio::io_context &io, const GatewayOptions &options,
               direct::Protocol protocol, Metrics &metrics, DecisionLog &log);

  boost::asio::io_context &Io;
  const GatewayOptions &Options;
  const direct::Protocol WireProtocol;
  DecisionLog &Log;
  GatewayMetrics Stats;
  direct::ServerLoads Loads;
  direct::StoreLinks Links;
  direct::PrefillRate PrefillRates;
  Ejector OutlierEjector;
  direct::CrashSuspects Suspects;
  direct::KeptContext StoredParts;
  direct::SlowStart ColdServers;
  direct::RequestLimits Limits;
  direct::Placement Placer;
  RetryBudgets Retries;
  ServerClock Clock;
  net::HttpClient BackendClient;
  net::HttpClient
      ControlClient; ///< Key-value service, stores, orders and peers.
  direct::CatalogKeeper Catalog;
  /// When the key-value service last confirmed the catalog, as microseconds.
  std::atomic<int64_t> ConfirmedAt{INT64_MIN / 2};
  /// Null until the process was told to stop.
  std::atomic<std::shared_ptr<const direct::DrainPlan>> Drain;
  RunningRequests Running;
  /// All that the service held at this moment is known, as microseconds; and
  /// the last such moment whose knowledge had this entry announced. Written on
  /// the strand of the follower.
  std::atomic<int64_t> SyncedAt{INT64_MIN / 2};
  std::atomic<int64_t> ListedAt{INT64_MIN / 2};
  /// All that the service held up to this revision is known. Written on the
  /// strand of the follower.
  std::atomic<uint64_t> SyncedRevision{0};
  /// This process has read the whole service itself.
  std::atomic<bool> HasReadAll{false};

  std::shared_ptr<const direct::Catalog> catalog() const {
    return Catalog.view();
  }
  bool isConfirmed(TimePoint now) const;
  /// Call it after what the service held then is in the catalog.
  void advanceSyncTime(TimePoint at);
  void advanceSyncedRevision(uint64_t revision);
  direct::SourceEligibility sourceEligibility() const;
  /// The servers' clock, by which each fetch must end; nothing while this entry
  /// is to name no sources.
  std::optional<int64_t> serverTimeForFetches(TimePoint now) const;
};

} // namespace daisytack::gateway
