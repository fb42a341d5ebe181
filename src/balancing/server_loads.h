/// Load of each backend server: the requests in flight from this entry, plus
/// what the other entries last reported of theirs. Tracked per start of a
/// server: a server that restarts under the same id is idle, and is not avoided
/// for what happened before.
///
/// Each placement reads the load of every server of a service, so the reports
/// of the other entries are kept as one sum per server. The cost of a read does
/// not depend on the number of entries.
#pragma once

#include "balancing/server_silence.h"
#include "daisytack/types.h"
#include "direct/server_start.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace daisytack::balancing {

struct ServerLoadSettings {
  /// A server with requests in flight that has sent nothing for this time is
  /// avoided. Several times the longest normal wait for a first token.
  Duration InactivityTimeout{1'200'000};
  /// How long a server is avoided after it rejected a request or refused a
  /// connection. Doubles with each consecutive rejection, up to the maximum.
  Duration RejectBackoff{250'000};
  Duration MaxRejectBackoff{2'000'000};
  /// How long a server is avoided after another instance answered at its
  /// address. Its record has expired by then: three heartbeats of 1.2 s, plus
  /// the delay until this entry learns of it.
  Duration ReplacedBackoff{4'000'000};
  /// A report from another entry counts for this number of its reporting
  /// periods, as some datagrams are lost, but at most for MaxPeerTtl.
  int64_t PeerTtlPeriods = 5;
  Duration MaxPeerTtl{10'000'000};
  /// Upper bound on a server's Retry-After. A server that sent a longer one by
  /// mistake gets requests again after this time.
  Duration MaxRetryAfter{3'600'000'000};
  /// How long it is remembered that a server is leaving: long enough for the
  /// server to have ended.
  Duration LeavingTtl{3'600'000'000};
  /// How long this entry reports to other entries that a server is leaving;
  /// long enough for several datagrams.
  Duration LeavingGossipTime{3'000'000};
  /// How long a lost server is avoided. A connection to it takes as long to
  /// fail as one to any other that is down.
  Duration LostBackoff{2'000'000};
  /// Maximum number of other entries whose reports are kept, and of servers
  /// that are remembered as leaving. Reports come by datagrams, which anybody
  /// can send.
  size_t MaxPeers = 2048;
  size_t MaxLeaving = 16'384;
  bool operator==(const ServerLoadSettings &) const = default;
};

/// Load and state of one server at one moment.
struct ServerLoadView {
  uint32_t Running = 0; ///< Requests in flight from all entries.
  /// Prompt tokens of requests that have not got their first byte yet.
  uint64_t WaitingTokens = 0;
  /// Part of WaitingTokens that belongs to requests of priority 0.
  uint64_t UrgentTokens = 0;
  uint64_t HeldTokens = 0; ///< Prompt tokens of all requests in flight.
  bool IsAvoided = false;  ///< Unresponsive, or rejected a request recently.
  bool IsLeaving = false;  ///< The server announced that it will shut down.
  /// End of the server's own Retry-After: nothing is sent to it before. Not in
  /// the future when there is none.
  TimePoint RetryAt{};
  /// When this entry heard that the server loads new weights; nullopt if it
  /// does not.
  std::optional<TimePoint> LoadingSince;
  auto operator<=>(const ServerLoadView &) const = default;
};

/// Load that one request puts on a server.
struct RequestLoad {
  /// Implicit, as most requests that are not urgent are given by their tokens.
  RequestLoad(uint64_t tokens, bool isUrgent = false,
              Duration maxSilence = Duration::zero(), TimePoint sentAt = {})
      : Tokens(tokens), IsUrgent(isUrgent), MaxSilence(maxSilence),
        SentAt(sentAt) {}

  uint64_t Tokens;       ///< Of the prompt.
  bool IsUrgent = false; ///< The request has priority 0.
  /// How long its server may send nothing (balancing/server_silence.h); zero:
  /// ServerLoadSettings::InactivityTimeout applies alone.
  Duration MaxSilence;
  TimePoint SentAt; ///< Set if MaxSilence is.
  auto operator<=>(const RequestLoad &) const = default;
};

/// Load that one entry puts on one server, and what the entry has observed of
/// the server, as passed on between entries. The counts are those of
/// ServerLoadView, for that entry alone.
struct LoadShare {
  uint64_t ServerKey = 0; ///< ServerRef::key() of one start of a server.
  uint32_t Running = 0;
  uint32_t WaitingTokens = 0;
  uint32_t HeldTokens = 0;
  // One byte each, so that the loads of 40 servers fit into a datagram beside
  // the delays of 32 links.
  /// Part of WaitingTokens that belongs to requests of priority 0, in units of
  /// 1/255.
  uint8_t UrgentPart = 0;
  /// Time since the server last sent something to this entry, in units of
  /// 10 ms, at least 1; 0 and 255: unknown.
  uint8_t SilentTime = 0;
  auto operator<=>(const LoadShare &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(ServerKey, Running, WaitingTokens, HeldTokens, UrgentPart, SilentTime);
  }
};

/// Thread-safe.
class ServerLoads {
public:
  explicit ServerLoads(ServerLoadSettings settings) : Settings(settings) {}

  void onSent(direct::ServerRef server, RequestLoad request, TimePoint now);
  /// The server sent at least one byte.
  void onActivity(direct::ServerRef server, TimePoint now);
  /// The prompt was prefilled: its tokens are no longer waiting. The request is
  /// still running.
  void onFirstByte(direct::ServerRef server, RequestLoad request,
                   TimePoint now);
  /// This entry stops reading the answer, whose first byte it has: that the
  /// server sends nothing shows nothing about it. Ends with onResumed(), which
  /// must be called before onEnded().
  void onPaused(direct::ServerRef server, RequestLoad request);
  /// `request` has the present time as the time at which it was sent.
  void onResumed(direct::ServerRef server, RequestLoad request, TimePoint now);
  /// The request has ended. `hadFirstByte` is true if onFirstByte() was called
  /// for it.
  void onEnded(direct::ServerRef server, RequestLoad request, bool hadFirstByte,
               TimePoint now);
  /// The server rejected a request or refused a connection for it.
  void onRejected(direct::ServerRef server, TimePoint now);
  /// The server's answer requires this entry to send it no requests for this
  /// time.
  void onRetryAfter(direct::ServerRef server, Duration time, TimePoint now);
  /// The server, given by its ServerRef::key(), announced that it is leaving,
  /// or another entry reported so. Returns whether this was not known before.
  bool onLeaving(uint64_t server, TimePoint now);
  /// Another instance answered at the server's address: the server no longer
  /// exists.
  void onReplaced(direct::ServerRef server, TimePoint now);
  /// The server, given by its ServerRef::key(), sends nothing and establishes
  /// no connections.
  void onLost(uint64_t server, TimePoint now);
  /// No requests are to be sent to the server until then, if others are left.
  void avoidUntil(direct::ServerRef server, TimePoint until);
  /// The server is loading new weights, or is about to, and rejects requests.
  /// It is avoided until the given time, unless onLoadEnded() is called
  /// first.
  void onLoading(direct::ServerRef server, TimePoint until, TimePoint now);
  /// The server has loaded its new weights, or its load was postponed.
  void onLoadEnded(direct::ServerRef server);
  /// Replaces the earlier report of another entry. That entry sends its next
  /// report after the period.
  void onPeerReport(const std::string &entry,
                    const std::vector<LoadShare> &shares, Duration period,
                    TimePoint now);

  ServerLoadView view(direct::ServerRef server, TimePoint now) const;
  /// This entry's own load on each server, for the other entries.
  std::vector<LoadShare> ownLoads(TimePoint now) const;
  /// Whether this entry received something from the server, given by its
  /// ServerRef::key(), since that time.
  bool hasHeardSince(uint64_t server, TimePoint since) const;
  /// Servers with requests of this entry in flight, and which are silent.
  BusyServers busyServers(TimePoint now) const;
  /// Keys of the servers that became known as leaving within
  /// LeavingGossipTime, for the other entries.
  std::vector<uint64_t> recentlyLeaving(TimePoint now) const;
  /// Drops servers without requests in flight that have not been used since
  /// `usedBefore`.
  void forgetIdle(TimePoint usedBefore);

private:
  struct State {
    uint32_t Running = 0;
    uint32_t Paused = 0; ///< Of the running requests.
    uint64_t WaitingTokens = 0;
    uint64_t UrgentTokens = 0;
    uint64_t HeldTokens = 0;
    /// When the server last sent something, or when a request was sent to it
    /// while no other was in flight, or an answer was resumed, whichever is
    /// latest.
    TimePoint LastActivity;
    /// When this entry last received something from the server.
    TimePoint HeardAt;
    /// When another entry did, as far as it has reported.
    TimePoint PeerHeardAt;
    /// MaxSilence and SentAt of the requests in flight that have them;
    /// InactivityTimeout in place of MaxSilence after the first byte.
    std::multiset<std::pair<Duration, TimePoint>> Waits;
    TimePoint LastUsed;
    TimePoint AvoidUntil;
    TimePoint RetryAt;
    /// When the latest load of weights became known; counts until AvoidUntil.
    std::optional<TimePoint> LoadingSince;
    uint32_t Rejections = 0; ///< Consecutive ones.
  };
  struct PeerReport {
    TimePoint ExpiresAt;
    std::vector<LoadShare> Shares;
  };
  /// Sum of the unexpired reports of all other entries on one server.
  struct PeerSum {
    uint32_t Running = 0;
    uint64_t WaitingTokens = 0;
    uint64_t UrgentTokens = 0;
    uint64_t HeldTokens = 0;
    uint32_t Entries = 0; ///< Number of reports in the sum.
  };

  /// Whether the server has sent nothing for longer than its requests allow.
  static bool isSilent(const State &state, TimePoint now);
  static void removeWait(State &state, Duration wait, TimePoint sentAt);
  void noteHeard(State &state, TimePoint now);
  /// The request's prompt no longer waits for its prefill.
  static void removeWaiting(State &state, RequestLoad request);
  void addToSums(const PeerReport &report);
  /// Drops the entry's report, and subtracts it from the sums.
  void removeReport(const std::string &entry) const;
  void dropExpired(TimePoint now) const;

  ServerLoadSettings Settings;
  mutable std::mutex Lock;
  std::unordered_map<uint64_t, State> Servers; ///< By ServerRef::key().
  /// When servers became known as leaving, by ServerRef::key().
  std::unordered_map<uint64_t, TimePoint> LeavingSince;
  // Mutable, since view() drops expired reports.
  mutable std::unordered_map<std::string, PeerReport> Reports; ///< By entry.
  mutable std::unordered_map<uint64_t, PeerSum> Sums; ///< By ServerKey.
  TimePoint HeardAt; ///< When something was last received from any server.
  /// Expiry times of the reports, with their entries.
  mutable std::set<std::pair<TimePoint, std::string>> Expiries;
};

} // namespace daisytack::balancing
