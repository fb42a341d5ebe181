/// All that a process knows of configuration and membership, and the snapshot
/// made from it.
#pragma once

#include "control/instance_codec.h"
#include "control/replica.h"
#include "control/signal_table.h"
#include "control/snapshot_builder.h"
#include "daisytack/event.h"
#include "edge/kv.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace daisytack::control {

struct ControlStateInit {
  size_t MaxTombstones = 4096; ///< Per replica.
  Duration SignalLifetime{300'000'000};
  Duration ObservationLifetime{10'000'000};
};

/// Not thread-safe; its owner serialises access.
class ControlState {
public:
  ControlState(ControlStateInit init, EventSink events);

  /// Each returns whether anything changed.
  bool mergeConfig(const ReplicaDelta &delta);
  bool mergeMembers(const ReplicaDelta &delta);
  bool mergeSignal(const AgedSignal &signal, TimePoint now);
  void observeLeaving(const std::string &instance, TimePoint now);
  bool expire(TimePoint now);

  /// Checks an answer of the key-value service: another cluster, or one whose
  /// revision went back behind what was known when it was asked, is not the
  /// service that this state came from. The first one seen is taken.
  bool acceptService(const edge::KvHeader &header, uint64_t atLeast,
                     Error &reason);
  /// The same for a peer's state.
  bool acceptPeer(uint64_t clusterId, Error &reason);

  const Replica &config() const { return Config; }
  const Replica &members() const { return Members; }
  const SignalTable &signals() const { return Signals; }
  uint64_t clusterId() const { return Cluster; }
  /// Merged from list, signals and observations; gone ones are left out.
  const std::map<std::string, Member> &memberTable() const {
    return Builder.members();
  }
  /// Configuration keys whose value can't be acted on, and why. The last
  /// understood value is in force.
  const std::map<std::string, std::string> &rejectedConfig() const {
    return RejectedConfig;
  }

  /// The snapshot when it differs from the last one taken.
  std::shared_ptr<const Snapshot> takeSnapshot();

private:
  void applyConfig(const std::string &key);
  void applyMember(const std::string &name);

  EventSink Events;
  Replica Config;
  Replica Members;
  SignalTable Signals;
  SnapshotBuilder Builder;
  std::map<std::string, std::string> RejectedConfig;
  uint64_t Cluster = 0;
  bool Dirty = false;
  uint64_t TakenRevision = 0;
  uint64_t TakenVersion = 0;
};

/// What a read of the key-value service found above From, as a replica's
/// delta.
ReplicaDelta toDelta(uint64_t from, uint64_t through,
                     std::vector<edge::KvEntry> entries);
/// What a watch reported.
ReplicaDelta toDelta(uint64_t from, uint64_t through,
                     const std::vector<edge::KvChange> &changes);
/// What the instance list answered.
ReplicaDelta toDelta(uint64_t since, const InstanceDelta &list);

} // namespace daisytack::control
