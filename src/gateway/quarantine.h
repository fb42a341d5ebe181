/// Keeps requests that end backend servers from being passed on: bars those
/// that run when one is quarantined, and keeps its record in the key-value
/// service, from which entries that start learn it.
#pragma once

#include "edge/kv.h"
#include "gateway/gateway_state.h"
#include "gateway/kv_service_follower.h"

#include <map>
#include <memory>
#include <vector>

namespace daisytack::gateway {

/// Gives those of this entry's running requests that are among the quarantined
/// ones, and have no answer yet, their final one: a server that has yet to
/// begin one of them lives on.
void enforceQuarantine(GatewayState &state, const std::vector<Id128> &requests,
                       TimePoint now);

struct QuarantineRecordSettings {
  /// The service grants no longer lease. One record has one of its own.
  Duration MaxLeaseTerm{600'000'000};
  /// All entries may write a record. The first by rendezvous does at once, the
  /// next this much later if there is still none, and so on.
  Duration WriteStagger{1'000'000};
  Duration CallTimeout{1'200'000};
  bool operator==(const QuarantineRecordSettings &) const = default;
};

/// Runs on its strand.
class QuarantineRecords
    : public std::enable_shared_from_this<QuarantineRecords> {
public:
  QuarantineRecords(GatewayState &state, Strand strand, edge::KvStore store,
                    QuarantineRecordSettings settings);

  /// The catalog may have changed.
  void onCatalog(TimePoint now);
  /// Call several times a second.
  void onTimer(TimePoint now);

private:
  void applyRecords(TimePoint now);
  void writeMissing(TimePoint now);
  void removeCleared(TimePoint now);
  /// How many entries are to write the request's record before this one.
  size_t writersBefore(const Id128 &request) const;
  void write(const Id128 &request);
  void commit(const Id128 &request, uint64_t lease);
  void remove(const Id128 &request, uint64_t revision);
  /// The call about the request's record is over.
  void endCall(const Id128 &request, TimePoint now);
  /// The service answered to a change of the request's record.
  void onWritten(const Id128 &request, const edge::KvHeader &answer,
                 bool isLifted);

  GatewayState &State;
  Strand Executor;
  edge::KvStore Store;
  QuarantineRecordSettings Settings;
  std::map<Id128, uint64_t> AppliedRevisions; ///< Revisions of records.
  std::map<Id128, TimePoint> MissingSince;
  bool IsCallPending = false; ///< One call after the other.
};

} // namespace daisytack::gateway
