/// An entry that forwards requests directly to backend servers: creates its
/// components on one io_context and drains them.
#pragma once

#include "direct/follow_plan.h"
#include "edge/kv.h"
#include "gateway/context_follower.h"
#include "gateway/entry_lease.h"
#include "gateway/gateway_http.h"
#include "gateway/gateway_options.h"
#include "gateway/kv_service_follower.h"
#include "gateway/load_exchange.h"
#include "gateway/memory_report.h"
#include "gateway/order_driver.h"
#include "gateway/peer_exchange.h"
#include "gateway/quarantine.h"
#include "gateway/record_fetcher.h"
#include "gateway/rollout_times.h"
#include "gateway/server_probes.h"
#include "gateway/stream_origin_exchange.h"
#include "gateway/stream_origin_log.h"
#include "gateway/version_history.h"
#include "net/timer.h"
#include "runtime/process_usage.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>

namespace daisytack::gateway {

/// Creates the calls to the key-value service at an address, made with a
/// client. A range with more bytes of keys and values can't be read.
using KvStoreFactory = std::function<edge::KvStore(
    net::HttpClient &, const Endpoint &, size_t maxRangeBytes)>;

class Gateway {
public:
  /// Returns what the process uses.
  using UsageReader = std::function<ProcessUsage()>;

  Gateway(boost::asio::io_context &io, GatewayOptions options,
          direct::Protocol protocol, const KvStoreFactory &makeStore,
          UsageReader readUsage = runtime::processUsage);
  ~Gateway();

  bool start(Error &reason);
  /// Applies the settings that may change at run time, and logs whether another
  /// changed setting needs a restart.
  void reload(const GatewayOptions &options);
  /// Starts to drain: the entry is not ready from now on. Calls `done` once all
  /// requests are answered and the load balancer has had time to notice, or at
  /// `end`; `isComplete` is false in the latter case. Requests whose answer has
  /// not begun shortly before `end` get an error. Call once, from any thread.
  void drain(TimePoint end, std::function<void(bool isComplete)> done);

private:
  void answerReadiness(net::HttpExchange &exchange) const;
  void answerMetrics(net::HttpExchange &exchange);
  void onCatalog();
  /// Announces this entry again if a restore of the key-value service from a
  /// backup lost the announcement.
  void reannounceAfterRestore(const direct::Catalog &catalog);
  /// Handles a message of the order holder, which may be this entry, about
  /// servers that load weights.
  void onWeightMessage(const direct::PeerMessage &message);
  /// Forgets loads of server starts that the catalog no longer lists, and drops
  /// idle connections to addresses of new starts.
  void forgetReplacedServers(const direct::Catalog &before,
                             const direct::Catalog &after);
  /// Avoids servers that take new weights until they have them.
  void onLoading(const std::vector<direct::ServerStart> &servers);
  PeerHooks peerHooks();
  void onRecords(const direct::RecordsResponse &response,
                 const RecordsCall &call);
  /// Requests the records that another entry offers. Returns whether this entry
  /// lacks any of them.
  bool fetchOffered(const direct::RecordsResponse &response,
                    const Endpoint &peer, TimePoint now);
  RecordFetcherHooks fetcherHooks();
  /// Watches the key-value service or polls an entry that does, as WatchPlan
  /// decides.
  void applyWatchPlan(TimePoint now);
  RetirementHooks retirementHooks();
  HolderRecordHooks holderRecordHooks();
  /// Commits the write if this process still holds the order lease and the key
  /// is still at `replacedRevision` (0: it does not exist). `done` gets an
  /// empty header if the order lease is not held.
  void commitAsHolder(edge::KvWrite write, uint64_t replacedRevision,
                      const std::function<void(const edge::KvHeader &)> &done);
  ContextFollowerSettings contextSettings() const;
  OrderDriverSettings orderSettings() const;
  /// Logs which services have come into a shortage, and which are out of it.
  void logShortages(TimePoint now);
  /// Counts what holds memory, for the log.
  DecisionLog::Fields countMemoryHolders() const;
  /// Sets what requests may hold by the memory that the process takes, and logs
  /// when requests begin or cease to be refused for it.
  void updateMemory(TimePoint now);
  void tick();
  /// Lets running requests know when versions of weights or their ages have
  /// changed.
  void reviewBeginLimits();
  void beginDrain(TimePoint now);
  void checkDrain();
  void closeListener(TimePoint now);
  void failUnanswered(TimePoint now);
  bool isBusy() const;
  /// Whether the listener is closed and no caller waits for anything.
  bool isDrained(TimePoint now) const;
  /// Records the requests that are cut off, ends the announcement, then stops
  /// the components.
  void finish(bool isComplete);
  void endAnnouncement(bool isComplete);
  void stopComponents(bool isComplete);

  GatewayOptions Options;
  Metrics Counters;
  DecisionLog Log;
  GatewayState State;
  Strand ControlStrand;
  edge::KvStore Store;
  std::shared_ptr<KvServiceFollower> Follower;
  std::shared_ptr<EntryLease> Announcement;
  direct::FollowPlan WatchPlan;
  std::shared_ptr<PeerExchange> Peers;
  std::shared_ptr<RecordFetcher> Fetcher;
  std::shared_ptr<LoadExchange> PeerLoads;
  std::shared_ptr<ServerProbes> Probes;
  std::vector<std::string> LoggedShortages;
  uint64_t MemoryRefusals = 0; ///< Up to the last tick.
  /// When a body was last refused for memory; nullopt if the end of the
  /// shortage is logged.
  std::optional<TimePoint> MemoryShortAt;
  std::shared_ptr<ContextFollower> Contexts;
  std::shared_ptr<OrderDriver> Orders;
  std::shared_ptr<QuarantineRecords> Quarantines;
  RolloutTimes Rollouts;
  std::shared_ptr<VersionHistory> Versions;
  std::shared_ptr<StreamOriginLog> Origins;
  GatewayHttp CallerServer;
  net::HttpServer ReadinessServer;
  net::HttpServer MetricsServer;
  MemoryReport Memory;
  const UsageReader ReadUsage;
  net::Timer Ticker;
  net::Timer DrainTimer;
  /// Last time that the process was known to be running.
  std::atomic<TimePoint> LastTickAt{TimePoint{}};
  bool IsListenerClosed = false;
  /// Last time during the drain that a caller waited for an answer.
  TimePoint LastBusyAt;
  bool HasFailedUnanswered = false;
  /// Revision of the configuration whose limits are in force; 0: none yet.
  uint64_t AppliedConfigRevision = 0;
  /// The catalog at its last change.
  std::shared_ptr<const direct::Catalog> LastCatalog =
      std::make_shared<const direct::Catalog>();
  /// Versions that running requests know of, see reviewBeginLimits().
  direct::DesiredVersionMap ReviewedVersions;
  /// Servers that load weights, with the version that each had before.
  std::map<direct::ServerStart, uint64_t> VersionBeforeLoad;
  std::function<void(bool isComplete)> OnDrained;
};

} // namespace daisytack::gateway
