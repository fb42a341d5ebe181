#include "gateway/server_probes.h"

#include "base/clock.h"
#include "gateway/gateway_request.h"
#include "net/http_socket.h"
#include "net/timer.h"

#include <algorithm>
#include <utility>

namespace daisytack::gateway {

using balancing::ProbeResult;

/// One connection attempt; ends with the first of its two events.
struct ServerProbes::Attempt {
  explicit Attempt(const Strand &strand) : Socket(strand), Timer(strand) {}
  boost::asio::ip::tcp::socket Socket;
  net::Timer Timer;
  bool HasEnded = false;
};

ServerProbes::ServerProbes(GatewayState &state, Strand strand)
    : State(state), Executor(std::move(strand)),
      Probing(state.Options.Silence) {}

void ServerProbes::stop() { IsStopped = true; }

void ServerProbes::learnAddresses(const std::vector<uint64_t> &servers) {
  std::erase_if(Targets, [&](const auto &it) {
    return std::find(servers.begin(), servers.end(), it.first) == servers.end();
  });
  if (Targets.size() == servers.size())
    return;
  auto catalog = State.catalog();
  for (const direct::BackendServer &it : catalog->AllServers) {
    uint64_t key = it.ref().key();
    if (std::find(servers.begin(), servers.end(), key) != servers.end())
      Targets.try_emplace(key, Target{it.Id, it.Address});
  }
}

void ServerProbes::onTimer(TimePoint now) {
  if (IsStopped)
    return;
  balancing::BusyServers servers = State.Loads.busyServers(now);
  State.Stats.ServersSilent.set(static_cast<int64_t>(servers.Silent.size()));
  learnAddresses(servers.Silent);
  for (uint64_t server : Probing.onTimer(servers, now)) {
    State.Log.write(LogPriority::Notable, "server_silent",
                    {{"server", Targets.contains(server) ? Targets.at(server).Id
                                                         : std::string()}},
                    now);
    probe(server);
  }
}

void ServerProbes::probe(uint64_t server) {
  boost::asio::ip::tcp::endpoint address;
  auto target = Targets.find(server);
  // Without an address nothing is known about the server.
  if (target == Targets.end() || !net::toTcp(target->second.Address, address))
    return onProbed(server, ProbeResult::Refused);
  State.Stats.ServerProbes.add();
  auto attempt = std::make_shared<Attempt>(Executor);
  auto end = [weak = weak_from_this(), attempt, server](ProbeResult result) {
    if (std::exchange(attempt->HasEnded, true))
      return;
    net::ErrorCode ignored;
    attempt->Socket.close(ignored);
    attempt->Timer.cancel();
    auto self = weak.lock();
    if (self && !self->IsStopped)
      self->onProbed(server, result);
  };
  attempt->Timer.expires_after(State.Options.Silence.ProbeTimeout);
  attempt->Timer.async_wait([end, attempt](const net::ErrorCode &ec) {
    if (ec)
      return;
    // A busy entry may handle the timer before a connection that was
    // established in time.
    net::ErrorCode notConnected;
    attempt->Socket.remote_endpoint(notConnected);
    end(notConnected ? ProbeResult::TimedOut : ProbeResult::Established);
  });
  attempt->Socket.async_connect(address, [end](const net::ErrorCode &ec) {
    bool isUnreachable = ec == boost::asio::error::host_unreachable ||
                         ec == boost::asio::error::network_unreachable ||
                         ec == boost::asio::error::timed_out;
    if (isUnreachable)
      return end(ProbeResult::TimedOut);
    end(ec ? ProbeResult::Refused : ProbeResult::Established);
  });
}

void ServerProbes::onProbed(uint64_t server, ProbeResult result) {
  if (Probing.onProbed(server, result))
    return probe(server);
  TimePoint now = monotonicNow();
  if (Probing.takeLost(server, State.Loads.busyServers(now), now))
    onLost(server, now);
}

void ServerProbes::onLost(uint64_t server, TimePoint now) {
  State.Loads.onLost(server, now);
  State.Stats.ServersLost.add();
  auto target = Targets.find(server);
  State.Log.write(
      LogPriority::Notable, "server_lost",
      {{"server", target == Targets.end() ? "" : target->second.Id},
       {"reason", "it sends nothing and establishes no connection"}},
      now);
  // A request on an open connection counts as sent.
  if (target != Targets.end())
    State.BackendClient.dropIdle(target->second.Address);
  TimePoint probedAt = now - State.Options.Silence.ProbeTimeout *
                                 int64_t{State.Options.Silence.ProbeAttempts};
  for (const auto &request : State.Running.all())
    request->onServerLost(server, probedAt);
}

} // namespace daisytack::gateway
