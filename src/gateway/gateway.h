/// An entry on the direct path: builds its parts over one io_context and drains
/// them.
#pragma once

#include "direct/follow_plan.h"
#include "edge/kv.h"
#include "gateway/context_follower.h"
#include "gateway/entry_lease.h"
#include "gateway/gateway_http.h"
#include "gateway/gateway_options.h"
#include "gateway/kv_service_follower.h"
#include "gateway/load_exchange.h"
#include "gateway/order_driver.h"
#include "gateway/peer_exchange.h"
#include "gateway/quarantine.h"
#include "net/timer.h"

#include <atomic>
#include <functional>
#include <memory>

namespace daisytack::gateway {

/// Makes the hooks of the key-value service over a client and its address.
using KvStoreFactory =
    std::function<edge::KvStore(net::HttpClient &, const Endpoint &)>;

class Gateway {
public:
  Gateway(boost::asio::io_context &io, GatewayOptions options,
          direct::Protocol protocol, const KvStoreFactory &makeStore);
  ~Gateway();

  bool start(Error &reason);
  /// Takes over what may change while the process runs, and logs what needs a
  /// restart.
  void reload(const GatewayOptions &options);
  /// Not ready from now on; calls done once all requests were answered and the
  /// balancer has noticed, or the end has come. What has no answer shortly
  /// before gets a final one. Once, from any thread.
  void drain(TimePoint end, std::function<void(bool isComplete)> done);

private:
  void answerReadiness(net::HttpExchange &exchange) const;
  void answerMetrics(net::HttpExchange &exchange);
  void onCatalog();
  /// After a restore of the service from an older copy.
  void reannounceAfterRestore(const direct::Catalog &catalog);
  /// Another entry, or this one, gives orders for new weights.
  void onWeightMessage(const direct::PeerMessage &message);
  /// Servers that take new weights are left alone until they have them.
  void forgetReplacedServers(const direct::Catalog &before,
                             const direct::Catalog &after);
  void onLoading(const std::vector<direct::ServerStart> &servers);
  PeerHooks peerHooks();
  void onRecords(const direct::RecordsResponse &found, uint64_t syncedRevision,
                 TimePoint askedAt);
  /// Watches the service, or asks an entry that does.
  void applyWatchPlan(TimePoint now);
  RetirementHooks retirementHooks();
  /// Writes provided that this process is still the holder, and that the key
  /// has the revision.
  void commitAsHolder(edge::KvWrite write, uint64_t replacedRevision,
                      const std::function<void(const edge::KvHeader &)> &done);
  ContextFollowerSettings contextSettings() const;
  OrderDriverSettings orderSettings() const;
  void tick();
  void beginDrain(TimePoint now);
  void checkDrain();
  void closeListener(TimePoint now);
  void failUnanswered(TimePoint now);
  bool isBusy() const;
  /// Whether nothing is left that a caller waits for.
  bool isDrained(TimePoint now) const;
  /// Ends the announcement, then the parts.
  void finish(bool isComplete);
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
  std::shared_ptr<LoadExchange> PeerLoads;
  std::shared_ptr<ContextFollower> Contexts;
  std::shared_ptr<OrderDriver> Orders;
  std::shared_ptr<QuarantineRecords> Quarantines;
  GatewayHttp CallerServer;
  net::HttpServer ReadinessServer;
  net::HttpServer MetricsServer;
  net::Timer Ticker;
  net::Timer DrainTimer;
  /// Last time that the process was known to run.
  std::atomic<TimePoint> LastTickAt{TimePoint{}};
  bool IsListenerClosed = false;
  TimePoint LastBusyAt; ///< While it drains: last time that a caller waited.
  bool HasFailedUnanswered = false;
  uint64_t AppliedConfigRevision = 0; ///< Revision whose limits are in force.
  /// At the last change.
  std::shared_ptr<const direct::Catalog> LastCatalog =
      std::make_shared<const direct::Catalog>();
  /// Servers that load, and the version that they had.
  std::map<direct::ServerStart, uint64_t> VersionBeforeLoad;
  std::function<void(bool isComplete)> OnDrained;
};

} // namespace daisytack::gateway
