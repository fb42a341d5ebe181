/// Stops the forwarding of requests that crash backend servers: fails running
/// ones once they are quarantined, and keeps a record of each in the key-value
/// service for entries that start later.
#pragma once

#include "edge/kv.h"
#include "gateway/gateway_state.h"
#include "gateway/kv_service_follower.h"

#include <map>
#include <memory>
#include <vector>

namespace daisytack::gateway {

/// Number of entries that go before this one in what only one entry does about
/// a quarantined signature, by rendezvous hashing.
size_t entriesBefore(const GatewayState &state, const Id128 &signature);

/// Fails those of this entry's running requests that are quarantined and whose
/// answer has not begun. This spares servers that have yet to start one of
/// them.
void enforceQuarantine(GatewayState &state,
                       const std::vector<Id128> &signatures, TimePoint now);

struct QuarantineRecordSettings {
  /// Longest lease that the key-value service grants. Each record has its own
  /// lease.
  Duration MaxLeaseTerm{600'000'000};
  /// Every entry may write a missing record. The first by rendezvous hashing
  /// writes it at once, and each further one waits this much longer.
  Duration WriteStagger{1'000'000};
  Duration CallTimeout{1'200'000};
  bool operator==(const QuarantineRecordSettings &) const = default;
};

/// Does all its work on the strand passed to the constructor.
class QuarantineRecords
    : public std::enable_shared_from_this<QuarantineRecords> {
public:
  QuarantineRecords(GatewayState &state, Strand strand, edge::KvStore store,
                    QuarantineRecordSettings settings);

  /// Call when the catalog may have changed.
  void onCatalog(TimePoint now);
  /// Call several times a second.
  void onTimer(TimePoint now);

private:
  /// Quarantines the signatures whose records are new in the catalog.
  void applyRecords(TimePoint now);
  void writeMissing(TimePoint now);
  void removeCleared();
  void write(const Id128 &signature);
  void commit(const Id128 &signature, uint64_t lease);
  void remove(const Id128 &signature, uint64_t revision);
  /// Ends the call about the signature's record, so that another may start.
  void endCall(const Id128 &signature, TimePoint now);
  /// Handles the answer to a write or removal of the signature's record.
  void onWritten(const Id128 &signature, const edge::KvHeader &answer,
                 bool isLifted);

  GatewayState &State;
  Strand Executor;
  edge::KvStore Store;
  QuarantineRecordSettings Settings;
  /// Revision of each record that was applied.
  std::map<Id128, uint64_t> AppliedRevisions;
  /// Time since which the record of a quarantined signature counts as missing.
  std::map<Id128, TimePoint> MissingSince;
  /// Whether a call is in progress; there is one at a time.
  bool IsCallPending = false;
};

} // namespace daisytack::gateway
