#include "direct/crash_suspects.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace daisytack::direct {

namespace {

/// Minimum number of incidents; with one, an outage of several servers at once
/// would quarantine requests.
constexpr uint32_t IncidentsToQuarantine = 2;
/// Data that a server sent before its crash may be read this long after the
/// connection broke, so only later data shows that the server runs. This
/// entry also delays reports of its own by this time, since most broken
/// connections are explained by then.
constexpr Duration LateDataWindow{100'000};
/// How long evidence is kept to discard older reports that are still in
/// flight: a few rounds of datagrams.
constexpr Duration RefutationRetention{5'000'000};
/// Answers are remembered for one to two times this duration, longer than the
/// gap between two answers to a request that many callers send identically.
constexpr Duration AnswerRetention{30'000'000};
/// How often each item is sent to every entry: allows for 1% datagram loss and
/// for entries that are briefly busy.
constexpr double SendsPerEntry = 3;
/// Crashed servers kept and reported per request: more than a quarantine needs,
/// and few enough that the reports on a server's requests fit into a datagram.
constexpr size_t MaxCrashedServers = 8;
/// Reports per datagram; one with MaxCrashedServers takes up to 132 bytes.
constexpr size_t MaxReports = 7;
/// Cleared requests per datagram, and also live servers per datagram.
constexpr size_t MaxRefutations = 12;

TimePoint timeOf(uint32_t ageMs, TimePoint now) {
  return now - std::chrono::milliseconds(ageMs);
}

uint32_t ageMs(TimePoint at, TimePoint now) {
  auto since = std::chrono::duration_cast<std::chrono::milliseconds>(now - at);
  return static_cast<uint32_t>(
      std::clamp<int64_t>(since.count(), 0, UINT32_MAX));
}

} // namespace

void CrashSuspects::updateItemCount() {
  ItemCount.store(Suspects.size() + ClearedRequests.size() + LiveServers.size(),
                  std::memory_order_release);
}

uint32_t CrashSuspects::incidents(const Id128 &request) const {
  if (isEmpty())
    return 0;
  std::lock_guard guard(Lock);
  auto it = Suspects.find(request);
  return it == Suspects.end() ? 0 : it->second.Incidents;
}

std::optional<Duration> CrashSuspects::quarantineLeft(const Id128 &request,
                                                      TimePoint now) const {
  if (isEmpty())
    return std::nullopt;
  std::lock_guard guard(Lock);
  auto it = Suspects.find(request);
  if (it == Suspects.end() || !it->second.QuarantinedUntil ||
      now >= *it->second.QuarantinedUntil)
    return std::nullopt;
  return *it->second.QuarantinedUntil - now;
}

std::vector<Id128> CrashSuspects::quarantinedRequests(TimePoint now) const {
  std::vector<Id128> out;
  if (isEmpty())
    return out;
  std::lock_guard guard(Lock);
  for (const auto &[request, suspect] : Suspects)
    if (suspect.QuarantinedUntil && now < *suspect.QuarantinedUntil)
      out.push_back(request);
  return out;
}

bool CrashSuspects::wasCleared(const Id128 &request, TimePoint now) const {
  std::lock_guard guard(Lock);
  auto it = ClearedRequests.find(request);
  return it != ClearedRequests.end() &&
         now < it->second.At + RefutationRetention;
}

bool CrashSuspects::isBlamedOnAnother(const Id128 &request,
                                      uint64_t server) const {
  return std::any_of(Suspects.begin(), Suspects.end(), [&](const auto &it) {
    return it.first != request && it.second.QuarantinedUntil &&
           std::any_of(it.second.CrashedServers.begin(),
                       it.second.CrashedServers.end(),
                       [&](const CrashedServer &crashed) {
                         return crashed.Key == server;
                       });
  });
}

void CrashSuspects::addCrashedServer(Suspect &suspect, uint64_t server,
                                     TimePoint crashedAt) {
  bool isKnown = std::any_of(
      suspect.CrashedServers.begin(), suspect.CrashedServers.end(),
      [&](const CrashedServer &crashed) { return crashed.Key == server; });
  if (isKnown)
    return;
  if (suspect.CrashedServers.size() >= MaxCrashedServers)
    suspect.CrashedServers.erase(suspect.CrashedServers.begin());
  suspect.CrashedServers.push_back({server, crashedAt});
  suspect.LastAt = std::max(suspect.LastAt, crashedAt);
}

void CrashSuspects::scheduleReport(Suspect &suspect, TimePoint from) {
  suspect.SendsLeft = SendsPerEntry;
  suspect.SendFrom = from;
}

std::vector<Id128> CrashSuspects::onConnectionBroken(const Id128 &request,
                                                     uint64_t server,
                                                     uint32_t incidentsWhenSent,
                                                     TimePoint now) {
  if (Settings.ServersToQuarantine == 0)
    return {};
  std::lock_guard guard(Lock);
  if (wasAnswered(request) || isBlamedOnAnother(request, server))
    return {};
  Suspect &suspect = Suspects[request];
  // Incidents known when the attempt was sent may have been cleared since.
  uint32_t before = std::min(incidentsWhenSent, suspect.Incidents);
  suspect.Incidents = std::max(suspect.Incidents, before + 1);
  addCrashedServer(suspect, server, now);
  scheduleReport(suspect, now + LateDataWindow);
  std::vector<Id128> out = quarantineIfDue(request, now);
  if (suspect.QuarantinedUntil)
    removeExplainedCrashes(request);
  evictIfFull();
  updateItemCount();
  return out;
}

std::vector<Id128> CrashSuspects::quarantineIfDue(const Id128 &request,
                                                  TimePoint now) {
  Suspect &suspect = Suspects[request];
  if (suspect.QuarantinedUntil || suspect.Incidents < IncidentsToQuarantine ||
      suspect.CrashedServers.size() < Settings.ServersToQuarantine)
    return {};
  quarantine(request, Settings.QuarantineDuration, now);
  return {request};
}

void CrashSuspects::quarantine(const Id128 &request, Duration left,
                               TimePoint now) {
  Suspect &suspect = Suspects[request];
  suspect.QuarantinedUntil = now + std::min(left, Settings.QuarantineDuration);
  suspect.LastAt = now;
  scheduleReport(suspect, now);
  removeExplainedCrashes(request);
}

void CrashSuspects::removeExplainedCrashes(const Id128 &culprit) {
  const std::vector<CrashedServer> servers = Suspects[culprit].CrashedServers;
  auto isExplained = [&](const CrashedServer &crashed) {
    return std::any_of(
        servers.begin(), servers.end(),
        [&](const CrashedServer &it) { return it.Key == crashed.Key; });
  };
  for (auto &[request, suspect] : Suspects)
    if (request != culprit && !suspect.QuarantinedUntil)
      std::erase_if(suspect.CrashedServers, isExplained);
  dropEmptySuspects();
}

void CrashSuspects::dropEmptySuspects() {
  std::erase_if(Suspects, [](const auto &it) {
    return it.second.CrashedServers.empty() && !it.second.QuarantinedUntil;
  });
}

bool CrashSuspects::isRefuted(const Id128 &request, uint64_t server,
                              TimePoint crashedAt) const {
  auto cleared = ClearedRequests.find(request);
  if (cleared != ClearedRequests.end() && crashedAt <= cleared->second.At)
    return true;
  auto alive = LiveServers.find(server);
  if (alive != LiveServers.end() &&
      crashedAt + LateDataWindow <= alive->second.At)
    return true;
  return isBlamedOnAnother(request, server);
}

void CrashSuspects::merge(const CrashReport &report, TimePoint now) {
  Suspect &suspect = Suspects[report.Request];
  bool hasAllServers = true;
  for (const PastEvent<uint64_t> &crashed : report.CrashedServers) {
    TimePoint at = timeOf(crashed.AgeMs, now);
    if (isRefuted(report.Request, crashed.Subject, at))
      hasAllServers = false;
    else
      addCrashedServer(suspect, crashed.Subject, at);
  }
  // The number of incidents in the report only holds for all of its servers.
  if (hasAllServers)
    suspect.Incidents = std::max(suspect.Incidents, report.Incidents);
  else if (!suspect.CrashedServers.empty())
    suspect.Incidents = std::max(suspect.Incidents, 1U);
}

std::vector<Id128> CrashSuspects::onPeerReports(const CrashReports &reports,
                                                TimePoint now) {
  if (Settings.ServersToQuarantine == 0)
    return {};
  std::vector<Id128> out;
  std::lock_guard guard(Lock);
  for (const PastEvent<Id128> &it : reports.ClearedRequests)
    clearRequest(it.Subject, 0, timeOf(it.AgeMs, now));
  for (const PastEvent<uint64_t> &it : reports.LiveServers)
    markAlive(it.Subject, 0, timeOf(it.AgeMs, now));
  for (const CrashReport &report : reports.Suspects) {
    if (wasAnswered(report.Request)) {
      clearRequest(report.Request, SendsPerEntry, now);
      continue;
    }
    merge(report, now);
    Suspect &suspect = Suspects[report.Request];
    bool isNewQuarantine = report.QuarantineLeftUs > 0 &&
                           !suspect.QuarantinedUntil &&
                           !ClearedRequests.contains(report.Request);
    if (isNewQuarantine) {
      quarantine(report.Request, Duration(report.QuarantineLeftUs), now);
      suspect.SendsLeft = 0; // The entry that reported it goes on sending it.
      out.push_back(report.Request);
    } else if (suspect.QuarantinedUntil) {
      removeExplainedCrashes(report.Request);
      // The reporting entry started recently and doesn't know the quarantine.
      if (report.QuarantineLeftUs == 0 && suspect.SendsLeft <= 0)
        scheduleReport(suspect, now);
    } else {
      std::vector<Id128> quarantined = quarantineIfDue(report.Request, now);
      out.insert(out.end(), quarantined.begin(), quarantined.end());
    }
  }
  dropEmptySuspects();
  evictIfFull();
  updateItemCount();
  return out;
}

std::vector<Id128> CrashSuspects::onQuarantineRecord(const Id128 &request,
                                                     TimePoint now) {
  std::lock_guard guard(Lock);
  auto it = Suspects.find(request);
  bool isKnown = it != Suspects.end() && it->second.QuarantinedUntil;
  if (wasAnswered(request))
    clearRequest(request, SendsPerEntry, now);
  updateItemCount();
  if (Settings.ServersToQuarantine == 0 || isKnown ||
      ClearedRequests.contains(request))
    return {};
  Suspects[request].Incidents = IncidentsToQuarantine;
  quarantine(request, Settings.QuarantineDuration, now);
  Suspects[request].SendsLeft = 0; // All entries read the same record.
  updateItemCount();
  return {request};
}

void CrashSuspects::clearRequest(const Id128 &request, double sends,
                                 TimePoint at) {
  Refutation &refutation = ClearedRequests[request];
  refutation.At = std::max(refutation.At, at);
  refutation.SendsLeft = std::max(refutation.SendsLeft, sends);
  auto it = Suspects.find(request);
  if (it == Suspects.end())
    return;
  Suspect &suspect = it->second;
  std::erase_if(suspect.CrashedServers,
                [&](const CrashedServer &crashed) { return crashed.At <= at; });
  if (suspect.CrashedServers.empty()) {
    Suspects.erase(it);
    return;
  }
  // Crashes after the answer form a new first incident.
  suspect.QuarantinedUntil.reset();
  suspect.Incidents = 1;
}

bool CrashSuspects::wasAnswered(const Id128 &request) const {
  return RecentAnswers.contains(request) || OlderAnswers.contains(request);
}

void CrashSuspects::rotateAnswers(TimePoint now) {
  bool isFull = RecentAnswers.size() >= Settings.MaxAnswers;
  if (!isFull && now < RecentAnswersSince + AnswerRetention)
    return;
  OlderAnswers = std::exchange(RecentAnswers, {});
  RecentAnswersSince = now;
}

void CrashSuspects::onAnswered(const Id128 &request, TimePoint now) {
  if (Settings.ServersToQuarantine == 0)
    return;
  std::lock_guard guard(Lock);
  rotateAnswers(now);
  RecentAnswers.insert(request);
  if (!Suspects.contains(request))
    return;
  clearRequest(request, SendsPerEntry, now);
  updateItemCount();
}

bool CrashSuspects::removeCrashesOf(uint64_t server, TimePoint aliveAt) {
  bool out = false;
  std::vector<Id128> lifted;
  for (auto &[request, suspect] : Suspects) {
    size_t n = std::erase_if(suspect.CrashedServers,
                             [&](const CrashedServer &crashed) {
                               return crashed.Key == server &&
                                      crashed.At + LateDataWindow <= aliveAt;
                             });
    out |= n > 0;
    bool hasTooFewServers =
        suspect.CrashedServers.size() < Settings.ServersToQuarantine;
    if (n > 0 && suspect.QuarantinedUntil && hasTooFewServers)
      lifted.push_back(request);
  }
  for (const Id128 &request : lifted)
    clearRequest(request, SendsPerEntry, aliveAt);
  dropEmptySuspects();
  return out;
}

void CrashSuspects::markAlive(uint64_t server, double sends, TimePoint at) {
  removeCrashesOf(server, at);
  Refutation &refutation = LiveServers[server];
  refutation.At = std::max(refutation.At, at);
  refutation.SendsLeft = std::max(refutation.SendsLeft, sends);
}

void CrashSuspects::onServerAlive(uint64_t server, TimePoint now) {
  if (isEmpty())
    return;
  std::lock_guard guard(Lock);
  if (!removeCrashesOf(server, now))
    return;
  markAlive(server, SendsPerEntry, now);
  updateItemCount();
}

void CrashSuspects::onTimer(TimePoint now) {
  std::lock_guard guard(Lock);
  rotateAnswers(now);
  for (auto &[request, suspect] : Suspects) {
    if (!suspect.QuarantinedUntil || now < *suspect.QuarantinedUntil)
      continue;
    suspect.QuarantinedUntil.reset();
    suspect.LastAt = now;
    size_t kept = Settings.ServersToQuarantine - 1;
    if (suspect.CrashedServers.size() > kept)
      suspect.CrashedServers.resize(kept);
  }
  std::erase_if(Suspects, [&](const auto &it) {
    return !it.second.QuarantinedUntil &&
           now >= it.second.LastAt + Settings.QuarantineDuration;
  });
  auto isOver = [&](const auto &it) {
    return now >= it.second.At + RefutationRetention;
  };
  std::erase_if(ClearedRequests, isOver);
  std::erase_if(LiveServers, isOver);
  updateItemCount();
}

void CrashSuspects::evictIfFull() {
  if (Suspects.size() <= Settings.MaxSuspects)
    return;
  auto isLess = [](const auto &a, const auto &b) {
    bool isQuarantinedA = a.second.QuarantinedUntil.has_value();
    bool isQuarantinedB = b.second.QuarantinedUntil.has_value();
    return std::pair(isQuarantinedA, a.second.LastAt) <
           std::pair(isQuarantinedB, b.second.LastAt);
  };
  Suspects.erase(std::min_element(Suspects.begin(), Suspects.end(), isLess));
}

CrashReports CrashSuspects::takeReports(double shareOfEntries, TimePoint now) {
  CrashReports out;
  if (isEmpty())
    return out;
  std::lock_guard guard(Lock);
  std::vector<std::pair<const Id128, Suspect> *> due;
  for (auto &it : Suspects)
    if (it.second.SendsLeft > 0 && now >= it.second.SendFrom)
      due.push_back(&it);
  auto isMoreSevere = [](const auto *a, const auto *b) {
    auto severity = [](const Suspect &it) {
      return std::tuple(it.QuarantinedUntil.has_value(),
                        it.CrashedServers.size(), it.LastAt);
    };
    return severity(a->second) > severity(b->second);
  };
  std::sort(due.begin(), due.end(), isMoreSevere);
  for (auto *it : due) {
    if (out.Suspects.size() >= MaxReports)
      break;
    Suspect &suspect = it->second;
    suspect.SendsLeft -= shareOfEntries;
    CrashReport report{it->first, suspect.Incidents, {}, 0};
    for (const CrashedServer &crashed : suspect.CrashedServers)
      report.CrashedServers.push_back({crashed.Key, ageMs(crashed.At, now)});
    if (suspect.QuarantinedUntil)
      report.QuarantineLeftUs = (*suspect.QuarantinedUntil - now).count();
    out.Suspects.push_back(std::move(report));
  }
  auto takeRefutations = [&](auto &refutations, auto &into) {
    for (auto &[key, refutation] : refutations) {
      if (refutation.SendsLeft <= 0 || into.size() >= MaxRefutations)
        continue;
      refutation.SendsLeft -= shareOfEntries;
      into.push_back({key, ageMs(refutation.At, now)});
    }
  };
  takeRefutations(ClearedRequests, out.ClearedRequests);
  takeRefutations(LiveServers, out.LiveServers);
  return out;
}

} // namespace daisytack::direct
