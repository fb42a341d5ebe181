/// A process's copy of configuration and membership, and the snapshot built
/// from it.
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
  size_t MaxTombstones = 4096; ///< Tombstones kept per replica.
  Duration SignalLifetime{300'000'000};
  Duration ObservationLifetime{10'000'000};
};

/// Merges configuration, the instance list, signals and observations. Not
/// thread-safe; its owner serialises access.
class ControlState {
public:
  ControlState(ControlStateInit init, EventSink events);

  /// Merging and expire() return whether anything changed.
  bool mergeConfig(const ReplicaDelta &delta);
  bool mergeMembers(const ReplicaDelta &delta);
  bool mergeSignal(const AgedSignal &signal, TimePoint now);
  void observeLeaving(const std::string &instance, TimePoint now);
  bool expire(TimePoint now);

  /// Checks that an answer is from the key-value service that this state was
  /// read from: the cluster id must match, and the revision must be at least
  /// the one known when the call was made. The first cluster id is adopted.
  bool acceptService(const edge::KvHeader &header, uint64_t atLeast,
                     Error &reason);
  /// Checks the cluster id of a peer's state in the same way; 0 is accepted.
  bool acceptPeer(uint64_t clusterId, Error &reason);

  const Replica &config() const { return Config; }
  const Replica &members() const { return Members; }
  const SignalTable &signals() const { return Signals; }
  uint64_t clusterId() const { return Cluster; }
  /// Members merged from the instance list, signals and observations, without
  /// those in the state Gone.
  const std::map<std::string, Member> &memberTable() const {
    return Builder.members();
  }
  /// Configuration keys whose value could not be decoded, with the reason. The
  /// last valid value stays in force.
  const std::map<std::string, std::string> &rejectedConfig() const {
    return RejectedConfig;
  }

  /// A new snapshot, or null when nothing changed since the last call.
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

/// Converts the result of a key-value read above revision from to a delta.
ReplicaDelta toDelta(uint64_t from, uint64_t through,
                     std::vector<edge::KvEntry> entries);
/// Converts the changes reported by a watch to a delta.
ReplicaDelta toDelta(uint64_t from, uint64_t through,
                     const std::vector<edge::KvChange> &changes);
/// Converts an answer of the instance list to a delta.
ReplicaDelta toDelta(uint64_t since, const InstanceDelta &list);

} // namespace daisytack::control
