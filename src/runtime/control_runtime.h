/// The shell around src/control: keeps one process's configuration and
/// membership up to date and publishes them as snapshots.
#pragma once

#include "base/metrics.h"
#include "base/rcu.h"
#include "control/command.h"
#include "control/gossip.h"
#include "control/rollout_check.h"
#include "control/snapshot.h"
#include "daisytack/event.h"
#include "decide/limit_messages.h"
#include "edge/instance_list.h"
#include "edge/kv.h"
#include "net/frame_link.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace daisytack::runtime {

/// Settings section [control].
struct ControlInit {
  Member Self; ///< Peer is bound for TCP and UDP; port 0 in tests.
  Incarnation Process;
  net::PeerKeys Keys;          ///< The first one signs.
  std::vector<Endpoint> Seeds; ///< Peers to start from, without the platform.
  /// Raised by operators after they restored the key-value service from an
  /// older copy: processes of another lineage don't exchange state.
  uint32_t Lineage = 0;
  double ServiceCallsPerSecond = 5; ///< Budget for calls to service and list.
  uint64_t BytesPerSecond = 64U << 10; ///< Budget for messages to peers.
  Duration ServiceTimeout{2'000'000};  ///< For one call.
  Duration ListInterval{1'000'000};    ///< Between a reader's polls.
  Duration AntiEntropyInterval{1'000'000};
};

/// Whether this process may serve, and why not.
struct Readiness {
  bool Ready = false;
  std::string Reason; ///< Empty when ready.
  bool operator==(const Readiness &) const = default;
};

/// Figures for operators and benchmarks.
struct ControlStats {
  uint64_t ConfigRevision = 0; ///< In force.
  uint64_t MemberVersion = 0;
  size_t Objects = 0;
  size_t Members = 0;
  bool Reader = false;        ///< This process watches the platform's service.
  bool ServiceReached = true; ///< The last call to it was answered.
  /// Since any reader was last answered, as far as known here: the
  /// configuration in force was complete then. Nothing when never.
  std::optional<Duration> SinceReached;
  size_t NotUnderstood = 0; ///< Objects that keep their last understood value.
  uint64_t ServiceCalls = 0;
  uint64_t BytesSent = 0;
  uint64_t BytesReceived = 0;
  control::GossipStats Gossip;
};

/// Thread-safe. Hooks are called on I/O threads.
class ControlRuntime {
public:
  ControlRuntime(boost::asio::io_context &io, ControlInit init,
                 edge::KvStore kv, edge::InstanceList list, Metrics &metrics,
                 EventSink events, RandomSource random);
  ~ControlRuntime();

  /// Binds the peer address and begins; readiness follows.
  bool start(Error &reason);
  void stop();

  /// Never empty: before readiness it holds an empty snapshot.
  const Rcu<Snapshot> &snapshots() const;
  Readiness readiness() const;
  ControlStats stats() const;

  /// Called after a snapshot was published. Set before start().
  void onPublished(std::function<void(std::shared_ptr<const Snapshot>)> hook);

  /// This process takes no new work from now on: peers learn it at once.
  void leave();
  /// What another way has shown of an instance's own word.
  void addSignal(const control::Signal &signal);
  /// A request was refused with Draining by this instance.
  void reportDraining(const std::string &instance);

  /// Runs a command against the key-value service; done is called once.
  void propose(control::Command command,
               std::function<void(control::CommandResult)> done);
  /// The peers' port, for port 0 in tests.
  uint16_t peerPort() const;
  /// The first key signs, all are accepted.
  void setKeys(net::PeerKeys keys);

  /// Asks the entry that allots an organisation's limits; onGrant receives the
  /// answer, when one comes.
  void requestQuota(const Endpoint &peer, const QuotaRequest &request);
  /// Both are called on I/O threads, one at a time. Set before start(). Without
  /// a grant the request stays unanswered.
  void onQuotaRequest(
      std::function<std::optional<QuotaGrant>(const QuotaRequest &)> hook);
  void onGrant(std::function<void(const QuotaGrant &)> hook);

  /// Asks live members which revision they have in force.
  void gatherInForce(uint64_t revision, Duration timeout,
                     std::function<void(control::RolloutReport)> done);

private:
  std::shared_ptr<class ControlProcess> Self;
};

} // namespace daisytack::runtime
