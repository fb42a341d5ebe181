/// Series of the control part in a process's metrics.
#pragma once

#include "base/metrics.h"
#include "runtime/control_runtime.h"

namespace daisytack::runtime {

/// Looks its series up once. Not thread-safe; its owner serialises access.
class ControlMetrics {
public:
  explicit ControlMetrics(Metrics &metrics);

  /// Takes the latest figures.
  void update(const ControlStats &stats);
  /// A peer's message was refused.
  void countRejected(ErrorKind kind);
  void countCommand(control::CommandOutcome outcome);

private:
  Metrics &Registry;
  Gauge &Revision;
  Gauge &Objects;
  Gauge &Members;
  Gauge &Reader;
  Gauge &ReachedMillis;
  Gauge &NotUnderstood;
  Counter &Sent;
  Counter &Received;
  Counter &Held;
  Counter &OtherState;
};

} // namespace daisytack::runtime
