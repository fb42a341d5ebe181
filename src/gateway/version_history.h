/// Keeps the software versions that entries have seen in the key-value service,
/// so that entries that start when no other one is left know which versions can
/// have begun the streams that callers resume.
///
/// The record says up to which revision of the service it is complete. A
/// process that starts reads all changes since then, so that it knows of every
/// server that came and left meanwhile. If the service no longer has them all,
/// the record is not used.
///
/// As long as there is no record, a process reads all changes that the service
/// has ever had. If it still has them, as at the first start of a deployment,
/// no stream can have begun that the process doesn't know the versions for, and
/// the record is written at once.
#pragma once

#include "gateway/holder_record.h"
#include "gateway/kv_service_follower.h"

#include <memory>

namespace daisytack::gateway {

struct VersionHistorySettings {
  /// Largest number of revisions since the record that a process reads.
  uint64_t MaxChanges = 4000;
  bool operator==(const VersionHistorySettings &) const = default;
};

/// All members are called on one strand, which the hooks use too.
class VersionHistory : public std::enable_shared_from_this<VersionHistory> {
public:
  VersionHistory(GatewayState &state, Strand strand, edge::KvStore store,
                 std::shared_ptr<HolderRecord> record,
                 VersionHistorySettings settings);

  /// Takes over the record in the snapshot, if there is one, once the changes
  /// since then are read. Call after the catalog holds the snapshot.
  void onSnapshot(const edge::KvRangeResult &snapshot);
  /// Writes the record if this entry is the holder of the order lease. Call
  /// several times a second.
  void onTimer(TimePoint now);
  void stop();

private:
  /// Reads the revision of the record, which this entry may not have seen while
  /// it relied on readers.
  void readRevision();
  void onChanges(const direct::SoftwareVersionsRecord &record,
                 uint64_t snapshotRevision, uint64_t history,
                 const std::vector<edge::KvChange> &changes);

  GatewayState &State;
  Strand Executor;
  edge::KvStore Store;
  std::shared_ptr<HolderRecord> Record;
  const VersionHistorySettings Settings;
  std::shared_ptr<edge::KvCancel> StopReading;
};

} // namespace daisytack::gateway
