/// Detects requests that crash the backend servers that run them.
///
/// A request can crash every server that starts to run it. Its caller sends it
/// again, under another request id and to any entry, and each attempt takes
/// down a server with all its other requests. A single crash doesn't show which
/// of the server's requests caused it, but several crashes with a request in
/// common do. Each entry therefore records which servers crashed while running
/// which requests, shares these records with the other entries, and quarantines
/// a request once enough servers have crashed under it. All entries refuse the
/// request until the quarantine expires.
///
/// Rules that protect harmless requests:
/// - A broken connection counts against a request only while nothing more is
///   received from the same start of the server. Servers that return errors,
///   send malformed answers or reject connections still answer other requests.
/// - Servers that crash together, as in the outage of a failure domain, count
///   as one incident. A quarantine needs two incidents, the second of which
///   began after the first was known.
/// - An answer clears the request at once on all entries, and an entry that
///   answered the request within the last half minute ignores all reports
///   against it: a request that many callers send identically is answered
///   often.
/// - The crash of a server under a quarantined request counts against no other
///   request.
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
  /// Number of servers that must have crashed under a request before it is
  /// quarantined; 0 disables quarantines.
  size_t ServersToQuarantine = 3;
  /// How long a request is quarantined, and how long a suspect is remembered
  /// after its last crash. After a quarantine has expired, one more crash
  /// starts the next one.
  Duration QuarantineDuration{600'000'000};
  /// Maximum number of suspects; beyond it the oldest one that is not
  /// quarantined is dropped.
  size_t MaxSuspects = 2000;
  /// Maximum number of answered requests in each of two generations: enough for
  /// 30 s at 138 requests per second, twice over.
  size_t MaxAnswers = 8000;
  bool operator==(const CrashSuspectSettings &) const = default;
};

/// An event in the past that concerns a server (by ServerRef::key) or a request
/// (by requestIdentity), with its age at the time of sending.
template <class Key> struct PastEvent {
  Key Subject{};
  uint32_t AgeMs = 0;
  bool operator==(const PastEvent &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Subject, AgeMs); }
};

/// The state of one suspected request at one entry, as sent to the other
/// entries.
struct CrashReport {
  Id128 Request;
  /// Number of incidents, each of which began after the previous one was known.
  uint32_t Incidents = 0;
  std::vector<PastEvent<uint64_t>> CrashedServers;
  /// Remaining time of the quarantine in microseconds; 0: not quarantined.
  int64_t QuarantineLeftUs = 0;
  bool operator==(const CrashReport &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Request, Incidents, CrashedServers, QuarantineLeftUs);
  }
};

/// Message that entries send to each other by datagram when there is anything
/// to report. Each item is sent several times because datagrams get lost.
/// Receiving items twice or out of order has no effect.
struct CrashReports {
  std::vector<CrashReport> Suspects;
  std::vector<PastEvent<Id128>> ClearedRequests; ///< Requests with an answer.
  std::vector<PastEvent<uint64_t>> LiveServers;  ///< Servers that sent data.
  bool isEmpty() const {
    return Suspects.empty() && ClearedRequests.empty() && LiveServers.empty();
  }
  bool operator==(const CrashReports &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Suspects, ClearedRequests, LiveServers);
  }
};

/// Thread-safe. A lookup costs one atomic read as long as no server crashes.
class CrashSuspects {
public:
  explicit CrashSuspects(CrashSuspectSettings settings) : Settings(settings) {}

  /// Whether there are no suspects and no evidence to share with other entries.
  bool isEmpty() const {
    return ItemCount.load(std::memory_order_acquire) == 0;
  }
  /// Number of incidents known against the request. The caller stores it with
  /// each attempt that it sends and passes it to onConnectionBroken().
  uint32_t incidents(const Id128 &request) const;
  /// Remaining time of the request's quarantine; empty if the request is not
  /// quarantined.
  std::optional<Duration> quarantineLeft(const Id128 &request,
                                         TimePoint now) const;
  /// Identities of the requests in quarantine.
  std::vector<Id128> quarantinedRequests(TimePoint now) const;
  /// Whether the request was cleared recently, here or on another entry: it was
  /// answered, or servers counted as crashed by it turned out to be running.
  bool wasCleared(const Id128 &request, TimePoint now) const;

  // Each of the next three functions returns the requests that it quarantined.

  /// Records that the connection of an attempt broke before its answer was
  /// complete. The attempt was sent when incidents() was incidentsWhenSent.
  std::vector<Id128> onConnectionBroken(const Id128 &request, uint64_t server,
                                        uint32_t incidentsWhenSent,
                                        TimePoint now);
  /// Takes over the reports of another entry.
  std::vector<Id128> onPeerReports(const CrashReports &reports, TimePoint now);
  /// Takes over a quarantine that is recorded in the key-value service.
  std::vector<Id128> onQuarantineRecord(const Id128 &request, TimePoint now);

  /// Records that the request was answered. While isEmpty(), the caller may
  /// skip this for requests that no two callers send identically.
  void onAnswered(const Id128 &request, TimePoint now);
  /// Records that the head of an answer arrived from the server.
  void onServerAlive(uint64_t server, TimePoint now);
  /// Expires old items. To be called several times a second.
  void onTimer(TimePoint now);
  /// Returns what is to be sent now, most severe suspects first; it fits into
  /// one datagram. The result is sent to the given share of all entries (0 to
  /// 1); each item is returned until every entry got it several times.
  CrashReports takeReports(double shareOfEntries, TimePoint now);

private:
  struct CrashedServer {
    uint64_t Key = 0; ///< ServerRef::key of the server.
    TimePoint At;     ///< Time of the crash.
  };
  /// A request under which servers crashed. SendsLeft counts how often its
  /// report is still to be sent to every entry.
  struct Suspect {
    uint32_t Incidents = 0;
    std::vector<CrashedServer> CrashedServers;
    std::optional<TimePoint> QuarantinedUntil;
    /// Time of the last crash, or of the last start or end of a quarantine.
    TimePoint LastAt;
    TimePoint SendFrom; ///< No report is sent before this time.
    double SendsLeft = 0;
  };
  /// Evidence that clears a request or shows that a server is running.
  /// SendsLeft is the number of times that it is still to be sent to every
  /// entry.
  struct Refutation {
    /// Time of the answer or of the data that the server sent. It disproves
    /// earlier crashes.
    TimePoint At;
    double SendsLeft = 0;
  };

  static void addCrashedServer(Suspect &suspect, uint64_t server,
                               TimePoint crashedAt);
  /// Adds the crashes in another entry's report, except those that are
  /// disproved.
  void merge(const CrashReport &report, TimePoint now);
  /// Whether the crash is disproved: the request was answered later, or the
  /// server sent data later, or another quarantined request explains the crash.
  bool isRefuted(const Id128 &request, uint64_t server,
                 TimePoint crashedAt) const;
  /// Whether the server crashed under another request that is quarantined.
  bool isBlamedOnAnother(const Id128 &request, uint64_t server) const;
  /// Quarantines the request if enough servers crashed in enough incidents.
  std::vector<Id128> quarantineIfDue(const Id128 &request, TimePoint now);
  void quarantine(const Id128 &request, Duration left, TimePoint now);
  /// Removes the crashes that the culprit explains from all other suspects.
  void removeExplainedCrashes(const Id128 &culprit);
  /// Removes suspects that have no crashes left and are not quarantined.
  void dropEmptySuspects();
  /// Removes the server's crashes that are disproved because it was running at
  /// aliveAt, and lifts quarantines that depended on them. Returns whether
  /// there were any.
  bool removeCrashesOf(uint64_t server, TimePoint aliveAt);
  /// Removes the request's crashes up to a time; the evidence is sent to all
  /// entries the given number of times.
  void clearRequest(const Id128 &request, double sends, TimePoint at);
  /// Records that the server was running at a time; the evidence is sent to all
  /// entries the given number of times.
  void markAlive(uint64_t server, double sends, TimePoint at);
  /// Whether this entry answered the request within the last half minute or so.
  bool wasAnswered(const Id128 &request) const;
  /// Starts a new generation of answers when the current one is old or full.
  void rotateAnswers(TimePoint now);
  /// Schedules the suspect's report for sending from a time on.
  void scheduleReport(Suspect &suspect, TimePoint from);
  void evictIfFull();
  void updateItemCount();

  CrashSuspectSettings Settings;
  mutable std::mutex Lock;
  std::unordered_map<Id128, Suspect> Suspects;
  std::unordered_map<Id128, Refutation> ClearedRequests;
  std::unordered_map<uint64_t, Refutation> LiveServers;
  /// Requests answered by this entry since RecentAnswersSince.
  std::unordered_set<Id128> RecentAnswers;
  /// Requests answered by this entry in the generation before.
  std::unordered_set<Id128> OlderAnswers;
  TimePoint RecentAnswersSince;
  /// Total size of Suspects, ClearedRequests and LiveServers.
  std::atomic<size_t> ItemCount{0};
};

} // namespace daisytack::direct
