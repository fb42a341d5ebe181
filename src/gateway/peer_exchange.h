/// Messages between the entries of a deployment, encoded with cereal and sent
/// over HTTP. An entry that cannot reach the key-value service gets its records
/// from other entries.
#pragma once

#include "direct/peer_messages.h"
#include "gateway/gateway_state.h"
#include "gateway/kv_service_follower.h"
#include "net/http_server.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace daisytack::gateway {

/// Called on the strand.
struct PeerHooks {
  /// Called with the records of another entry. Durations in the message count
  /// from `askedAt`, when this entry sent the request and had everything up to
  /// `syncedRevision`.
  std::function<void(const direct::RecordsResponse &, uint64_t syncedRevision,
                     TimePoint askedAt)>
      OnRecords;
  /// Called with a ServersLoading or ServerLoaded message.
  std::function<void(const direct::PeerMessage &)> OnWeightMessage;
};

/// Does all its work on the strand passed to the constructor.
class PeerExchange : public std::enable_shared_from_this<PeerExchange> {
public:
  PeerExchange(GatewayState &state, Strand strand, PeerHooks hooks,
               RandomSource random);

  bool start(Error &reason);
  void stop();
  /// Polls a few entries for newer records while the key-value service is
  /// unreachable. Call several times a second.
  void onTimer(bool serviceIsReachable, TimePoint now);
  /// Requests records newer than those of this entry from one other entry.
  void requestRecords(const Endpoint &peer);
  /// Sets the peers to request records from while no other entry is known.
  void setSeeds(std::vector<Endpoint> seeds);
  /// Sends the message to every known entry.
  void broadcast(const direct::PeerMessage &message);
  /// Sends the message to one entry; `done` gets whether that entry answered.
  void sendTo(const Endpoint &peer, const direct::PeerMessage &message,
              const std::function<void(bool)> &done);

private:
  void answer(std::string_view body, net::HttpExchange &exchange);
  direct::PeerMessage reply(const direct::PeerMessage &message);
  void updateRemembered(TimePoint now);
  std::vector<Endpoint> knownPeers() const;
  void post(const Endpoint &peer, const direct::PeerMessage &message,
            std::function<void(const direct::PeerMessage &)> done,
            std::function<void()> failed = {});

  GatewayState &State;
  Strand Executor;
  PeerHooks Hooks;
  RandomSource Random;
  net::HttpServer Server;
  std::vector<Endpoint> Seeds;
  /// Known entries, with the time at which each was last listed. An entry that
  /// lost its lease in the key-value service may still run, so it goes on
  /// getting messages.
  std::map<Endpoint, TimePoint> Remembered;
  TimePoint NextRequestAt;
};

} // namespace daisytack::gateway
