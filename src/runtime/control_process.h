/// Implementation of ControlRuntime: keeps the configuration and membership
/// state of one process on one strand.
#pragma once

#include "control/control_state.h"
#include "control/gossip.h"
#include "control/readers.h"
#include "edge/kv_budget.h"
#include "runtime/command_runner.h"
#include "runtime/control_metrics.h"
#include "runtime/control_runtime.h"
#include "runtime/peer_link.h"
#include "runtime/service_reader.h"

#include <map>
#include <mutex>

namespace daisytack::runtime {

/// Builds an event about configuration or membership.
Event makeControlEvent(EventKind kind, ErrorKind why, std::string subject);

/// Functions must be called on the strand unless their comment says otherwise.
class ControlProcess : public std::enable_shared_from_this<ControlProcess> {
public:
  ControlProcess(boost::asio::io_context &io, ControlInit init,
                 const edge::KvStore &kv, const edge::InstanceList &list,
                 Metrics &metrics, EventSink events, RandomSource random);

  /// May be called from any thread, before every other function.
  bool start(Error &reason);
  /// Runs the step on the strand. May be called from any thread.
  void post(std::function<void(ControlProcess &)> step);

  void stop();
  void announceState(MemberState state);
  void addSignal(const control::Signal &signal);
  void reportDraining(const std::string &instance);
  void propose(control::Command command, CommandDone done);
  void checkRollout(uint64_t revision, Duration timeout,
                    std::function<void(control::RolloutReport)> done);
  void requestQuota(const Endpoint &peer, const QuotaRequest &request);
  void setKeys(net::PeerKeys keys);

  /// These four may be called from any thread.
  const Rcu<Snapshot> &snapshots() const { return Current; }
  Readiness readiness() const;
  ControlStats stats() const;
  uint16_t peerPort() const { return Peers->port(); }

  /// Hooks, called on the strand. Set before start().
  std::function<void(std::shared_ptr<const Snapshot>)> Published;
  std::function<std::optional<QuotaGrant>(const QuotaRequest &)> QuotaRequested;
  std::function<void(const QuotaGrant &)> Granted;

private:
  /// A pending call of checkRollout().
  struct PendingRolloutCheck {
    control::RolloutCheck State;
    std::function<void(control::RolloutReport)> Done;
  };

  ServiceReaderHooks readerHooks();
  PeerLinkHooks peerHooks();
  control::GossipInit gossipInit() const;

  void tick();
  void updateReader(TimePoint now);
  void refreshOwnSignal(TimePoint now);
  void onServiceCall(const Error &reason);
  bool acceptHeader(const edge::KvHeader &header, uint64_t atLeast);
  void applyActions(control::GossipActions actions);
  void fetchFrom(const Endpoint &peer);
  void onMessage(const Endpoint &from, const control::PeerMessage &message);
  void onRejected(ErrorKind kind);
  void advanceRolloutChecks(TimePoint now);
  void schedulePublish();
  void publish();
  void refreshView();
  Readiness computeReadiness() const;

  ControlInit Init;
  Strand Executor;
  ControlMetrics Series;
  std::shared_ptr<edge::CallBudget> Budget;
  edge::KvStore Kv;
  edge::InstanceList List;
  EventSink Events;
  RandomSource Random;
  control::ControlState State;
  control::Gossip Gossip;
  control::ReaderElection Election;
  Rcu<Snapshot> Current;
  std::shared_ptr<ServiceReader> Reader;
  std::shared_ptr<PeerLink> Peers;
  net::Timer TickTimer;
  net::Timer PublishTimer;
  bool PublishPending = false;
  Duration LastBuild{0};
  TimePoint LastPublish;
  TimePoint Started;
  control::SignalContent OwnSignal;
  TimePoint NextRenewal;
  TimePoint NextView;
  bool Fetching = false;
  bool Stopped = false;
  bool ServiceReached = true;
  std::string LastServiceError;
  std::string LastPeerError;
  std::map<uint64_t, PendingRolloutCheck>
      RolloutChecks; ///< Keyed by sequence number.
  uint64_t NextRolloutCheck = 0;

  mutable std::mutex ViewLock; ///< Guards View and Ready.
  ControlStats View;
  Readiness Ready{false, "not started"};
};

} // namespace daisytack::runtime
