/// Which requests end the backend servers that run them.
///
/// A request can crash every server that begins to run it. Its caller sends it
/// again, under another request id and at any entry, and each time a server
/// ends with all that it runs. One crash doesn't tell which of a server's
/// requests is to blame; what several crashes have in common does. So each
/// entry remembers under which requests servers ended, tells the others, and
/// quarantines a request under which enough servers ended: it is refused, by
/// all entries, until the quarantine is over.
///
/// What keeps a harmless request from being accused:
/// - A broken connection speaks against a request only while nothing more is
///   heard from that start of the server. Servers that fail, garble answers or
///   turn connections away go on answering others.
/// - Servers that end together, as a failure domain does, are one occasion. Two
///   are asked for, the second of which began after the first was known.
/// - A request that is answered is cleared at once, everywhere, and no entry
///   that answered it in the last half minute believes a word against it: one
///   that many callers send alike is answered often.
/// - A server that ended under a quarantined request speaks against no other.
#pragma once

#include "daisytack/types.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace daisytack::direct {

struct CrashSuspectSettings {
  /// Servers that must have ended under a request; 0: none is quarantined.
  size_t ServersToQuarantine = 3;
  /// How long a request is quarantined, and how long a suspicion lasts after
  /// its last server. After a quarantine one more server is enough for the
  /// next one.
  Duration QuarantineDuration{600'000'000};
  /// Of requests that are remembered; beyond it the oldest suspicion goes.
  size_t MostSuspects = 2000;
  /// Of answered requests that are remembered: 30 s of 138 a second, twofold.
  size_t MostAnswered = 8000;
  bool operator==(const CrashSuspectSettings &) const = default;
};

/// Something that happened so many milliseconds before it is told, to one
/// server (ServerRef::key) or one request (requestIdentity).
template <class Name> struct Aged {
  Name What{};
  uint32_t AgoMs = 0;
  bool operator==(const Aged &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(What, AgoMs); }
};

/// What one entry knows of one suspect, as entries tell one another.
struct CrashReport {
  Id128 Request;
  /// Occasions, each of which began after the one before was known.
  uint32_t Occasions = 0;
  std::vector<Aged<uint64_t>> Servers; ///< That ended.
  int64_t QuarantineLeft = 0;          ///< Microseconds; 0: not quarantined.
  bool operator==(const CrashReport &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Request, Occasions, Servers, QuarantineLeft);
  }
};

/// By datagram, when there is something to tell. Each is told several times, as
/// datagrams are lost; hearing one twice, or in another order, changes nothing.
struct CrashReports {
  std::vector<CrashReport> Suspects;
  std::vector<Aged<Id128>> Cleared;   ///< Requests that were answered.
  std::vector<Aged<uint64_t>> Living; ///< Servers that were heard from.
  bool isEmpty() const {
    return Suspects.empty() && Cleared.empty() && Living.empty();
  }
  bool operator==(const CrashReports &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Suspects, Cleared, Living);
  }
};

/// Thread-safe. While no server ends, a look costs one atomic read.
class CrashSuspects {
public:
  explicit CrashSuspects(CrashSuspectSettings settings) : Settings(settings) {}

  /// Nothing is known against any request.
  bool isEmpty() const { return Count.load(std::memory_order_acquire) == 0; }
  /// Occasions that are known against the request; to be remembered with an
  /// attempt that is sent now.
  uint32_t incidents(const Id128 &request) const;
  /// How much longer the request is refused; nothing when it isn't.
  std::optional<Duration> quarantineLeft(const Id128 &request,
                                         TimePoint now) const;
  /// Requests that are quarantined.
  std::vector<Id128> quarantinedRequests(TimePoint now) const;
  /// Whether the request was answered a short while ago, here or elsewhere.
  bool wasCleared(const Id128 &request, TimePoint now) const;

  // Each of these returns the requests that are quarantined by it.

  /// An attempt's connection broke before its answer was whole. So many
  /// occasions were known against the request when it was sent.
  std::vector<Id128> onConnectionBroken(const Id128 &request, uint64_t server,
                                        uint32_t occasionsWhenSent,
                                        TimePoint now);
  std::vector<Id128> onPeerReports(const CrashReports &reports, TimePoint now);
  /// The key-value service holds a record of its quarantine.
  std::vector<Id128> onQuarantineRecord(const Id128 &request, TimePoint now);

  /// The request was answered. Its caller may leave out those that nobody sends
  /// alike, while nothing is known against any.
  void onAnswered(const Id128 &request, TimePoint now);
  /// An answer's head came from the server.
  void onServerAlive(uint64_t server, TimePoint now);
  /// Forgets what is too old. Call a few times a second.
  void onTimer(TimePoint now);
  /// What the others are to be told now, a datagram's worth; the gravest first.
  /// Each piece is told to every entry several times; a call reaches this share
  /// of them.
  CrashReports takeReports(double shareOfEntries, TimePoint now);

private:
  struct EndedServer {
    uint64_t Name = 0;
    TimePoint At; ///< Its end.
  };
  struct Suspect {
    uint32_t Occasions = 0;
    std::vector<EndedServer> Servers;
    std::optional<TimePoint> QuarantinedUntil;
    TimePoint LastAt; ///< A server ended, or the quarantine did.
    TimePoint TellFrom;
    double TellsLeft = 0; ///< To every entry.
  };
  /// Something that speaks for a request or a server.
  struct Relief {
    TimePoint At; ///< What speaks against it and is older is dropped.
    double TellsLeft = 0;
  };

  static void addServer(Suspect &suspect, uint64_t server, TimePoint endedAt);
  /// Takes over what another entry saw, but for what is refuted.
  void merge(const CrashReport &report, TimePoint now);
  /// Whether the server was heard from, or the request answered, since.
  bool isRefuted(const Id128 &request, uint64_t server,
                 TimePoint endedAt) const;
  bool isBlamedOnAnother(const Id128 &request, uint64_t server) const;
  /// Quarantines the request if enough speaks against it.
  std::vector<Id128> judge(const Id128 &request, TimePoint now);
  void quarantine(const Id128 &request, Duration left, TimePoint now);
  /// The ends of its servers are explained: they speak against no other.
  void acquitOthers(const Id128 &guilty);
  /// Forgets suspects against which nothing speaks any more.
  void dropUnfounded();
  /// The server had not ended by then; returns whether that was believed. A
  /// quarantine that rested on it is lifted.
  bool dropServer(uint64_t server, TimePoint heardAt);
  void clear(const Id128 &request, double tells, TimePoint at);
  void live(uint64_t server, double tells, TimePoint at);
  bool wasAnswered(const Id128 &request) const;
  void forgetAnswers(TimePoint now);
  void tell(Suspect &suspect, TimePoint from);
  void makeRoom();
  void count();

  CrashSuspectSettings Settings;
  mutable std::mutex Lock;
  std::unordered_map<Id128, Suspect> Suspects;
  std::unordered_map<Id128, Relief> Cleared;
  std::unordered_map<uint64_t, Relief> Living;
  std::unordered_set<Id128> Answered;       ///< Since the moment below.
  std::unordered_set<Id128> AnsweredBefore; ///< In the time before that.
  TimePoint AnsweredSince;
  std::atomic<size_t> Count{0};
};

} // namespace daisytack::direct
