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
#include <optional>
#include <set>
#include <vector>

namespace daisytack::gateway {

/// A request for records that was answered. Durations in the answer count from
/// `SentAt`. Before the first of the requests that led to the answer, this
/// entry had everything up to `SyncedRevision`.
struct RecordsCall {
  Endpoint Peer;
  uint64_t SyncedRevision = 0;
  TimePoint SentAt;
  uint64_t NewerThan = 0; ///< Revision that the records are newer than.
  uint32_t Page = 1;      ///< Number of the request among those that led to it.
  bool operator==(const RecordsCall &) const = default;
};

/// Called on the strand.
struct PeerHooks {
  /// Called with the records of another entry.
  std::function<void(const direct::RecordsResponse &, const RecordsCall &)>
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
  /// Polls a few entries for newer records while they are needed. Call several
  /// times a second.
  void onTimer(bool needsRecords, TimePoint now);
  /// Requests records newer than those of this entry from one other entry. Has
  /// no effect while that entry owes an answer to such a request.
  void requestRecords(const Endpoint &peer);
  /// Requests the records that follow those of an answer with more to come.
  void requestMore(const RecordsCall &call, uint64_t newerThan);
  /// This entry has all records of another entry up to the revision. Further
  /// requests are for newer ones, even if that entry's state is incomplete.
  void noteReceived(uint64_t upTo);
  /// Requests a part of a large record; `done` gets nothing without an answer.
  void requestPart(
      const direct::RecordPartCall &call,
      const std::function<void(std::optional<direct::RecordPart>)> &done);
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
  void requestPage(RecordsCall call);
  direct::RecordsResponse recordsFor(const direct::RecordsRequest &request);
  /// Calls `done` with the answer, or nothing without a valid one.
  void post(const Endpoint &peer, const direct::PeerMessage &message,
            Duration timeout,
            std::function<void(std::optional<direct::PeerMessage>)> done);

  GatewayState &State;
  Strand Executor;
  PeerHooks Hooks;
  RandomSource Random;
  direct::RecordSource Source;
  /// For the bodies of requests.
  std::shared_ptr<admission::RequestMemory> Bodies;
  net::HttpServer Server;
  std::vector<Endpoint> Seeds;
  /// Known entries, with the time at which each was last listed. An entry that
  /// lost its lease in the key-value service may still run, so it goes on
  /// getting messages.
  std::map<Endpoint, TimePoint> Remembered;
  TimePoint NextRequestAt;
  std::set<Endpoint> Asked; ///< Entries that owe records.
  uint64_t ReceivedTo = 0;  ///< See noteReceived().
};

} // namespace daisytack::gateway
