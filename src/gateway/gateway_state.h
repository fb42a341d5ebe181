/// State that all requests of one entry share.
#pragma once

#include "admission/organisation_shares.h"
#include "admission/request_memory.h"
#include "admission/return_schedule.h"
#include "balancing/request_limits.h"
#include "base/decision_log.h"
#include "base/metrics.h"
#include "direct/crash_suspects.h"
#include "direct/drain_plan.h"
#include "direct/placement.h"
#include "direct/protocol.h"
#include "direct/retirement.h"
#include "direct/software_versions.h"
#include "direct/stream_origins.h"
#include "gateway/gateway_options.h"
#include "net/http_client.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace daisytack::gateway {

/// Metrics of an entry that forwards directly; see docs/METRICS.md.
struct GatewayMetrics {
  explicit GatewayMetrics(Metrics &metrics);

  Counter &Requests;
  Counter &Refused;
  Counter &RefusedForWeights;
  Counter &RefusedForMemory;
  Counter &RefusedForQueue;
  Counter &RefusedForPatience;
  Counter &RefusedWithheld;
  Counter &RefusedForEntryMemory;
  Counter &RefusedForDrain;
  Counter &CutByDrain;
  Counter &Failed;
  Counter &AnswersBroken;
  Counter &CallersGone;
  Counter &Attempts;
  Counter &OutdatedAttempts;
  Counter &RetryAttempts;
  Counter &RetriesDenied;
  Counter &AttemptsRejected;
  Counter &AttemptsLost;
  Counter &AnswersDiscarded;
  Counter &AnswersMalformed;
  Counter &ServersLost;
  Counter &ServerProbes;
  Counter &Ejections;
  Counter &StreamsResumed;
  Counter &StreamsRefused;
  Counter &ServiceConfirmations;
  Counter &OutagesSeen;
  Counter &OutagesDenied;
  Counter &RemovedServersKept;
  Counter &AttemptsAfterLeaving;
  Counter &SharedTokens;
  Counter &SourcedTokens;
  Counter &SavesRequested;
  Counter &SavesNeedless;
  Counter &SavesNotGranted;
  Counter &BadDatagrams;
  Counter &BadPeerMessages;
  Counter &UnreadableRecords;
  Counter &UnsentDatagrams;
  Counter &BusyFeedCalls;
  Counter &RecordBytesSent;
  Counter &RecordBytesReceived;
  Counter &RecordPartsFailed;
  Gauge &Running;
  Gauge &Quarantined;
  Gauge &PartsKnown;
  Gauge &ServersKnown;
  Gauge &ServersCold;
  Gauge &ServicesInShortage;
  Gauge &ServersSilent;
  Gauge &ReturnsIssued;
  Gauge &ReturnsUsed;
  Gauge &ReturnsEarly;
  Gauge &ReturnsExpired;
  Gauge &LoansRequested;
  Gauge &LoansGranted;
  Gauge &LoansReceived;
  Gauge &LoanRequestsSent;
  Gauge &ServersLimited;
  Gauge &DomainsEvacuated;
  Gauge &ConfigVersion;
  Gauge &RecordsBehindMs;
  Gauge &ServiceReachable;
  Gauge &ServiceWatched;
  Gauge &ServiceEra;
  Gauge &MemoryLimit;
  std::array<Gauge *, admission::MemoryCauseCount> MemoryHeld;
  Distribution &FirstByteTime;
  Distribution &RequestTime;
};

/// The servers' clock, as reported by the context stores. Thread-safe.
class ServerClock {
public:
  void observe(int64_t clockMs, TimePoint now);
  std::optional<int64_t> at(TimePoint now) const;

private:
  static constexpr int64_t Unknown = INT64_MIN;
  /// Offset to the monotonic clock in milliseconds; Unknown until a store has
  /// reported its clock.
  std::atomic<int64_t> OffsetMs{Unknown};
};

/// The retry budgets, one for each service. Thread-safe.
class RetryBudgets {
public:
  explicit RetryBudgets(RetryShareSettings settings) : Settings(settings) {}
  /// Returns the budget of the service. The first call creates it as the share
  /// of one entry out of `entries`.
  RetryBudget &budgetFor(const std::string &service, size_t entries);

private:
  RetryShareSettings Settings;
  std::mutex Lock;
  std::map<std::string, std::unique_ptr<RetryBudget>> Budgets;
};

/// The error for callers whose request is refused because this entry is
/// draining.
Error drainingError();

class GatewayRequest;
class SaveGrantExchange;
class StreamOriginExchange;

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

/// All members are thread-safe.
struct GatewayState {
  GatewayState(boost::asio::io_context &io, const GatewayOptions &options,
               direct::Protocol protocol, Metrics &metrics, DecisionLog &log);

  boost::asio::io_context &Io;
  const GatewayOptions &Options;
  const direct::Protocol WireProtocol;
  DecisionLog &Log;
  GatewayMetrics Stats;
  balancing::ServerLoads Loads;
  direct::StoreLinks Links;
  balancing::PrefillRate PrefillRates;
  balancing::AnswerTimes AnswerTimes;
  Ejector OutlierEjector;
  direct::CrashSuspects Suspects;
  direct::StreamOrigins Origins;
  direct::SoftwareVersions Software;
  /// Set before the first request; see gateway/stream_origin_exchange.h.
  std::shared_ptr<StreamOriginExchange> OriginExchange;
  /// Set before the first request; see gateway/save_grant_exchange.h.
  std::shared_ptr<SaveGrantExchange> SaveExchange;
  direct::KeptContext StoredParts;
  balancing::SlowStart ColdServers;
  balancing::RequestLimits Limits;
  admission::OrganisationShares Shares;
  admission::ReturnSchedule Returns;
  std::shared_ptr<admission::RequestMemory> Memory;
  direct::Placement Placer;
  RetryBudgets Retries;
  ServerClock Clock;
  net::HttpClient BackendClient;
  /// Client for the key-value service, the context stores, orders to servers
  /// and peers.
  net::HttpClient ControlClient;
  direct::CatalogKeeper Catalog;
  /// When the key-value service last confirmed the catalog, in microseconds of
  /// the monotonic clock.
  std::atomic<int64_t> ConfirmedAt{INT64_MIN / 2};
  /// Null until the drain begins.
  std::atomic<std::shared_ptr<const direct::DrainPlan>> Drain;
  RunningRequests Running;
  /// Time in microseconds of the monotonic clock up to which the catalog holds
  /// everything that the key-value service held. Written on the strand of
  /// KvServiceFollower.
  std::atomic<int64_t> SyncedAt{INT64_MIN / 2};
  /// Latest SyncedAt at which the catalog listed this entry, in microseconds.
  /// Written on the same strand.
  std::atomic<int64_t> AnnouncedAsOf{INT64_MIN / 2};
  /// Revision up to which the catalog holds everything that the key-value
  /// service held; 0: none. Written on the strand of KvServiceFollower.
  std::atomic<uint64_t> SyncedRevision{0};
  /// Revision of the record of software versions; 0: none. Written on the same
  /// strand; current only while this entry watches the service itself.
  std::atomic<uint64_t> VersionsRecordRevision{0};
  /// Whether this process has read a full snapshot of the key-value service
  /// itself.
  std::atomic<bool> HasReadAll{false};

  std::shared_ptr<const direct::Catalog> catalog() const {
    return Catalog.view();
  }
  /// Whether the key-value service confirmed the catalog less than
  /// Options.ConfirmedFor ago.
  bool isConfirmed(TimePoint now) const;
  /// Whether this start of a server takes new requests: neither its record nor
  /// its answers say that it leaves.
  bool takesRequests(direct::ServerRef server, TimePoint now) const;
  /// Raises SyncedAt. Call it only after everything that the key-value service
  /// held at that time is in the catalog.
  void advanceSyncTime(TimePoint at);
  void advanceSyncedRevision(uint64_t revision);
  /// What decides whether this entry may name context stores as sources, from
  /// which servers fetch prompt context.
  direct::SourceEligibility sourceEligibility() const;
  /// The servers' current time in milliseconds, for the deadline of each fetch;
  /// nothing while this entry must not name sources or the clock is unknown.
  std::optional<int64_t> serverTimeForFetches(TimePoint now) const;
};

} // namespace daisytack::gateway
