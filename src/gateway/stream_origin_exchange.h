/// Datagrams between entries about the origins of streams: tells the owners of
/// each stream that this entry begins, asks the owners of streams that callers
/// resume here, and answers other entries.
#pragma once

#include "direct/origin_lookup.h"
#include "direct/peer_messages.h"
#include "gateway/gateway_state.h"
#include "gateway/kv_service_follower.h"
#include "net/timer.h"

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace daisytack::gateway {

/// The result of a lookup: an origin, or the reason why there is none.
using OriginDone = std::function<void(
    const std::optional<direct::OriginAnswer> &, const Error &)>;

/// A caller's wish to resume a stream.
struct StreamResumption {
  /// Empty if the caller does not name the request that began the stream.
  std::optional<Id128> Stream;
  std::string Service; ///< Of the route.
};

struct StreamOriginExchangeSettings {
  /// How long streams that begin are collected for one datagram. Shorter than a
  /// caller takes to come back after its entry has ended.
  Duration TellDelay{20'000};
  /// Streams in one datagram.
  size_t MaxStreamsPerDatagram = 64;
  /// Shortest time between two calls that confirm the state of the key-value
  /// service. All resumptions that wait share them.
  Duration ConfirmInterval{100'000};
  /// Maximum number of unanswered requests of other entries for versions.
  size_t MaxPending = 1000;
  direct::OriginLookupSettings Lookup;
  bool operator==(const StreamOriginExchangeSettings &) const = default;
};

/// began(), flush() and find() are thread-safe; all other members are called on
/// the strand.
class StreamOriginExchange
    : public std::enable_shared_from_this<StreamOriginExchange> {
public:
  using SendHook =
      std::function<void(const Endpoint &, const direct::PeerMessage &)>;
  /// Brings this entry's state up to date with the key-value service, then
  /// calls `done`; doesn't call it on failure.
  using ConfirmHook = std::function<void(std::function<void()> done)>;

  StreamOriginExchange(GatewayState &state, Strand strand, SendHook send,
                       ConfirmHook confirm,
                       StreamOriginExchangeSettings settings);

  /// This entry has begun a stream.
  void began(const Id128 &stream, const direct::StreamOrigin &origin);
  /// A stream broke off: its owners are told at once, as its caller may return.
  void flush();
  /// Calls `done` once with the origin of the stream, at once if this entry
  /// knows it.
  void find(const StreamResumption &resumption, OriginDone done);
  void onCatalog();
  /// Call several times a second.
  void onTimer(TimePoint now);
  /// Handles a message about origins; ignores any other.
  void onMessage(const Endpoint &sender, const direct::PeerMessage &message);
  void stop();

  /// Called on the strand with streams that this entry has begun.
  std::function<void(const direct::StreamsBegan &)> OnBegan;

private:
  struct Lookup {
    direct::OriginLookup Steps;
    OriginDone Done;
  };
  /// Another entry's request that waits for a confirmation.
  struct PendingVersions {
    Endpoint Sender;
    direct::ServerVersionsRequest Request;
    TimePoint ArrivedAt;
  };

  void armTell();
  void tell();
  void startLookup(const StreamResumption &resumption, OriginDone done);
  /// Sends due requests and finishes lookups that are decided.
  void advance();
  /// Confirms the state unless that was done very recently; returns when it may
  /// be done again.
  TimePoint confirm(TimePoint now);
  /// Answers other entries' requests for versions that the state is recent
  /// enough for; returns whether others wait.
  bool answerPending(TimePoint syncedAt, TimePoint now);
  void answer(const Endpoint &sender,
              const direct::StreamOriginRequest &request);

  GatewayState &State;
  Strand Executor;
  SendHook Send;
  ConfirmHook Confirm;
  const StreamOriginExchangeSettings Settings;
  std::shared_ptr<const direct::Catalog> IndexedCatalog;
  direct::StreamOwnerIndex Owners;
  std::list<Lookup> Lookups;
  std::vector<PendingVersions> Pending;
  TimePoint NextConfirmAt;
  net::Timer TellTimer;
  net::Timer LookupTimer;
  bool IsStopped = false;
};

} // namespace daisytack::gateway
