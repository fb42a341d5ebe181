/// Detects what crashes the backend servers that run requests: a whole request,
/// or a part of prompts that otherwise unlike requests share.
///
/// Such a request can crash every server that starts to run it. Its caller
/// sends it again, under another request id and to any entry, or sends others
/// with the same prompt part, and each attempt takes down a server with all its
/// other requests. A single crash doesn't show which of the server's requests
/// caused it, but several crashes with something in common do. Each entry
/// therefore records which servers crashed while running requests with which
/// signatures (direct/request_signatures.h), shares these records with the
/// other entries, and quarantines a signature once enough servers have crashed
/// under it. All entries refuse requests with it until the quarantine expires.
///
/// Rules that protect harmless requests:
/// - A broken connection counts against a request only until the same start of
///   the server is known to have run later. Servers that return errors, send
///   malformed answers or reject connections still answer other requests.
/// - Servers that crash together, as in the outage of a failure domain, count
///   as one incident. A quarantine needs two incidents, the second of which
///   began after the first was known.
/// - An answer clears the signatures of its request at once on all entries.
///   Signatures with an answer in the last half minute need more evidence.
/// - Of what crashed together, only what explains the crashes best is
///   quarantined (direct/crash_verdict.h).
/// - A part is not accused while no prompts are answered at all.
/// - One entry probes each quarantined part with a single request now and then,
///   less often the more servers crashed; and sooner if other quarantined
///   signatures, which the request doesn't hold, explain all of its crashes, as
///   when two parts always came together.
#pragma once

#include "direct/answer_memory.h"
#include "direct/crash_evidence.h"
#include "direct/crash_reports.h"
#include "direct/crash_verdict.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace daisytack::direct {

struct CrashSuspectSettings {
  /// Number of servers that must have crashed under a signature before it is
  /// quarantined; 0 disables quarantines.
  size_t ServersToQuarantine = 3;
  /// How long a signature is quarantined, and how long a suspect is remembered
  /// after its last crash. After a quarantine has expired, one more crash
  /// starts the next one.
  Duration QuarantineDuration{600'000'000};
  /// Maximum number of suspects; beyond it the one with the least evidence is
  /// dropped.
  size_t MaxSuspects = 2000;
  /// Maximum number of answered signatures in each of two generations: enough
  /// for 30 s at 138 requests per second, twice over.
  size_t MaxAnswers = 8000;
  bool operator==(const CrashSuspectSettings &) const = default;
};

/// The signatures of one request.
using SignatureList = std::span<const Id128>;

/// Thread-safe. A lookup costs one atomic read as long as no server crashes.
class CrashSuspects {
public:
  explicit CrashSuspects(CrashSuspectSettings settings);

  /// The entry starts: it knows neither answers nor quarantines yet, so for a
  /// moment it quarantines no part by its own evidence.
  void onStart(TimePoint now);
  /// Whether there are no suspects and no evidence to share with other entries.
  bool isEmpty() const {
    return ItemCount.load(std::memory_order_acquire) == 0;
  }
  /// Remaining time of the longest quarantine of any of the signatures; empty
  /// if none is quarantined.
  std::optional<Duration> quarantineLeft(SignatureList signatures,
                                         TimePoint now) const;
  /// The quarantined signatures.
  std::vector<Id128> quarantined(TimePoint now) const;
  /// Whether a quarantine of the signature was lifted or disproved recently,
  /// here or on another entry.
  bool wasCleared(const Id128 &signature) const;
  /// The servers that crashed under the signature.
  std::vector<uint64_t> crashedServers(const Id128 &signature) const;
  /// Number of incidents known under the signature.
  size_t incidents(const Id128 &signature) const;

  /// Whether a quarantined request may be sent all the same, to find out
  /// whether its signatures crash servers. Only one entry may call this for a
  /// signature.
  bool takeProbe(SignatureList signatures, TimePoint now);

  // Each of the next four functions returns the signatures that it quarantined.

  /// Records that the connection of an attempt, sent at `sentAt`, broke before
  /// its answer was complete.
  std::vector<Id128> onConnectionBroken(SignatureList signatures,
                                        uint64_t server, TimePoint sentAt,
                                        TimePoint now);
  /// Takes over the reports of another entry.
  std::vector<Id128> onPeerReports(const CrashReports &reports, TimePoint now);
  /// Takes over a quarantine that is recorded in the key-value service, with
  /// the servers that crashed.
  std::vector<Id128> onQuarantineRecord(const Id128 &signature,
                                        const std::vector<uint64_t> &servers,
                                        TimePoint now);

  /// Expires old items. To be called several times a second.
  std::vector<Id128> onTimer(TimePoint now);

  /// Records that a request was answered with success. While isEmpty(), the
  /// caller may leave out signatures that no two requests share.
  void onAnswered(SignatureList signatures, TimePoint now);
  /// Records that the server began to answer a request that was sent at
  /// `sentAt`.
  void onServerAlive(uint64_t server, TimePoint sentAt, TimePoint now);
  /// Returns what is to be sent now, most severe suspects first; it fits into
  /// one datagram. The result is sent to the given share of all entries (0 to
  /// 1); each item is returned until every entry got it several times.
  CrashReports takeReports(double shareOfEntries, TimePoint now);

private:
  /// An answer that other entries are to learn of.
  struct SentAnswer {
    TimePoint At;
    double SendsLeft = 0;
  };

  CrashVerdictSettings verdictSettings() const;
  /// Whether it is time to probe the quarantined part. The delay grows with the
  /// evidence.
  bool isProbeDue(const Id128 &signature, TimePoint now) const;
  bool wasAnsweredLately(const Id128 &signature) const;
  /// Quarantines all signatures for which there is enough evidence.
  std::vector<Id128> convict(TimePoint now);
  /// Lifts quarantines of parts that lost crashes, if others explain the rest.
  void liftWeakened(TimePoint now);
  /// Lifts recent quarantines whose evidence has been disputed since.
  void liftDisputed(TimePoint now);
  /// Lifts the quarantines of signatures whose evidence another one covers.
  void liftCovered(TimePoint now);
  /// Clears the signature, and tells other entries if it was suspected here.
  void clearByAnswer(const Id128 &signature, TimePoint at, TimePoint now);
  /// Takes over one report; appends the signature if that quarantines it.
  void mergeReport(const CrashReport &report, std::vector<Id128> &out,
                   TimePoint now);
  /// Lifts the signature's quarantine if the evidence doesn't suffice for a
  /// signature that was answered lately.
  void reviewAnswered(const Id128 &signature, TimePoint now);
  /// Tells other entries when the signature was last answered.
  void announceAnswer(const Id128 &signature, TimePoint at);
  void updateItemCount();

  const CrashSuspectSettings Settings;
  mutable std::mutex Lock;
  CrashEvidence Evidence;
  AnswerMemory Answers;
  std::unordered_map<Id128, SentAnswer> SentAnswers;
  /// Signatures that others quarantined, but that this entry goes on serving,
  /// as it answered requests with them lately. The next answer settles it.
  std::unordered_set<Id128> Contested;
  /// When this entry last answered a request with prompt parts.
  std::optional<TimePoint> LastPromptAt;
  /// Until when this entry convicts no part.
  std::optional<TimePoint> WarmUpUntil;
  /// Number of items that expire or are to be sent.
  std::atomic<size_t> ItemCount{0};
};

} // namespace daisytack::direct
