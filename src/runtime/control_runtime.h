/// Runs the logic of src/control with sockets and timers: keeps the
/// configuration and membership of one process up to date and publishes them as
/// snapshots.
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
  Member Self; ///< Address Peer is bound for TCP and UDP; port 0 in tests.
  Incarnation Process;
  net::PeerKeys Keys;          ///< The first key signs.
  std::vector<Endpoint> Seeds; ///< Peers that a starting process fetches its
                               ///< state from, instead of the platform.
  /// Operators raise it after they have restored the key-value service from an
  /// older copy. Processes with different lineages exchange no state.
  uint32_t Lineage = 0;
  double ServiceCallsPerSecond = 5; ///< Maximum rate of calls to the key-value
                                    ///< service and the instance list.
  uint64_t BytesPerSecond = 64U << 10; ///< Maximum rate of messages to peers.
  Duration ServiceTimeout{2'000'000};  ///< Timeout of one call.
  Duration ListInterval{1'000'000};    ///< Interval between a reader's polls of
                                       ///< the instance list.
  Duration AntiEntropyInterval{1'000'000};
};

/// Whether this process may serve, and why not.
struct Readiness {
  bool Ready = false;
  std::string Reason; ///< Empty when ready.
  bool operator==(const Readiness &) const = default;
};

/// Statistics for operators and benchmarks.
struct ControlStats {
  uint64_t ConfigRevision = 0; ///< Revision of the configuration in force.
  uint64_t MemberVersion = 0;
  size_t Objects = 0;
  size_t Members = 0;
  bool Reader = false;        ///< True while this process reads the platform.
  bool ServiceReached = true; ///< True if the platform answered the last call.
  /// Time since the platform last answered any reader, as far as this process
  /// knows. At that time the configuration in force was complete. Empty if no
  /// reader has been answered yet.
  std::optional<Duration> SinceReached;
  /// Number of objects whose latest value this build cannot read; they keep
  /// their last readable value.
  size_t UnreadableObjects = 0;
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

  /// Binds the peer address and starts. readiness() turns true later.
  bool start(Error &reason);
  void stop();

  /// Never a null pointer: the snapshot is empty until the process is ready.
  const Rcu<Snapshot> &snapshots() const;
  Readiness readiness() const;
  ControlStats stats() const;

  /// Sets the hook that is called after a snapshot was published. Call before
  /// start().
  void onPublished(std::function<void(std::shared_ptr<const Snapshot>)> hook);

  /// Announces to the peers that this process takes no new work from now on.
  void leave();
  /// Adds the signal of an instance that did not arrive by gossip, and spreads
  /// it to the peers.
  void addSignal(const control::Signal &signal);
  /// Reports that the instance has refused a request with Draining.
  void reportDraining(const std::string &instance);

  /// Runs a command against the key-value service. Calls done once.
  void propose(control::Command command,
               std::function<void(control::CommandResult)> done);
  /// Port that is bound for peers; tests bind port 0.
  uint16_t peerPort() const;
  /// Replaces the keys. The first key signs; all of them are accepted.
  void setKeys(net::PeerKeys keys);

  /// Sends a quota request to the entry that owns the quota of the
  /// organisation. The hook of onGrant() receives the reply, if there is one.
  void requestQuota(const Endpoint &peer, const QuotaRequest &request);
  /// Hooks for received quota requests and grants. They are called on I/O
  /// threads, one at a time; set them before start(). No reply is sent if the
  /// hook for quota requests returns no grant.
  void onQuotaRequest(
      std::function<std::optional<QuotaGrant>(const QuotaRequest &)> hook);
  void onGrant(std::function<void(const QuotaGrant &)> hook);

  /// Queries live members for the revision that they have in force.
  void checkRollout(uint64_t revision, Duration timeout,
                    std::function<void(control::RolloutReport)> done);

private:
  std::shared_ptr<class ControlProcess> Self;
};

} // namespace daisytack::runtime
