/// The crashes of backend servers that are known under each signature of
/// requests (direct/request_signatures.h), and what disproves them.
///
/// A connection that breaks counts as a crash until the same start of the
/// server is known to have run later. An answer disproves all earlier crashes
/// under the signatures of its request.
#pragma once

#include "direct/crash_reports.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace daisytack::direct {

/// Minimum number of incidents under a signature that is quarantined; with one,
/// an outage of several servers at once would quarantine requests.
constexpr size_t MinIncidents = 2;

struct CrashedServer {
  uint64_t Key = 0; ///< ServerRef::key of the server.
  TimePoint At;     ///< When a connection to it broke.
  /// Another connection to the server broke later, although a crash breaks all
  /// at once: the server may have reset this one, or the entry that noticed the
  /// other one was late.
  bool IsDisputed = false;
  /// Known from the record of a quarantine, which doesn't tell when it was.
  bool IsRecorded = false;
  auto operator<=>(const CrashedServer &) const = default;
};

/// A signature under which servers crashed.
struct CrashSuspect {
  /// When each incident became known here. Servers that crash together, as in
  /// the outage of a failure domain, are one incident.
  std::vector<TimePoint> IncidentsKnownAt;
  std::vector<CrashedServer> CrashedServers;
  std::optional<TimePoint> QuarantinedUntil;
  /// The quarantine was read from a record, which doesn't tell when it began.
  bool IsEndAssumed = false;
  /// Time of the last crash, or of the last start or end of a quarantine.
  TimePoint LastAt;
  /// When this entry last let a quarantined request through to test it.
  std::optional<TimePoint> ProbedAt;
  TimePoint SendFrom;   ///< No report is sent before this time.
  double SendsLeft = 0; ///< Times that every entry is still to get its report.

  size_t undisputed() const;
  bool isQuarantined() const { return QuarantinedUntil.has_value(); }
  bool hasCrashed(uint64_t server) const;
};

using CrashSuspectMap = std::unordered_map<Id128, CrashSuspect>;

/// Not thread-safe.
class CrashEvidence {
public:
  /// `maxSuspects`: beyond it, the suspect with the least evidence is dropped.
  explicit CrashEvidence(size_t maxSuspects) : MaxSuspects(maxSuspects) {}

  const CrashSuspectMap &suspects() const { return Suspects; }
  const CrashSuspect *find(const Id128 &signature) const;
  /// Number of items that onTimer() may expire.
  size_t size() const;
  /// Whether the signature was cleared recently.
  bool wasCleared(const Id128 &signature) const {
    return Cleared.contains(signature);
  }

  /// Records that the connection of an attempt, which was sent at `sentAt`,
  /// broke now.
  void onCrash(const Id128 &signature, uint64_t server, TimePoint sentAt,
               TimePoint now);
  /// Adds the crashes in another entry's report that are not disproved. Returns
  /// whether none is.
  bool merge(const CrashReport &report, TimePoint now);
  /// Takes over a recorded quarantine with its crashes. Their times are not
  /// known, so they dispute no others. The quarantine ends at `until`, unless
  /// another entry reports an earlier time.
  void quarantineByRecord(const Id128 &signature,
                          const std::vector<uint64_t> &servers,
                          size_t incidents, TimePoint until, TimePoint now);
  /// Another entry has reported when the quarantine ends.
  void onReportedEnd(const Id128 &signature, TimePoint until);
  /// A request with the signature was answered at `at`, which disproves the
  /// crashes before. Lifts a quarantine that rests on any of them.
  void clear(const Id128 &signature, TimePoint at, TimePoint now);
  /// Ends a quarantine for want of evidence.
  void lift(const Id128 &signature, TimePoint now);
  /// Another entry has lifted the quarantine. Lifts it here as well if less
  /// than `servers` crashes are known.
  void onLifted(const Id128 &signature, size_t servers, TimePoint now);
  /// The server was running at `at`, as this entry has seen itself. Quarantines
  /// that have less than `servers` crashes left are lifted.
  void onServerAlive(uint64_t server, TimePoint at, size_t servers,
                     TimePoint now);
  /// The server was running at `at`, as another entry has seen.
  void onServerReportedAlive(uint64_t server, TimePoint at, size_t servers,
                             TimePoint now);
  void quarantine(const Id128 &signature, TimePoint until, TimePoint now);
  void onProbe(const Id128 &signature, TimePoint now);
  /// Ends quarantines; `serversKept` of the crashes of each stay. Forgets
  /// suspects `retention` after their last crash, and other old items.
  void onTimer(Duration retention, size_t serversKept, TimePoint now);
  /// Reports that are due, most severe first, as many as fit into a datagram.
  /// `share` is the share of all entries that get them.
  std::vector<CrashReport> takeReports(double share, TimePoint now);
  /// Servers that turned out to be running, to be reported.
  std::vector<PastEvent<uint64_t>> takeLiveServers(double share, TimePoint now);
  /// Signatures whose quarantine was lifted here, to be reported.
  std::vector<Id128> takeLifted(double share);
  /// Whether more servers are known under the signature than a report names.
  bool knowsMoreThan(const CrashReport &report) const;
  /// Sends the report of the signature again.
  void repeatReport(const Id128 &signature, TimePoint now);
  /// Stops sending the report of the signature.
  void stopReport(const Id128 &signature);
  void dropEmptySuspects();
  /// Quarantined signatures that have lost crashes since the last call, as
  /// their servers turned out to be running.
  std::vector<Id128> takeWeakened() { return std::exchange(Weakened, {}); }

private:
  struct LiveServer {
    TimePoint At; ///< The server was running at this time.
    double SendsLeft = 0;
  };
  struct Clearance {
    TimePoint At;    ///< Crashes up to this time are disproved.
    TimePoint Since; ///< When this entry learned of it.
    double SendsLeft = 0;
  };

  static void addServer(CrashSuspect &suspect, const CrashedServer &crashed);
  void addCrash(CrashSuspect &suspect, uint64_t server, TimePoint crashedAt);
  /// Disputes crashes of the server that were long before this break.
  void onBreak(uint64_t server, TimePoint at);
  /// Removes the server's crashes up to `at`; returns whether there were any.
  bool removeCrashesOf(uint64_t server, TimePoint at, size_t servers,
                       TimePoint now);
  bool isDisproved(const Id128 &signature, uint64_t server,
                   TimePoint crashedAt) const;
  void evictIfFull();

  size_t MaxSuspects;
  CrashSuspectMap Suspects;
  std::vector<Id128> Weakened; ///< See takeWeakened().
  std::unordered_map<Id128, Clearance> Cleared;
  std::unordered_map<uint64_t, LiveServer> LiveServers;
  /// When the latest known connection to each server broke.
  std::unordered_map<uint64_t, TimePoint> LatestBreaks;
};

} // namespace daisytack::direct
