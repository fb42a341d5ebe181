/// Probes servers that have fallen silent by opening connections to them, and
/// gives up the requests on those that establish none.
#pragma once

#include "balancing/server_silence.h"
#include "gateway/gateway_state.h"
#include "gateway/kv_service_follower.h"

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace daisytack::gateway {

/// Does all its work on the strand passed to the constructor.
class ServerProbes : public std::enable_shared_from_this<ServerProbes> {
public:
  ServerProbes(GatewayState &state, Strand strand);

  /// Call several times a second.
  void onTimer(TimePoint now);
  void stop();

private:
  struct Attempt;

  void probe(uint64_t server);
  void onProbed(uint64_t server, balancing::ProbeResult result);
  /// Remembers the addresses of silent servers: their records may expire before
  /// they are probed.
  void learnAddresses(const std::vector<uint64_t> &servers);
  /// Gives up the requests on the server.
  void onLost(uint64_t server, TimePoint now);

  GatewayState &State;
  Strand Executor;
  balancing::ServerProbing Probing;
  struct Target {
    std::string Id;
    Endpoint Address;
  };
  std::map<uint64_t, Target> Targets; ///< By ServerRef::key().
  bool IsStopped = false;
};

} // namespace daisytack::gateway
