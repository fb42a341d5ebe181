/// Constructs, connects and starts the components of daisytack-agent.
#pragma once

#include "agent_driver.h"
#include "agent_metrics.h"
#include "agent_operators.h"
#include "base/metrics.h"
#include "runtime/control_runtime.h"

#include <memory>

namespace daisytack::agent {

class AgentDaemon {
public:
  AgentDaemon(boost::asio::io_context &io, AgentOptions options);
  ~AgentDaemon();

  bool start(Error &reason);
  /// Refuses new offers. Calls `done` when all accepted requests have been
  /// answered.
  void drain(std::function<void()> done);

private:
  void record(Event event);
  void onSnapshot(const Snapshot &snapshot);

  AgentOptions Options;
  Metrics Registry;
  AgentMetrics Counters;
  EventRing Events;
  net::HttpClient PlatformClient;
  edge::KvStore KeyValue;
  AgentDriver Driver;
  runtime::ControlRuntime Control;
  runtime::OperatorHttp Operators;
};

} // namespace daisytack::agent
