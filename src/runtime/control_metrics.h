/// Metrics of the configuration and membership state of a process.
#pragma once

#include "base/metrics.h"
#include "runtime/control_runtime.h"

namespace daisytack::runtime {

/// Looks up its gauges and counters once. Not thread-safe: the owner serialises
/// access.
class ControlMetrics {
public:
  explicit ControlMetrics(Metrics &metrics);

  /// Sets gauges and counters to the given statistics.
  void update(const ControlStats &stats);
  /// Counts a refused message of a peer.
  void countRejected(ErrorKind kind);
  void countCommand(control::CommandOutcome outcome);

private:
  Metrics &Registry;
  Gauge &Revision;
  Gauge &Objects;
  Gauge &Members;
  Gauge &Reader;
  Gauge &ReachedMillis;
  Gauge &UnreadableObjects;
  Counter &Sent;
  Counter &Received;
  Counter &RateLimited;
  Counter &StateMismatches;
};

} // namespace daisytack::runtime
