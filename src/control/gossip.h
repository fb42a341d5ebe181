/// Spreads configuration, members and signals among all processes: news is told
/// to a few random peers at once, and each process compares itself with one
/// random peer at intervals, so that what was lost is found again.
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

/// Stands for a time that never was: long before any process started, and far
/// enough from the ends of the scale to be subtracted.
constexpr TimePoint NeverTime{std::chrono::hours(-24 * 365 * 100)};

struct GossipInit {
  Member Self;
  std::vector<Endpoint> Seeds;
  uint32_t Lineage = 0;
  Duration AntiEntropyInterval{1'000'000};
  Duration UpdateInterval{20'000}; ///< Least between two rounds of news.
  size_t Fanout = 3;               ///< Peers told in a round.
  /// Digests sent soon after a round of news. Each costs a fraction of the news
  /// and finds a peer that the news has missed.
  int FollowUps = 3;
  Duration FollowUpInterval{150'000};
  size_t MaxPayload = 1200; ///< Of a datagram, in bytes.
  uint64_t BytesPerSecond = 64U << 10;
};

/// A message to one peer, in one datagram.
struct PeerSend {
  Endpoint To;
  std::string Payload; ///< An encoded PeerMessage.
  auto operator<=>(const PeerSend &) const = default;
};

/// What the shell has to do.
struct GossipActions {
  std::vector<PeerSend> Sends;
  std::optional<Endpoint> Fetch; ///< Ask this peer by TCP with pullMessage().
};

/// Figures of one process. Only grow.
struct GossipStats {
  uint64_t UpdateRounds = 0;    ///< Rounds of news.
  uint64_t DigestsSent = 0;     ///< Anti-entropy digests sent.
  uint64_t PullsSent = 0;       ///< Asked a peer that was ahead.
  uint64_t RateLimited = 0;     ///< Messages held back by the budget of bytes.
  uint64_t StateMismatches = 0; ///< Messages of another lineage or service.
};

/// Adds a page to those before it; the joined deltas are taken as one.
void joinPage(StateUpdate &whole, const Page &page);

/// Not thread-safe; its owner serialises access.
class Gossip {
public:
  Gossip(GossipInit init, ControlState &state, RandomSource random);

  /// After a change of members.
  void refreshPeers();
  /// A signal of this process, or one that was learned here first.
  void publishSignal(const Signal &signal, TimePoint now);
  /// This process called the platform.
  void recordPlatformCall(bool answered, TimePoint now);

  /// To be called about every RumourInterval.
  GossipActions onTick(TimePoint now);
  GossipActions onMessage(const Endpoint &from, const PeerMessage &message,
                          TimePoint now);
  /// Everything above the watermarks in pages of a bounded size.
  std::vector<Page> pagesFor(const Pull &pull, TimePoint now) const;
  /// What a fetch by TCP has brought, joined.
  void onFetched(const StateUpdate &whole, TimePoint now);
  Pull pullMessage(TimePoint now) const { return {header(now)}; }

  /// When any reader last called the platform, and was last answered.
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
  /// A first image is old news to everybody else.
  bool ConfigStarted = false;
  bool MembersStarted = false;
  uint64_t SentConfig = 0; ///< Content that was told, or need not be.
  uint64_t SentMembers = 0;
  std::vector<Signal> PendingSignals;
  TimePoint NextDigest;
  int FollowUpsDue = 0;
  TimePoint NextUpdate;
  TimePoint NextPull;
  TimePoint SignalsMatchedAt; ///< When a peer last had the same signals.
  TimePoint LastPlatformCall = NeverTime;
  TimePoint LastPlatformAnswer = NeverTime;
};

} // namespace daisytack::control
