/// Spreads configuration, members and signals among all processes by gossip.
/// Changes are sent to a few random peers immediately. In addition, each
/// process periodically sends a digest of its state to one random peer
/// (anti-entropy), which recovers updates that were lost.
#pragma once

#include "control/control_state.h"
#include "control/peer_messages.h"
#include "control/peer_table.h"
#include "control/token_bucket.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace daisytack::control {

/// Time of an event that has not happened: before any process started, and far
/// enough from the limits of TimePoint that subtractions don't overflow.
constexpr TimePoint NeverTime{std::chrono::hours(-24 * 365 * 100)};

struct GossipInit {
  Member Self;
  std::vector<Endpoint> Seeds;
  uint32_t Lineage = 0;
  Duration AntiEntropyInterval{1'000'000};
  Duration UpdateInterval{20'000}; ///< Minimum between updates.
  size_t Fanout = 3;               ///< Peers per update.
  /// Number of digests sent after an update, about FollowUpInterval apart. A
  /// digest is a fraction of an update's size and finds peers that the update
  /// did not reach.
  int FollowUps = 3;
  Duration FollowUpInterval{150'000};
  size_t MaxPayload = 1200;            ///< Bytes per datagram.
  uint64_t BytesPerSecond = 64U << 10; ///< Rate limit of gossip datagrams.
};

/// A message to one peer, in one datagram.
struct PeerSend {
  Endpoint To;
  std::string Payload; ///< An encoded PeerMessage.
  auto operator<=>(const PeerSend &) const = default;
};

/// Actions for the caller, which performs the I/O.
struct GossipActions {
  std::vector<PeerSend> Sends;
  std::optional<Endpoint> Fetch; ///< Send pullMessage() to this peer by TCP.
};

/// Counters of one process. They never decrease.
struct GossipStats {
  uint64_t UpdateRounds = 0;    ///< Updates sent, each to several peers.
  uint64_t DigestsSent = 0;     ///< Anti-entropy digests sent.
  uint64_t PullsSent = 0;       ///< Pulls sent to peers with newer state.
  uint64_t RateLimited = 0;     ///< Sends withheld by the rate limit.
  uint64_t StateMismatches = 0; ///< Messages received from another lineage
                                ///< or key-value service.
};

/// Appends a page to the pages already joined. The result is merged as one
/// delta after the last page.
void joinPage(StateUpdate &whole, const Page &page);

/// Gossip protocol of one process, without I/O. Not thread-safe; its owner
/// serialises access.
class Gossip {
public:
  Gossip(GossipInit init, ControlState &state, RandomSource random);

  /// Rebuilds the peer table; to be called after a change of members.
  void refreshPeers();
  /// Spreads a signal of this process, or one that this process received from
  /// outside the gossip.
  void publishSignal(const Signal &signal, TimePoint now);
  /// Records a call to the platform by this process and whether it was
  /// answered.
  void recordPlatformCall(bool answered, TimePoint now);

  /// To be called about every UpdateInterval.
  GossipActions onTick(TimePoint now);
  GossipActions onMessage(const Endpoint &from, const PeerMessage &message,
                          TimePoint now);
  /// All state above the watermarks in the pull, in pages of bounded size.
  std::vector<Page> pagesFor(const Pull &pull, TimePoint now) const;
  /// Merges the joined pages of a fetch by TCP.
  void onFetched(const StateUpdate &whole, TimePoint now);
  Pull pullMessage(TimePoint now) const { return {header(now)}; }

  /// When any reader last called the platform and when one was last answered,
  /// as far as this process knows; NeverTime when unknown.
  TimePoint lastPlatformCall() const { return LastPlatformCall; }
  TimePoint lastPlatformAnswer() const { return LastPlatformAnswer; }
  size_t peers() const { return Peers.size(); }
  const GossipStats &stats() const { return Stats; }

private:
  PeerHeader header(TimePoint now) const;
  bool acceptHeader(const PeerHeader &header, TimePoint now);
  bool isAhead(const PeerHeader &peer) const;
  bool isBehind(const PeerHeader &peer) const;
  void sendDifferingSignals(const Endpoint &to, const StateUpdate &request,
                            TimePoint now, GossipActions &out);
  void mergeUpdate(const StateUpdate &update, TimePoint now);
  void mergeSignal(const AgedSignal &signal, TimePoint now);
  void sendPendingUpdate(TimePoint now, GossipActions &out);
  Duration nextDigestDelay();
  void sendDueDigest(TimePoint now, GossipActions &out);
  void sendMissingState(const Endpoint &to, const PeerHeader &peer,
                        TimePoint now, GossipActions &out);
  void sendPull(const Endpoint &from, TimePoint now, GossipActions &out);
  void skipInitialImages();
  std::string encodeOrFallback(const PeerMessage &message,
                               const PeerMessage &fallback) const;
  bool send(const Endpoint &to, std::string payload, TimePoint now,
            GossipActions &out);
  bool takeBudget(size_t bytes, size_t datagrams, double reservedShare,
                  TimePoint now);

  void on(const Endpoint &from, const Digest &m, TimePoint now,
          GossipActions &out);
  void on(const Endpoint &from, const StateUpdate &m, TimePoint now,
          GossipActions &out);
  void on(const Endpoint &from, const Pull &m, TimePoint now,
          GossipActions &out);
  void on(const Endpoint &from, const TooLarge &m, TimePoint now,
          GossipActions &out);
  template <class Other>
  void on(const Endpoint &, const Other &, TimePoint, GossipActions &) {}

  GossipInit Init;
  ControlState &State;
  RandomSource Random;
  PeerTable Peers;
  TokenBucket Bytes;
  GossipStats Stats;
  /// Whether a first image was received. It is not sent as an update: the other
  /// processes already have it.
  bool ConfigStarted = false;
  bool MembersStarted = false;
  /// Latest change that was sent as an update or needs none.
  uint64_t SentConfig = 0;
  uint64_t SentMembers = 0;
  std::vector<Signal> PendingSignals;
  TimePoint NextDigest;
  int FollowUpsDue = 0;
  TimePoint NextUpdate;
  TimePoint NextPull;
  TimePoint SignalsMatchedAt; ///< When a peer last had equal signals.
  TimePoint LastPlatformCall = NeverTime;
  TimePoint LastPlatformAnswer = NeverTime;
};

} // namespace daisytack::control
