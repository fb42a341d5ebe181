/// Servers that have become unreachable without closing their connections: how
/// long an entry waits for a server that sends nothing, and when it gives up
/// the requests there.
///
/// Silence alone ends no request, as an engine that prefills a long prompt
/// sends nothing either. A server is lost only if it is silent and establishes
/// no new connection, which the operating system of a busy server still does.
#pragma once

#include "daisytack/types.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace daisytack::balancing {

struct SilenceSettings {
  /// A server is silent when it has sent nothing for this share of the target
  /// latency of a request, beyond the predicted time to its first token; 0:
  /// only ServerLoadSettings::InactivityTimeout applies, and no server is lost.
  double Share = 0.6;
  /// Bounds on that share of the target. The upper one is the time after which
  /// every silent server is avoided.
  Duration MinWait{150'000};
  Duration MaxWait{1'200'000};
  /// How long a connection may take to be established. A lost packet is sent
  /// again only after a second, so that a second attempt follows the first.
  Duration ProbeTimeout{200'000};
  uint32_t ProbeAttempts = 2;
  /// Time between the starts of two probes of one server.
  Duration ProbeInterval{1'000'000};
  /// The fault is assumed to be this entry's own, as after a suspension, if at
  /// least this number of servers is silent, more than half of those with
  /// requests, and nothing was received from any server for OwnFaultTime.
  size_t MinOwnFault = 3;
  Duration OwnFaultTime{300'000};
  bool operator==(const SilenceSettings &) const = default;
};

/// How long a server may send nothing while a request waits for its first byte
/// there; zero: no limit of the request's own. `target` is the request's target
/// latency, `predicted` the predicted time to its first token.
Duration maxSilence(const SilenceSettings &settings, Duration target,
                    Duration predicted);

/// The servers with requests of this entry in flight.
struct BusyServers {
  size_t Busy = 0;              ///< Number of servers.
  std::vector<uint64_t> Silent; ///< ServerRef::key() of those that are silent.
  TimePoint HeardAt; ///< When something was last received from any server.
  bool operator==(const BusyServers &) const = default;
};

/// What a probe of a server's address showed.
enum class ProbeResult : uint8_t {
  Established, ///< The server accepts connections.
  /// Nothing listens there, but the server may still finish what it runs.
  Refused,
  TimedOut,
};

/// Decides which silent servers are probed, and which are lost. Not
/// thread-safe.
class ServerProbing {
public:
  explicit ServerProbing(SilenceSettings settings) : Settings(settings) {}

  /// Servers to which a connection attempt starts now.
  std::vector<uint64_t> onTimer(const BusyServers &servers, TimePoint now);
  /// A connection attempt has ended. Returns whether another one is to start at
  /// once.
  bool onProbed(uint64_t server, ProbeResult result);
  /// Whether the server is lost: its probes timed out, and it is still silent.
  /// Call after onProbed() and onTimer(). True once for each probe.
  bool takeLost(uint64_t server, const BusyServers &servers, TimePoint now);

private:
  struct Probe {
    TimePoint StartedAt;
    uint32_t TimedOut = 0; ///< Attempts in a row.
    bool IsRunning = false;
  };

  bool isOwnFault(const BusyServers &servers, TimePoint now) const;

  SilenceSettings Settings;
  std::unordered_map<uint64_t, Probe> Probes; ///< By ServerRef::key().
};

} // namespace daisytack::balancing
