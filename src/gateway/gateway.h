/// An entry on the direct path: builds its parts over one io_context and drains
/// them.
#pragma once

#include "direct/follow_plan.h"
#include "edge/kv.h"
#include "gateway/context_follower.h"
#include "gateway/entry_lease.h"
#include "gateway/gateway_http.h"
#include "gateway/gateway_options.h"
#include "gateway/load_exchange.h"
#include "gateway/order_driver.h"
#include "gateway/peer_exchange.h"
#include "gateway/quarantine.h"
#include "gateway/store_follower.h"
#include "net/timer.h"

#include <atomic>
#include <functional>
#include <memory>

namespace daisytack::gateway {

/// Makes the hooks of the key-value service over a client and its address.
using MakeStore =
    std::function<edge::KvStore(net::HttpClient &, const Endpoint &)>;

class Gateway {
public:
  Gateway(boost::asio::io_context &io, GatewayOptions options,
          direct::Protocol protocol, const MakeStore &makeStore);
  ~Gateway();

  bool start(Error &reason);
  /// Takes over what may change while the process runs, and logs what needs a
  /// restart.
  void reload(const GatewayOptions &options);
  /// Not ready from now on; calls done once all requests were answered and the
  /// balancer has noticed, or the end has come. What has no answer shortly
  /// before gets a final one. Once, from any thread.
  void drain(TimePoint end, std::function<void(bool isWhole)> done);

private:
  void answerReadiness(net::HttpExchange &exchange) const;
  void answerMetrics(net::HttpExchange &exchange);
  void onCatalog();
  /// After a restore of the service from an older copy.
  void seekOwnAnnouncement(const direct::Catalog &catalog);
  /// Another entry, or this one, gives orders for new weights.
  void onWeights(const direct::PeerMessage &message);
  /// Servers that take new weights are left alone until they have them.
  void forgetEarlierStarts(const direct::Catalog &before,
                           const direct::Catalog &after);
  void onLoading(const std::vector<direct::ServerStart> &servers);
  PeerHooks peerHooks();
  void onRecords(const direct::RecordsResponse &found, uint64_t knownTo,
                 TimePoint askedAt);
  /// Watches the service, or asks an entry that does.
  void follow(TimePoint now);
  RetirementHooks retirementHooks();
  /// Writes provided that this process is still the holder, and that the key
  /// has the revision.
  void commitAsHolder(edge::KvWrite write, uint64_t over,
                      const std::function<void(const edge::KvHeader &)> &done);
  ContextFollowerSettings contextSettings() const;
  OrderDriverSettings orderSettings() const;
  void tick();
  void beginDrain(TimePoint now);
  void watchDrain();
  void closeListener(TimePoint now);
  void sayLastWord(TimePoint now);
  bool isBusy() const;
  /// Whether nothing is left that a caller waits for.
  bool isDrained(TimePoint now) const;
  /// Ends the announcement, then the parts.
  void finish(bool isWhole);
  void endParts(bool isWhole);

  GatewayOptions Options;
  Metrics Counters;
  DecisionLog Log;
  GatewayState State;
  Strand Control;
  edge::KvStore Store;
  std::shared_ptr<StoreFollower> Follower;
  std::shared_ptr<EntryLease> Announced;
  direct::FollowPlan Following;
  std::shared_ptr<PeerExchange> Peers;
  std::shared_ptr<LoadExchange> PeerLoads;
  std::shared_ptr<ContextFollower> Contexts;
  std::shared_ptr<OrderDriver> Orders;
  std::shared_ptr<QuarantineRecords> Quarantines;
  GatewayHttp Callers;
  net::HttpServer ReadinessServer;
  net::HttpServer MetricsServer;
  net::Timer Ticker;
  net::Timer DrainTimer;
  /// Last time that the process was known to run.
  std::atomic<TimePoint> TickedAt{TimePoint{}};
  bool IsListenerClosed = false;
  TimePoint BusyAt; ///< While it drains: last time that a caller waited.
  bool IsLastWordSaid = false;
  uint64_t AppliedConfig = 0; ///< Revision whose limits are in force.
  /// At the last change.
  std::shared_ptr<const direct::Catalog> Seen =
      std::make_shared<const direct::Catalog>();
  /// Servers that load, and the version that they had.
  std::map<direct::ServerStart, uint64_t> LoadingFrom;
  std::function<void(bool isWhole)> Drained;
};

} // namespace daisytack::gateway
