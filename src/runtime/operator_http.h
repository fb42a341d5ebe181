/// The operators' HTTP of a process: /metrics, /healthz, /readyz, /v1/events,
/// /v1/query and /v1/command. Entry and agent construct one each and fill in
/// the hooks to their data.
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
  /// Added to a peer's port to find its operators' address. Listen defaults to
  /// this process's own peer address with the offset.
  uint16_t PortOffset = 1;
  /// SHA-256 of a key that may do everything, in hexadecimal; for the first
  /// operator account. Empty: none.
  std::string BootstrapKeyHash;
  Duration QueryDeadline{3'000'000}; ///< For gathering over the fleet.
  uint32_t MaxAtOnce = 32;           ///< Processes asked at the same time.
};

/// Reads [operators] listen, port_offset, bootstrap_key_sha256, query_deadline
/// and max_at_once.
OperatorSettings readOperatorSettings(Settings &settings, const Endpoint &peer);

/// What the process shows. Called on I/O threads, at any time; each must return
/// at once, from published snapshots. Empty functions stand for no rows.
struct OperatorHooks {
  std::function<std::vector<query::RequestRow>()> Requests;
  std::function<std::vector<query::RefusalRow>()> Refusals;
  std::function<std::vector<query::KeptRow>()> Kept;
  std::function<std::vector<query::ServerRow>()> Servers;
  /// Cancels what the target names in this process; returns how many requests.
  std::function<size_t(const query::StopTarget &)> Stop;
  /// Reasons of the process itself for not being ready; joined with those of
  /// the control part.
  std::function<Readiness()> Ready;
};

/// Hooks to the control part, from ControlRuntime by controlHooks() or from a
/// test.
struct OperatorControl {
  std::function<std::shared_ptr<const Snapshot>()> Snapshots;
  std::function<Readiness()> Ready;
  std::function<void(control::Command,
                     std::function<void(control::CommandResult)>)>
      Propose;
  std::function<void(uint64_t revision, Duration timeout,
                     std::function<void(control::RolloutReport)>)>
      GatherInForce;
};
OperatorControl controlHooks(ControlRuntime &control);

/// What the routes work on. References outlive the object.
struct OperatorInit {
  std::string Instance; ///< This process's name in the instance list.
  OperatorSettings Settings;
  OperatorHooks Hooks;
  OperatorControl Control;
  std::function<WallTime()> Clock;
  RandomSource Random;
};

/// Thread-safe.
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
