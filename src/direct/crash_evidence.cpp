#include "direct/crash_evidence.h"

#include "direct/request_signatures.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace daisytack::direct {

namespace {

/// This entry delays reports of its own by this time, since most broken
/// connections are explained by then.
constexpr Duration ReportDelay{100'000};
/// How long evidence is kept to discard older reports that are still in
/// flight: a few rounds of datagrams.
constexpr Duration RefutationRetention{5'000'000};
/// Entries notice the breaks of a crashed server's connections within this
/// time of each other, unless one is paused or its link is slow.
constexpr Duration BreakSpread{150'000};
/// How long the break of a server's connection is remembered: longer than
/// entries are paused or links are slow.
constexpr Duration BreakRetention{60'000'000};
/// How often each item is sent to every entry: allows for 1% datagram loss and
/// for entries that are briefly busy.
constexpr double SendsPerEntry = 3;
/// Crashed servers kept per suspect. They explain the crashes of requests that
/// ran beside it, so that more are kept than a quarantine needs.
constexpr size_t MaxCrashedServers = 64;
/// Incidents kept per suspect. A verdict needs two, and a report of another
/// entry may claim any number.
constexpr size_t MaxIncidents = 64;
/// Crashed servers per report.
constexpr size_t MaxReportedServers = 8;
/// Bytes of all reports in a datagram, and the encoded sizes of their fields.
constexpr size_t MaxReportBytes = 924;
constexpr size_t ReportBytes = 36;
constexpr size_t ReportedServerBytes = 12;
constexpr size_t MaxReportedLiveServers = 8;
constexpr size_t MaxReportedLifts = 6;

TimePoint timeOf(uint32_t ageMs, TimePoint now) {
  return now - std::chrono::milliseconds(ageMs);
}

uint32_t ageMs(TimePoint at, TimePoint now) {
  auto since = std::chrono::duration_cast<std::chrono::milliseconds>(now - at);
  return static_cast<uint32_t>(
      std::clamp<int64_t>(since.count(), 0, UINT32_MAX));
}

/// Sets the number of incidents, at most MaxIncidents, if it is higher than
/// before.
void raiseIncidents(CrashSuspect &suspect, size_t incidents, TimePoint now) {
  incidents = std::min(incidents, MaxIncidents);
  if (suspect.IncidentsKnownAt.size() < incidents)
    suspect.IncidentsKnownAt.resize(incidents, now);
}

/// Maximum number of incidents that the suspect's crashes can be: those within
/// BreakSpread may be one outage. Nothing is known of the times of recorded
/// crashes, so each may be an incident.
size_t possibleIncidents(const CrashSuspect &suspect) {
  std::vector<TimePoint> times;
  size_t out = 0;
  for (const CrashedServer &crashed : suspect.CrashedServers)
    if (crashed.IsRecorded)
      ++out;
    else
      times.push_back(crashed.At);
  std::sort(times.begin(), times.end());
  std::optional<TimePoint> first;
  for (TimePoint at : times) {
    if (first && at <= *first + BreakSpread)
      continue;
    first = at;
    ++out;
  }
  return out;
}

/// Number of incidents that were known at a time.
size_t incidentsAt(const CrashSuspect &suspect, TimePoint at) {
  const std::vector<TimePoint> &known = suspect.IncidentsKnownAt;
  return static_cast<size_t>(std::count_if(
      known.begin(), known.end(), [&](TimePoint it) { return it <= at; }));
}

/// Forgets incidents that the remaining crashes can't be. Returns whether that
/// leaves too few for a quarantine.
bool lowerIncidents(CrashSuspect &suspect) {
  size_t possible = possibleIncidents(suspect);
  if (suspect.IncidentsKnownAt.size() <= possible)
    return false;
  suspect.IncidentsKnownAt.resize(possible);
  return possible < MinIncidents;
}

void scheduleReport(CrashSuspect &suspect, TimePoint from) {
  suspect.SendsLeft = SendsPerEntry;
  suspect.SendFrom = from;
}

CrashReport reportOn(const Id128 &signature, const CrashSuspect &suspect,
                     TimePoint now) {
  CrashReport out;
  out.Signature = signature;
  out.Incidents = static_cast<uint32_t>(suspect.IncidentsKnownAt.size());
  const std::vector<CrashedServer> &servers = suspect.CrashedServers;
  size_t first = servers.size() > MaxReportedServers
                     ? servers.size() - MaxReportedServers
                     : 0;
  for (size_t i = first; i < servers.size(); ++i)
    out.CrashedServers.push_back({servers[i].Key, ageMs(servers[i].At, now)});
  if (suspect.QuarantinedUntil)
    out.QuarantineLeftUs = (*suspect.QuarantinedUntil - now).count();
  return out;
}

} // namespace

bool CrashSuspect::hasCrashed(uint64_t server) const {
  return std::any_of(
      CrashedServers.begin(), CrashedServers.end(),
      [&](const CrashedServer &crashed) { return crashed.Key == server; });
}

size_t CrashSuspect::undisputed() const {
  return static_cast<size_t>(std::count_if(
      CrashedServers.begin(), CrashedServers.end(),
      [](const CrashedServer &crashed) { return !crashed.IsDisputed; }));
}

const CrashSuspect *CrashEvidence::find(const Id128 &signature) const {
  auto it = Suspects.find(signature);
  return it == Suspects.end() ? nullptr : &it->second;
}

size_t CrashEvidence::size() const {
  return Suspects.size() + Cleared.size() + LiveServers.size();
}

bool CrashEvidence::isDisproved(const Id128 &signature, uint64_t server,
                                TimePoint crashedAt) const {
  auto cleared = Cleared.find(signature);
  if (cleared != Cleared.end() && crashedAt <= cleared->second.At)
    return true;
  auto alive = LiveServers.find(server);
  return alive != LiveServers.end() && crashedAt <= alive->second.At;
}

void CrashEvidence::onBreak(uint64_t server, TimePoint at) {
  auto [latest, isNew] = LatestBreaks.try_emplace(server, at);
  if (!isNew && at <= latest->second)
    return;
  latest->second = at;
  for (auto &[signature, suspect] : Suspects)
    for (CrashedServer &crashed : suspect.CrashedServers)
      if (crashed.Key == server && crashed.At + BreakSpread < at)
        crashed.IsDisputed = true;
}

void CrashEvidence::addServer(CrashSuspect &suspect,
                              const CrashedServer &crashed) {
  if (suspect.hasCrashed(crashed.Key))
    return;
  if (suspect.CrashedServers.size() >= MaxCrashedServers)
    suspect.CrashedServers.erase(suspect.CrashedServers.begin());
  suspect.CrashedServers.push_back(crashed);
  suspect.LastAt = std::max(suspect.LastAt, crashed.At);
}

void CrashEvidence::addCrash(CrashSuspect &suspect, uint64_t server,
                             TimePoint crashedAt) {
  onBreak(server, crashedAt);
  bool isDisputed = crashedAt + BreakSpread < LatestBreaks[server];
  addServer(suspect, {server, crashedAt, isDisputed, false});
}

void CrashEvidence::onCrash(const Id128 &signature, uint64_t server,
                            TimePoint sentAt, TimePoint now) {
  CrashSuspect &suspect = Suspects[signature];
  raiseIncidents(suspect, incidentsAt(suspect, sentAt) + 1, now);
  addCrash(suspect, server, now);
  scheduleReport(suspect, now + ReportDelay);
  evictIfFull();
}

bool CrashEvidence::merge(const CrashReport &report, TimePoint now) {
  CrashSuspect &suspect = Suspects[report.Signature];
  bool hasAllServers = true;
  for (const PastEvent<uint64_t> &crashed : report.CrashedServers) {
    TimePoint at = timeOf(crashed.AgeMs, now);
    if (isDisproved(report.Signature, crashed.Subject, at))
      hasAllServers = false;
    else
      addCrash(suspect, crashed.Subject, at);
  }
  // The number of incidents in the report only holds for all of its servers.
  if (hasAllServers)
    raiseIncidents(suspect, report.Incidents, now);
  else if (!suspect.CrashedServers.empty())
    raiseIncidents(suspect, 1, now);
  evictIfFull();
  return hasAllServers;
}

void CrashEvidence::quarantineByRecord(const Id128 &signature,
                                       const std::vector<uint64_t> &servers,
                                       size_t incidents, TimePoint until,
                                       TimePoint now) {
  CrashSuspect &suspect = Suspects[signature];
  for (uint64_t server : servers)
    if (!isDisproved(signature, server, now))
      addServer(suspect, {server, now, false, true});
  raiseIncidents(suspect, incidents, now);
  quarantine(signature, until, now);
  suspect.IsEndAssumed = true;
  evictIfFull();
}

void CrashEvidence::onReportedEnd(const Id128 &signature, TimePoint until) {
  auto it = Suspects.find(signature);
  if (it != Suspects.end() && it->second.isQuarantined() &&
      it->second.IsEndAssumed)
    it->second.QuarantinedUntil = std::min(*it->second.QuarantinedUntil, until);
}

void CrashEvidence::clear(const Id128 &signature, TimePoint at, TimePoint now) {
  Clearance &clearance = Cleared[signature];
  clearance = {std::max(clearance.At, at), now, clearance.SendsLeft};
  auto it = Suspects.find(signature);
  if (it == Suspects.end())
    return;
  CrashSuspect &suspect = it->second;
  // The evidence of a quarantine that was read from a record is not known, but
  // it is older than the record.
  bool isKnownByRecord = suspect.CrashedServers.empty();
  if (isKnownByRecord && at < suspect.LastAt)
    return;
  size_t n =
      std::erase_if(suspect.CrashedServers, [&](const CrashedServer &crashed) {
        return crashed.At <= at;
      });
  if (suspect.CrashedServers.empty()) {
    Suspects.erase(it);
    return;
  }
  if (n == 0)
    return;
  // Crashes after the answer form a new first incident.
  suspect.QuarantinedUntil.reset();
  suspect.IncidentsKnownAt.resize(
      std::min<size_t>(suspect.IncidentsKnownAt.size(), 1));
}

void CrashEvidence::lift(const Id128 &signature, TimePoint now) {
  Clearance &clearance = Cleared[signature];
  clearance.Since = now;
  clearance.SendsLeft = SendsPerEntry;
  auto it = Suspects.find(signature);
  if (it != Suspects.end())
    it->second.QuarantinedUntil.reset();
}

void CrashEvidence::onLifted(const Id128 &signature, size_t servers,
                             TimePoint now) {
  auto it = Suspects.find(signature);
  bool isUnproven = it != Suspects.end() && it->second.isQuarantined() &&
                    it->second.CrashedServers.size() < servers;
  if (!isUnproven)
    return;
  Cleared[signature].Since = now;
  it->second.QuarantinedUntil.reset();
}

bool CrashEvidence::removeCrashesOf(uint64_t server, TimePoint at,
                                    size_t servers, TimePoint now) {
  bool isNews = false;
  std::vector<Id128> lifted;
  for (auto &[signature, suspect] : Suspects) {
    size_t n = std::erase_if(suspect.CrashedServers,
                             [&](const CrashedServer &crashed) {
                               return crashed.Key == server && crashed.At <= at;
                             });
    if (n == 0)
      continue;
    isNews = true;
    bool hasTooFewIncidents = lowerIncidents(suspect);
    bool hasTooFew =
        hasTooFewIncidents || suspect.CrashedServers.size() < servers;
    if (suspect.isQuarantined())
      (hasTooFew ? lifted : Weakened).push_back(signature);
  }
  for (const Id128 &signature : lifted)
    lift(signature, now);
  dropEmptySuspects();
  return isNews;
}

void CrashEvidence::onServerAlive(uint64_t server, TimePoint at, size_t servers,
                                  TimePoint now) {
  if (!removeCrashesOf(server, at, servers, now))
    return;
  LiveServer &alive = LiveServers[server];
  alive.At = std::max(alive.At, at);
  alive.SendsLeft = SendsPerEntry;
}

void CrashEvidence::onServerReportedAlive(uint64_t server, TimePoint at,
                                          size_t servers, TimePoint now) {
  removeCrashesOf(server, at, servers, now);
  LiveServer &alive = LiveServers[server];
  alive.At = std::max(alive.At, at);
}

void CrashEvidence::quarantine(const Id128 &signature, TimePoint until,
                               TimePoint now) {
  CrashSuspect &suspect = Suspects[signature];
  suspect.QuarantinedUntil = until;
  suspect.IsEndAssumed = false;
  suspect.LastAt = now;
  scheduleReport(suspect, now);
}

void CrashEvidence::dropEmptySuspects() {
  std::erase_if(Suspects, [](const auto &it) {
    return it.second.CrashedServers.empty() && !it.second.isQuarantined();
  });
}

void CrashEvidence::onProbe(const Id128 &signature, TimePoint now) {
  Suspects[signature].ProbedAt = now;
}

void CrashEvidence::onTimer(Duration retention, size_t serversKept,
                            TimePoint now) {
  for (auto &[signature, suspect] : Suspects) {
    if (!suspect.isQuarantined() || now < *suspect.QuarantinedUntil)
      continue;
    suspect.QuarantinedUntil.reset();
    suspect.LastAt = now;
    if (suspect.CrashedServers.size() > serversKept)
      suspect.CrashedServers.resize(serversKept);
  }
  std::erase_if(Suspects, [&](const auto &it) {
    return !it.second.isQuarantined() && now >= it.second.LastAt + retention;
  });
  std::erase_if(Cleared, [&](const auto &it) {
    return now >= it.second.Since + RefutationRetention;
  });
  std::erase_if(LatestBreaks, [&](const auto &it) {
    return now >= it.second + BreakRetention;
  });
  std::erase_if(LiveServers, [&](const auto &it) {
    return now >= it.second.At + RefutationRetention;
  });
}

void CrashEvidence::evictIfFull() {
  if (Suspects.size() <= MaxSuspects)
    return;
  auto severity = [](const auto &it) {
    return std::tuple(it.second.isQuarantined(),
                      it.second.CrashedServers.size(),
                      isPartSignature(it.first), it.second.LastAt);
  };
  Suspects.erase(std::min_element(
      Suspects.begin(), Suspects.end(),
      [&](const auto &a, const auto &b) { return severity(a) < severity(b); }));
}

std::vector<CrashReport> CrashEvidence::takeReports(double share,
                                                    TimePoint now) {
  // When the servers crashed that quarantined signatures explain.
  std::unordered_map<uint64_t, TimePoint> explained;
  for (const auto &[signature, suspect] : Suspects)
    if (suspect.isQuarantined())
      for (const CrashedServer &crashed : suspect.CrashedServers)
        explained[crashed.Key] = std::max(explained[crashed.Key], crashed.At);
  // A later break disputes the crash, so that others have to learn of it.
  auto isExplained = [&](const CrashedServer &crashed) {
    auto it = explained.find(crashed.Key);
    return it != explained.end() && crashed.At <= it->second + BreakSpread;
  };
  std::vector<std::pair<const Id128, CrashSuspect> *> due;
  for (auto &it : Suspects) {
    const CrashSuspect &suspect = it.second;
    bool isDue = suspect.SendsLeft > 0 && now >= suspect.SendFrom;
    bool isNews = suspect.isQuarantined() ||
                  !std::all_of(suspect.CrashedServers.begin(),
                               suspect.CrashedServers.end(), isExplained);
    if (isDue && isNews)
      due.push_back(&it);
  }
  // Reports that were sent less often go before others of equal severity.
  auto severity = [](const auto *it) {
    return std::tuple(it->second.isQuarantined(),
                      it->second.CrashedServers.size(), it->second.SendsLeft,
                      isPartSignature(it->first), it->second.LastAt);
  };
  std::sort(due.begin(), due.end(), [&](const auto *a, const auto *b) {
    return severity(a) > severity(b);
  });
  std::vector<CrashReport> out;
  size_t bytes = 0;
  for (auto *it : due) {
    CrashReport report = reportOn(it->first, it->second, now);
    bytes += ReportBytes + ReportedServerBytes * report.CrashedServers.size();
    if (bytes > MaxReportBytes)
      break;
    it->second.SendsLeft -= share;
    out.push_back(std::move(report));
  }
  return out;
}

std::vector<PastEvent<uint64_t>> CrashEvidence::takeLiveServers(double share,
                                                                TimePoint now) {
  std::vector<PastEvent<uint64_t>> out;
  for (auto &[server, alive] : LiveServers) {
    if (alive.SendsLeft <= 0 || out.size() >= MaxReportedLiveServers)
      continue;
    alive.SendsLeft -= share;
    out.push_back({server, ageMs(alive.At, now)});
  }
  return out;
}

std::vector<Id128> CrashEvidence::takeLifted(double share) {
  std::vector<Id128> out;
  for (auto &[signature, clearance] : Cleared) {
    if (clearance.SendsLeft <= 0 || out.size() >= MaxReportedLifts)
      continue;
    clearance.SendsLeft -= share;
    out.push_back(signature);
  }
  return out;
}

bool CrashEvidence::knowsMoreThan(const CrashReport &report) const {
  const CrashSuspect *suspect = find(report.Signature);
  return suspect &&
         report.CrashedServers.size() <
             std::min(suspect->CrashedServers.size(), MaxReportedServers);
}

void CrashEvidence::repeatReport(const Id128 &signature, TimePoint now) {
  CrashSuspect &suspect = Suspects[signature];
  if (suspect.SendsLeft <= 0)
    scheduleReport(suspect, now);
}

void CrashEvidence::stopReport(const Id128 &signature) {
  Suspects[signature].SendsLeft = 0;
}

} // namespace daisytack::direct
