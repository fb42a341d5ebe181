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
  Duration RumourInterval{20'000}; ///< Least between two rounds of news.
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
  uint64_t Rounds = 0;     ///< Rounds of news.
  uint64_t Compared = 0;   ///< Anti-entropy digests sent.
  uint64_t Pulled = 0;     ///< Asked a peer that was ahead.
  uint64_t Held = 0;       ///< Messages held back by the budget of bytes.
  uint64_t OtherState = 0; ///< Messages of another lineage or service.
};

/// Adds a page to those before it; the joined deltas are taken as one.
void joinPage(Rumour &whole, const Page &page);

/// Not thread-safe; its owner serialises access.
class Gossip {
public:
  Gossip(GossipInit init, ControlState &state, RandomSource random);

  /// After a change of members.
  void refreshPeers();
  /// A signal of this process, or one that was learned here first.
  void say(const Signal &signal, TimePoint now);
  /// This process called the platform.
  void noteTry(bool reached, TimePoint now);

  /// To be called about every RumourInterval.
  GossipActions onTick(TimePoint now);
  GossipActions onMessage(const Endpoint &from, const PeerMessage &message,
                          TimePoint now);
  /// Everything above the watermarks in pages of a bounded size.
  std::vector<Page> pagesFor(const Pull &pull, TimePoint now) const;
  /// What a fetch by TCP has brought, joined.
  void onFetched(const Rumour &whole, TimePoint now);
  Pull pullMessage(TimePoint now) const { return {header(now)}; }

  /// When any reader last called the platform, and was last answered.
  TimePoint lastTry() const { return LastTry; }
  TimePoint lastReached() const { return LastReached; }
  size_t peers() const { return Peers.size(); }
  const GossipStats &stats() const { return Stats; }

private:
  PeerHeader header(TimePoint now) const;
  bool takeHeader(const PeerHeader &header, TimePoint now);
  bool isAhead(const PeerHeader &peer) const;
  bool isBehind(const PeerHeader &peer) const;
  void returnSignals(const Endpoint &to, const Rumour &asked, TimePoint now,
                     GossipActions &out);
  void takeRumour(const Rumour &rumour, TimePoint now);
  void takeSignal(const AgedSignal &signal, TimePoint now);
  void tellNews(TimePoint now, GossipActions &out);
  Duration untilNextCompare();
  void compare(TimePoint now, GossipActions &out);
  void answer(const Endpoint &to, const PeerHeader &peer, TimePoint now,
              GossipActions &out);
  void pull(const Endpoint &from, TimePoint now, GossipActions &out);
  void skipFirstImages();
  std::string fit(const PeerMessage &message, const PeerMessage &instead) const;
  bool send(const Endpoint &to, std::string payload, TimePoint now,
            GossipActions &out);
  bool spend(size_t bytes, size_t datagrams, double reservedShare,
             TimePoint now);

  void on(const Endpoint &from, const Digest &m, TimePoint now,
          GossipActions &out);
  void on(const Endpoint &from, const Rumour &m, TimePoint now,
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
  uint64_t ToldConfig = 0; ///< Content that was told, or need not be.
  uint64_t ToldMembers = 0;
  std::vector<Signal> FreshSignals;
  TimePoint NextCompare;
  int FollowUpsDue = 0;
  TimePoint NextRound;
  TimePoint NextPull;
  TimePoint SignalsEqualAt; ///< When a peer last had the same signals.
  TimePoint LastTry = NeverTime;
  TimePoint LastReached = NeverTime;
};

} // namespace daisytack::control
