#include "direct/crash_suspects.h"

#include "direct/request_signatures.h"

#include <algorithm>

namespace daisytack::direct {

namespace {

/// Answers are remembered for one to two times this duration, longer than the
/// gap between two answers to a request that many callers send identically.
constexpr Duration AnswerRetention{30'000'000};
/// An answer may be read this long after its server has crashed, by an entry
/// that is short of processor time.
constexpr Duration LateDataWindow{1'000'000};
/// Time after its start in which an entry hears of the others' quarantines and
/// answers requests with common signatures.
constexpr Duration WarmUpTime{1'000'000};
/// Number of incidents that a record of a quarantine stands for.
constexpr size_t RecordedIncidents = 2;
/// Entries that convict a signature, or hear of it at once, agree on the end of
/// its quarantine within this time.
constexpr Duration MaxEndDifference{1'000'000};
/// Minimum time between two probes of a signature: longer than a server takes
/// to begin an answer.
constexpr Duration ProbeInterval{5'000'000};
/// Delay of the first probe of a quarantined part, and the factor by which it
/// grows with each further crash: three probes at most after the fifth crash.
constexpr Duration FirstProbeDelay{2'000'000};
constexpr int ProbeDelayFactor = 4;
constexpr Duration MaxProbeDelay{600'000'000};
/// How often an answer is sent to every entry, to allow for lost datagrams.
constexpr double SendsPerEntry = 3;
/// Answers per datagram.
constexpr size_t MaxReportedAnswers = 12;
/// Disputes that arrive this long after a quarantine began still count: entries
/// tell one another of broken connections three times, 100 ms apart. Later ones
/// come from entries that were paused.
constexpr Duration DisputeWindow{500'000};

uint32_t ageMs(TimePoint at, TimePoint now) {
  auto since = std::chrono::duration_cast<std::chrono::milliseconds>(now - at);
  return static_cast<uint32_t>(
      std::clamp<int64_t>(since.count(), 0, UINT32_MAX));
}

bool isQuarantinedAt(const CrashSuspect *suspect, TimePoint now) {
  return suspect && suspect->QuarantinedUntil &&
         now < *suspect->QuarantinedUntil;
}

} // namespace

CrashSuspects::CrashSuspects(CrashSuspectSettings settings)
    : Settings(settings), Evidence(settings.MaxSuspects),
      Answers(AnswerRetention, settings.MaxAnswers) {}

CrashVerdictSettings CrashSuspects::verdictSettings() const {
  CrashVerdictSettings out;
  out.Servers = Settings.ServersToQuarantine;
  return out;
}

void CrashSuspects::onStart(TimePoint now) {
  std::lock_guard guard(Lock);
  WarmUpUntil = now + WarmUpTime;
}

void CrashSuspects::updateItemCount() {
  ItemCount.store(Evidence.size() + SentAnswers.size(),
                  std::memory_order_release);
}

std::optional<Duration> CrashSuspects::quarantineLeft(SignatureList signatures,
                                                      TimePoint now) const {
  std::optional<Duration> out;
  if (isEmpty())
    return out;
  std::lock_guard guard(Lock);
  for (const Id128 &signature : signatures) {
    const CrashSuspect *suspect = Evidence.find(signature);
    if (isQuarantinedAt(suspect, now))
      out = std::max(out.value_or(Duration::zero()),
                     Duration(*suspect->QuarantinedUntil - now));
  }
  return out;
}

std::vector<Id128> CrashSuspects::quarantined(TimePoint now) const {
  std::vector<Id128> out;
  if (isEmpty())
    return out;
  std::lock_guard guard(Lock);
  for (const auto &[signature, suspect] : Evidence.suspects())
    if (isQuarantinedAt(&suspect, now))
      out.push_back(signature);
  return out;
}

bool CrashSuspects::wasCleared(const Id128 &signature) const {
  std::lock_guard guard(Lock);
  const CrashSuspect *suspect = Evidence.find(signature);
  bool isQuarantined = suspect && suspect->isQuarantined();
  return !isQuarantined && Evidence.wasCleared(signature);
}

size_t CrashSuspects::incidents(const Id128 &signature) const {
  std::lock_guard guard(Lock);
  const CrashSuspect *suspect = Evidence.find(signature);
  return suspect ? suspect->IncidentsKnownAt.size() : 0;
}

bool CrashSuspects::wasAnsweredLately(const Id128 &signature) const {
  return Answers.find(signature).has_value();
}

bool CrashSuspects::takeProbe(SignatureList signatures, TimePoint now) {
  std::lock_guard guard(Lock);
  auto mayProbe = [&](const Id128 &signature) {
    const CrashSuspect *suspect = Evidence.find(signature);
    if (!isQuarantinedAt(suspect, now))
      return true;
    if (suspect->ProbedAt && now < *suspect->ProbedAt + ProbeInterval)
      return false;
    return isProbeDue(signature, now) ||
           mayBeHarmless(Evidence.suspects(), signature, signatures);
  };
  if (!std::all_of(signatures.begin(), signatures.end(), mayProbe))
    return false;
  for (const Id128 &signature : signatures)
    if (isQuarantinedAt(Evidence.find(signature), now))
      Evidence.onProbe(signature, now);
  return true;
}

bool CrashSuspects::isProbeDue(const Id128 &signature, TimePoint now) const {
  const CrashSuspect &suspect = *Evidence.find(signature);
  if (!isPartSignature(signature))
    return false;
  Duration interval = FirstProbeDelay;
  for (size_t n = Settings.ServersToQuarantine;
       n < suspect.CrashedServers.size() && interval < MaxProbeDelay; ++n)
    interval *= ProbeDelayFactor;
  TimePoint since = *suspect.QuarantinedUntil - Settings.QuarantineDuration;
  return now >= std::max(since, suspect.ProbedAt.value_or(since)) + interval;
}

std::vector<Id128> CrashSuspects::convict(TimePoint now) {
  liftWeakened(now);
  liftDisputed(now);
  std::vector<Id128> out;
  auto isAnswered = [this](const Id128 &it) { return wasAnsweredLately(it); };
  // Without an answer to a prompt that lacks a part, the part can't be told
  // from what else breaks connections.
  bool hasAnsweredPrompt =
      LastPromptAt && now < *LastPromptAt + AnswerRetention;
  bool isWarm = !WarmUpUntil || now >= *WarmUpUntil;
  auto isComparable = [&](const Id128 &it) {
    return !isPartSignature(it) || (hasAnsweredPrompt && isWarm);
  };
  while (std::optional<Id128> culprit =
             findCulprit(Evidence.suspects(), verdictSettings(), isAnswered,
                         isComparable)) {
    Evidence.quarantine(*culprit, now + Settings.QuarantineDuration, now);
    out.push_back(*culprit);
  }
  liftCovered(now);
  return out;
}

void CrashSuspects::liftWeakened(TimePoint now) {
  auto isAnswered = [this](const Id128 &it) { return wasAnsweredLately(it); };
  for (const Id128 &signature : Evidence.takeWeakened())
    if (isPartSignature(signature) &&
        isQuarantinedAt(Evidence.find(signature), now) &&
        !isConvictable(Evidence.suspects(), signature, verdictSettings(),
                       isAnswered))
      Evidence.lift(signature, now);
}

void CrashSuspects::liftDisputed(TimePoint now) {
  CrashVerdictSettings needed = verdictSettings();
  std::vector<Id128> disputed;
  for (const auto &[signature, suspect] : Evidence.suspects()) {
    size_t known = suspect.CrashedServers.size();
    size_t undisputed = suspect.undisputed();
    bool isDisputed = undisputed < known && undisputed < needed.Servers &&
                      known < needed.Servers + needed.FurtherServers;
    if (isDisputed && isQuarantinedAt(&suspect, now) &&
        now + Settings.QuarantineDuration <
            *suspect.QuarantinedUntil + DisputeWindow)
      disputed.push_back(signature);
  }
  for (const Id128 &signature : disputed)
    Evidence.lift(signature, now);
}

void CrashSuspects::liftCovered(TimePoint now) {
  std::vector<Id128> culprits;
  for (const auto &[signature, suspect] : Evidence.suspects())
    if (suspect.isQuarantined() && !suspect.CrashedServers.empty())
      culprits.push_back(signature);
  for (const Id128 &culprit : culprits) {
    for (const Id128 &signature : coveredBy(Evidence.suspects(), culprit))
      Evidence.lift(signature, now);
  }
}

std::vector<Id128> CrashSuspects::onConnectionBroken(SignatureList signatures,
                                                     uint64_t server,
                                                     TimePoint sentAt,
                                                     TimePoint now) {
  if (Settings.ServersToQuarantine == 0)
    return {};
  std::lock_guard guard(Lock);
  for (const Id128 &signature : signatures)
    Evidence.onCrash(signature, server, sentAt, now);
  std::vector<Id128> out = convict(now);
  updateItemCount();
  return out;
}

void CrashSuspects::mergeReport(const CrashReport &report,
                                std::vector<Id128> &out, TimePoint now) {
  const Id128 &signature = report.Signature;
  bool wasQuarantined = isQuarantinedAt(Evidence.find(signature), now);
  bool isUndisputed = Evidence.merge(report, now);
  if (std::optional<TimePoint> answered = Answers.find(signature))
    announceAnswer(signature, *answered);
  if (wasQuarantined) {
    // The reporting entry started recently: it doesn't know the quarantine, or
    // knows it from a record that lacks its begin and later crashes.
    TimePoint reportedEnd = now + Duration(report.QuarantineLeftUs);
    bool isEndAssumed =
        reportedEnd >
        *Evidence.find(signature)->QuarantinedUntil + MaxEndDifference;
    if (report.QuarantineLeftUs <= 0 || isEndAssumed ||
        Evidence.knowsMoreThan(report))
      Evidence.repeatReport(signature, now);
    if (report.QuarantineLeftUs > 0)
      Evidence.onReportedEnd(signature, reportedEnd);
    return;
  }
  if (report.QuarantineLeftUs <= 0)
    return;
  if (wasAnsweredLately(signature)) {
    Contested.insert(signature);
    return;
  }
  const CrashSuspect *suspect = Evidence.find(signature);
  bool hasEvidence =
      isUndisputed || (suspect && suspect->CrashedServers.size() >=
                                      Settings.ServersToQuarantine);
  if (!hasEvidence || Evidence.wasCleared(signature))
    return;
  Duration left =
      std::min(Duration(report.QuarantineLeftUs), Settings.QuarantineDuration);
  Evidence.quarantine(signature, now + left, now);
  // The entry that reported it goes on sending it.
  Evidence.stopReport(signature);
  out.push_back(signature);
}

std::vector<Id128> CrashSuspects::onPeerReports(const CrashReports &reports,
                                                TimePoint now) {
  if (Settings.ServersToQuarantine == 0)
    return {};
  std::vector<Id128> out;
  std::lock_guard guard(Lock);
  for (const PastEvent<Id128> &it : reports.Answered) {
    TimePoint at = now - std::chrono::milliseconds(it.AgeMs);
    Answers.add(it.Subject, at, now);
    Evidence.clear(it.Subject, at, now);
    reviewAnswered(it.Subject, now);
  }
  for (const PastEvent<uint64_t> &it : reports.LiveServers)
    Evidence.onServerReportedAlive(it.Subject,
                                   now - std::chrono::milliseconds(it.AgeMs),
                                   Settings.ServersToQuarantine, now);
  for (const Id128 &signature : reports.Lifted)
    Evidence.onLifted(signature, Settings.ServersToQuarantine, now);
  for (const CrashReport &report : reports.Suspects)
    mergeReport(report, out, now);
  std::vector<Id128> convicted = convict(now);
  out.insert(out.end(), convicted.begin(), convicted.end());
  Evidence.dropEmptySuspects();
  updateItemCount();
  return out;
}

void CrashSuspects::reviewAnswered(const Id128 &signature, TimePoint now) {
  auto isAnswered = [](const Id128 &) { return true; };
  const CrashSuspect *suspect = Evidence.find(signature);
  bool hasEvidence = suspect && !suspect->CrashedServers.empty();
  if (hasEvidence && isQuarantinedAt(suspect, now) &&
      !isConvictable(Evidence.suspects(), signature, verdictSettings(),
                     isAnswered))
    Evidence.lift(signature, now);
}

std::vector<uint64_t>
CrashSuspects::crashedServers(const Id128 &signature) const {
  std::lock_guard guard(Lock);
  std::vector<uint64_t> out;
  if (const CrashSuspect *suspect = Evidence.find(signature))
    for (const CrashedServer &crashed : suspect->CrashedServers)
      out.push_back(crashed.Key);
  return out;
}

std::vector<Id128>
CrashSuspects::onQuarantineRecord(const Id128 &signature,
                                  const std::vector<uint64_t> &servers,
                                  TimePoint now) {
  if (Settings.ServersToQuarantine == 0)
    return {};
  std::lock_guard guard(Lock);
  if (isQuarantinedAt(Evidence.find(signature), now))
    return {};
  if (std::optional<TimePoint> answered = Answers.find(signature)) {
    Contested.insert(signature);
    announceAnswer(signature, *answered);
    updateItemCount();
    return {};
  }
  if (Evidence.wasCleared(signature))
    return {};
  // Its report makes others tell the quarantine's end and later crashes.
  Evidence.quarantineByRecord(signature, servers, RecordedIncidents,
                              now + Settings.QuarantineDuration, now);
  liftCovered(now);
  updateItemCount();
  return {signature};
}

void CrashSuspects::announceAnswer(const Id128 &signature, TimePoint at) {
  SentAnswer &answer = SentAnswers[signature];
  if (at <= answer.At)
    return;
  answer = {at, SendsPerEntry};
}

void CrashSuspects::clearByAnswer(const Id128 &signature, TimePoint at,
                                  TimePoint now) {
  bool isContested = Contested.erase(signature) > 0;
  if (!isContested && !Evidence.find(signature))
    return;
  Evidence.clear(signature, at, now);
  announceAnswer(signature, at);
}

void CrashSuspects::onAnswered(SignatureList signatures, TimePoint now) {
  if (Settings.ServersToQuarantine == 0)
    return;
  std::lock_guard guard(Lock);
  for (const Id128 &signature : signatures) {
    Answers.add(signature, now, now);
    clearByAnswer(signature, now, now);
    if (isPartSignature(signature))
      LastPromptAt = now;
  }
  updateItemCount();
}

void CrashSuspects::onServerAlive(uint64_t server, TimePoint sentAt,
                                  TimePoint now) {
  if (isEmpty())
    return;
  std::lock_guard guard(Lock);
  Evidence.onServerAlive(server, std::max(sentAt, now - LateDataWindow),
                         Settings.ServersToQuarantine, now);
  liftWeakened(now);
  updateItemCount();
}

std::vector<Id128> CrashSuspects::onTimer(TimePoint now) {
  std::lock_guard guard(Lock);
  Answers.onTimer(now);
  size_t serversKept = std::max<size_t>(Settings.ServersToQuarantine, 1) - 1;
  Evidence.onTimer(Settings.QuarantineDuration, serversKept, now);
  std::erase_if(SentAnswers,
                [](const auto &it) { return it.second.SendsLeft <= 0; });
  std::erase_if(Contested,
                [this](const Id128 &it) { return !wasAnsweredLately(it); });
  std::vector<Id128> out;
  if (WarmUpUntil && now >= *WarmUpUntil) {
    WarmUpUntil.reset();
    out = convict(now);
  }
  updateItemCount();
  return out;
}

CrashReports CrashSuspects::takeReports(double shareOfEntries, TimePoint now) {
  CrashReports out;
  if (isEmpty())
    return out;
  std::lock_guard guard(Lock);
  out.Suspects = Evidence.takeReports(shareOfEntries, now);
  for (auto &[signature, answer] : SentAnswers) {
    if (answer.SendsLeft <= 0 || out.Answered.size() >= MaxReportedAnswers)
      continue;
    answer.SendsLeft -= shareOfEntries;
    out.Answered.push_back({signature, ageMs(answer.At, now)});
  }
  out.LiveServers = Evidence.takeLiveServers(shareOfEntries, now);
  out.Lifted = Evidence.takeLifted(shareOfEntries);
  return out;
}

} // namespace daisytack::direct
