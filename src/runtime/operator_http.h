/// HTTP server for operators: /metrics, /healthz, /readyz, /v1/events,
/// /v1/query and /v1/command. Entry and agent have one each and provide the
/// hooks to their data.
#pragma once

#include "base/event_ring.h"
#include "base/metrics.h"
#include "base/settings.h"
#include "control/command.h"
#include "control/snapshot.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "query/rows.h"
#include "runtime/control_runtime.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace daisytack::runtime {

/// Settings section [operators].
struct OperatorSettings {
  Endpoint Listen;
  /// Difference between the port for operators and the peer port of a process.
  /// Listen defaults to the peer address of this process with this offset.
  uint16_t PortOffset = 1;
  /// SHA-256 in hexadecimal of a key with the administrator role, used to
  /// create the first operator account. Empty: there is no such key.
  std::string BootstrapKeyHash;
  Duration QueryDeadline{3'000'000}; ///< Time limit of a query over the fleet.
  uint32_t MaxAtOnce = 32; ///< Maximum number of concurrent calls for a query.
};

/// Reads [operators] listen, port_offset, bootstrap_key_sha256, query_deadline
/// and max_at_once.
OperatorSettings readOperatorSettings(Settings &settings, const Endpoint &peer);

/// Hooks to the data of the process. They are called on I/O threads at any time
/// and must not block: they read published snapshots. An empty function means
/// that there are no rows.
struct OperatorHooks {
  std::function<std::vector<query::RequestRow>()> Requests;
  std::function<std::vector<query::RefusalRow>()> Refusals;
  std::function<std::vector<query::KeptRow>()> Kept;
  std::function<std::vector<query::ServerRow>()> Servers;
  /// Cancels the requests of this process that the target names and returns
  /// their number.
  std::function<size_t(const query::StopTarget &)> Stop;
  /// Readiness of the entry or agent itself. It is consulted after that of
  /// OperatorControl.
  std::function<Readiness()> Ready;
};

/// Hooks to the configuration and membership of the process. controlHooks()
/// makes them from a ControlRuntime; tests provide their own.
struct OperatorControl {
  std::function<std::shared_ptr<const Snapshot>()> Snapshots;
  std::function<Readiness()> Ready;
  std::function<void(control::Command,
                     std::function<void(control::CommandResult)>)>
      Propose;
  std::function<void(uint64_t revision, Duration timeout,
                     std::function<void(control::RolloutReport)>)>
      CheckRollout;
};
OperatorControl controlHooks(ControlRuntime &control);

/// Settings, data and hooks of OperatorHttp. Everything that the hooks refer to
/// must outlive it.
struct OperatorInit {
  std::string Instance; ///< Name of this process in the instance list.
  OperatorSettings Settings;
  OperatorHooks Hooks;
  OperatorControl Control;
  std::function<WallTime()> Clock;
  RandomSource Random;
};

/// Thread-safe HTTP server for operators.
class OperatorHttp {
public:
  OperatorHttp(boost::asio::io_context &io, OperatorInit init, Metrics &metrics,
               EventRing &events, net::HttpClient &client);
  ~OperatorHttp();
  bool start(Error &reason);
  uint16_t port() const;
  void stopAccepting();

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace daisytack::runtime
