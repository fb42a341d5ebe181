/// Messages between the entries of a deployment: cereal over HTTP. An entry
/// that can't reach the key-value service learns here what others know.
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
  /// What another entry knows; its times count from when it was asked, and this
  /// entry knew all up to the revision then.
  std::function<void(const direct::RecordsResponse &, uint64_t syncedRevision,
                     TimePoint askedAt)>
      OnRecords;
  /// ServersLoading or ServerLoaded.
  std::function<void(const direct::PeerMessage &)> OnWeightMessage;
};

/// Runs on its strand.
class PeerExchange : public std::enable_shared_from_this<PeerExchange> {
public:
  PeerExchange(GatewayState &state, Strand strand, PeerHooks hooks,
               RandomSource random);

  bool start(Error &reason);
  void stop();
  /// Asks a few entries for news while the service is away. Call several times
  /// a second.
  void onTimer(bool serviceIsReachable, TimePoint now);
  /// Asks one entry for what is newer than this one knows.
  void requestRecords(const Endpoint &peer);
  /// Asked while no entry is known.
  void setSeeds(std::vector<Endpoint> seeds);
  /// Tells every entry.
  void broadcast(const direct::PeerMessage &message);
  /// Tells one entry; done learns whether it has answered.
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
  /// Entries that were listed, and when last: one that lost its lease with the
  /// service may live on and is still told.
  std::map<Endpoint, TimePoint> Remembered;
  TimePoint NextRequestAt;
};

} // namespace daisytack::gateway
