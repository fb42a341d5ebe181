/// Records the origins of streams in the key-value service while several
/// software versions serve, so that callers can resume their streams after all
/// entries that knew the origins have ended at once.
///
/// A lost record only means that its streams are refused: an origin is never
/// guessed. Streams that began since the last write are not recorded, so the
/// writes are frequent, but all entries share one rate. Every entry receives
/// what the others write, as with all records.
#pragma once

#include "direct/stream_origins.h"
#include "edge/kv.h"
#include "gateway/kv_service_follower.h"

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace daisytack::gateway {

struct StreamOriginLogSettings {
  /// Shortest time between two writes of an entry.
  Duration MinInterval{250'000};
  /// Time between two writes of all entries.
  Duration IntervalPerEntry{50'000};
  /// With so many entries that the time between two writes of one would be
  /// longer, nothing is recorded: few streams last that long, and each entry
  /// receives what all of them write.
  Duration MaxInterval{3'000'000};
  /// Records are kept for StreamMaxAge and up to this time longer.
  Duration LeaseInterval{30'000'000};
  /// Streams in one record, of 33 bytes each.
  size_t MaxStreams = 200;
  /// Streams that wait to be recorded. The oldest are left out first, as their
  /// streams end first.
  size_t MaxWaiting = 2'000;
  bool operator==(const StreamOriginLogSettings &) const = default;
};

/// All members are called on one strand.
class StreamOriginLog : public std::enable_shared_from_this<StreamOriginLog> {
public:
  /// `process` differs between all processes.
  StreamOriginLog(GatewayState &state, Strand strand, edge::KvStore store,
                  Id128 process, StreamOriginLogSettings settings);

  /// This entry has begun the streams.
  void onBegan(const direct::StreamsBegan &began);
  /// Takes over what entries have recorded.
  void onSnapshot(const edge::KvRangeResult &snapshot);
  /// Call several times a second.
  void onTimer(TimePoint now);

private:
  using Stream = std::pair<direct::StreamOrigin, Id128>;

  /// Time between two writes of this entry.
  Duration interval() const;
  void acquireLease(TimePoint now);
  void write(TimePoint now);

  GatewayState &State;
  Strand Executor;
  edge::KvStore Store;
  const Id128 Process;
  const StreamOriginLogSettings Settings;
  std::deque<Stream> Waiting;
  uint64_t Records = 0; ///< Written so far.
  uint64_t Lease = 0;   ///< 0: none.
  TimePoint LeaseSince;
  TimePoint NextCallAt;
  bool IsCalling = false;
};

} // namespace daisytack::gateway
