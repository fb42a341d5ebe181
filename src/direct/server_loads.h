/// How much work is under way at each backend server: this entry's own, and
/// what the other entries last said of theirs. Kept apart by start: a server
/// that starts again under its id is idle, and not avoided for what was before.
///
/// A choice looks at every server of a service, so what the others said is kept
/// as one sum a server: one look costs the same whether five entries speak or a
/// thousand.
#pragma once

#include "daisytack/types.h"
#include "direct/server_start.h"

#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace daisytack::direct {

struct ServerLoadSettings {
  /// A server that has said nothing for so long while an answer is due is
  /// avoided: several times the longest usual wait for a first token.
  Duration SilenceLimit{1'200'000};
  /// After a server turned a request away, or took no connection, it is avoided
  /// for so long; doubled by each further time in a row, up to the longest.
  Duration RejectPause{250'000};
  Duration LongestRejectPause{2'000'000};
  /// A server at whose address another instance answered is avoided until its
  /// record has lapsed: three heartbeats of 1.2 s, and its way here.
  Duration ReplacedPause{4'000'000};
  /// What another entry said counts for so many of its periods, as datagrams
  /// are lost now and then, and at most for so long.
  int64_t PeerPeriods = 5;
  Duration LongestPeerMemory{10'000'000};
  /// A server may close itself to this entry for so long at most: one that asks
  /// for more is asked once more by then, in case that it erred.
  Duration LongestClosing{3'600'000'000};
  /// That a server leaves is remembered for so long; it is gone by then.
  Duration LeavingMemory{3'600'000'000};
  /// The others are told for so long that a server leaves: some datagrams.
  Duration LeavingNews{3'000'000};
  bool operator==(const ServerLoadSettings &) const = default;
};

/// Of one server, at one moment.
struct ServerLoadView {
  uint32_t Running = 0;       ///< Requests, over all entries.
  uint64_t WaitingTokens = 0; ///< Of prompts without a first byte.
  uint64_t HeldTokens = 0;    ///< Of the prompts of all running requests.
  bool IsAvoided = false;     ///< Silent, or turned a request away just now.
  bool IsLeaving = false;     ///< By its own word: nothing new is sent to it.
  /// The same until then, where it is in the future.
  TimePoint RetryAt{};
  auto operator<=>(const ServerLoadView &) const = default;
};

/// One server's load from one entry, as entries tell one another.
struct LoadShare {
  uint64_t Name = 0; ///< ServerRef::key of one start of a server.
  uint32_t Running = 0;
  uint32_t WaitingTokens = 0;
  uint32_t HeldTokens = 0;
  auto operator<=>(const LoadShare &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Name, Running, WaitingTokens, HeldTokens);
  }
};

/// Thread-safe.
class ServerLoads {
public:
  explicit ServerLoads(ServerLoadSettings settings) : Settings(settings) {}

  void onSent(ServerRef server, uint64_t tokens, TimePoint now);
  /// Any byte came from the server.
  void onActivity(ServerRef server, TimePoint now);
  /// The tokens of a request that still runs are read.
  void onFirstByte(ServerRef server, uint64_t tokens, TimePoint now);
  /// The request is over; whether its prompt was read.
  void onEnded(ServerRef server, uint64_t tokens, bool wasRead, TimePoint now);
  /// It turned a request away, or took no connection for it.
  void onRejected(ServerRef server, TimePoint now);
  /// The server said that it wants nothing from this entry for so long.
  void onRetryAfter(ServerRef server, Duration time, TimePoint now);
  /// The server said, or another entry heard, that it leaves; whether that is
  /// news.
  bool onLeaving(uint64_t server, TimePoint now);
  /// Another instance answered at its address: it is gone.
  void onReplaced(ServerRef server, TimePoint now);
  /// The server is taking new weights and turns requests away until then.
  void avoidUntil(ServerRef server, TimePoint until);
  /// It has taken them.
  void onWeightsLoaded(ServerRef server);
  /// What another entry has under way; replaces what it said before. It speaks
  /// again after the period.
  void onPeerReport(const std::string &entry,
                    const std::vector<LoadShare> &shares, Duration period,
                    TimePoint now);

  ServerLoadView view(ServerRef server, TimePoint now) const;
  /// This entry's own, for the others.
  std::vector<LoadShare> ownLoads() const;
  /// Servers of which this entry heard lately that they leave, for the others.
  std::vector<uint64_t> recentlyLeaving(TimePoint now) const;
  /// Forgets servers without running requests that were not used since.
  void forgetIdle(TimePoint usedBefore);

private:
  struct State {
    uint32_t Running = 0;
    uint64_t WaitingTokens = 0;
    uint64_t HeldTokens = 0;
    TimePoint LastHeard; ///< Or when it was first asked after a quiet time.
    TimePoint LastUsed;
    TimePoint AvoidUntil;
    TimePoint RetryAt;
    uint32_t Rejections = 0; ///< In a row.
  };
  struct Peer {
    TimePoint Until; ///< It counts.
    std::vector<LoadShare> Shares;
  };
  /// Of all other entries that count.
  struct Sum {
    uint32_t Running = 0;
    uint64_t WaitingTokens = 0;
    uint64_t HeldTokens = 0;
    uint32_t Entries = 0;
  };

  void add(const Peer &peer);
  /// Takes it off the sums.
  void remove(const std::string &entry) const;
  void dropLapsed(TimePoint now) const;

  ServerLoadSettings Settings;
  mutable std::mutex Lock;
  std::unordered_map<uint64_t, State> Servers;
  std::unordered_map<uint64_t, TimePoint> Leaving; ///< Since when.
  // Whoever looks first drops what has lapsed.
  mutable std::unordered_map<std::string, Peer> Peers;
  mutable std::unordered_map<uint64_t, Sum> Sums;
  mutable std::set<std::pair<TimePoint, std::string>> Lapses; ///< Of peers.
};

} // namespace daisytack::direct
