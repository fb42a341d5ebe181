#include "direct/crash_suspects.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace daisytack::direct {

namespace {

/// Occasions that it takes, so that servers that end together accuse nobody.
constexpr uint32_t OccasionsToQuarantine = 2;
/// What a living server sent before is read within this time of the break; so
/// long a suspicion of this entry's own is also kept to itself, since most
/// broken connections are explained by then.
constexpr Duration SignOfLifeAfter{100'000};
/// Older reports, still on their way, are dropped for so long: some rounds of
/// datagrams.
constexpr Duration ReliefMemory{5'000'000};
/// Answers are remembered for this long to twice as long: between two of a
/// request that many callers send alike, with some to spare.
constexpr Duration AnswerMemory{30'000'000};
/// One datagram in a hundred lost, and some entries busy for a moment.
constexpr double Tells = 3;
/// Told and kept of one request: more than it takes, and few enough for a
/// datagram to hold the reports of a server's requests.
constexpr size_t MostServers = 8;
/// One report with that many servers takes up to 132 bytes.
constexpr size_t MostReports = 7;
constexpr size_t MostReliefs = 12;

TimePoint momentOf(uint32_t agoMs, TimePoint now) {
  return now - std::chrono::milliseconds(agoMs);
}

uint32_t agoMs(TimePoint at, TimePoint now) {
  auto since = std::chrono::duration_cast<std::chrono::milliseconds>(now - at);
  return static_cast<uint32_t>(
      std::clamp<int64_t>(since.count(), 0, UINT32_MAX));
}

} // namespace

void CrashSuspects::count() {
  Count.store(Suspects.size() + Cleared.size() + Living.size(),
              std::memory_order_release);
}

uint32_t CrashSuspects::incidents(const Id128 &request) const {
  if (isEmpty())
    return 0;
  std::lock_guard guard(Lock);
  auto it = Suspects.find(request);
  return it == Suspects.end() ? 0 : it->second.Occasions;
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
  auto it = Cleared.find(request);
  return it != Cleared.end() && now < it->second.At + ReliefMemory;
}

bool CrashSuspects::isBlamedOnAnother(const Id128 &request,
                                      uint64_t server) const {
  return std::any_of(Suspects.begin(), Suspects.end(), [&](const auto &it) {
    return it.first != request && it.second.QuarantinedUntil &&
           std::any_of(
               it.second.Servers.begin(), it.second.Servers.end(),
               [&](const EndedServer &ended) { return ended.Name == server; });
  });
}

void CrashSuspects::addServer(Suspect &suspect, uint64_t server,
                              TimePoint endedAt) {
  bool isKnown = std::any_of(
      suspect.Servers.begin(), suspect.Servers.end(),
      [&](const EndedServer &ended) { return ended.Name == server; });
  if (isKnown)
    return;
  if (suspect.Servers.size() >= MostServers)
    suspect.Servers.erase(suspect.Servers.begin());
  suspect.Servers.push_back({server, endedAt});
  suspect.LastAt = std::max(suspect.LastAt, endedAt);
}

void CrashSuspects::tell(Suspect &suspect, TimePoint from) {
  suspect.TellsLeft = Tells;
  suspect.TellFrom = from;
}

std::vector<Id128> CrashSuspects::onConnectionBroken(const Id128 &request,
                                                     uint64_t server,
                                                     uint32_t occasionsWhenSent,
                                                     TimePoint now) {
  if (Settings.ServersToQuarantine == 0)
    return {};
  std::lock_guard guard(Lock);
  if (wasAnswered(request) || isBlamedOnAnother(request, server))
    return {};
  Suspect &suspect = Suspects[request];
  // What was known when it was sent may have been cleared since.
  uint32_t before = std::min(occasionsWhenSent, suspect.Occasions);
  suspect.Occasions = std::max(suspect.Occasions, before + 1);
  addServer(suspect, server, now);
  tell(suspect, now + SignOfLifeAfter);
  std::vector<Id128> out = judge(request, now);
  if (suspect.QuarantinedUntil)
    acquitOthers(request);
  makeRoom();
  count();
  return out;
}

std::vector<Id128> CrashSuspects::judge(const Id128 &request, TimePoint now) {
  Suspect &suspect = Suspects[request];
  if (suspect.QuarantinedUntil || suspect.Occasions < OccasionsToQuarantine ||
      suspect.Servers.size() < Settings.ServersToQuarantine)
    return {};
  quarantine(request, Settings.QuarantineDuration, now);
  return {request};
}

void CrashSuspects::quarantine(const Id128 &request, Duration left,
                               TimePoint now) {
  Suspect &suspect = Suspects[request];
  suspect.QuarantinedUntil = now + std::min(left, Settings.QuarantineDuration);
  suspect.LastAt = now;
  tell(suspect, now);
  acquitOthers(request);
}

void CrashSuspects::acquitOthers(const Id128 &guilty) {
  const std::vector<EndedServer> servers = Suspects[guilty].Servers;
  auto isExplained = [&](const EndedServer &ended) {
    return std::any_of(
        servers.begin(), servers.end(),
        [&](const EndedServer &it) { return it.Name == ended.Name; });
  };
  for (auto &[request, suspect] : Suspects)
    if (request != guilty && !suspect.QuarantinedUntil)
      std::erase_if(suspect.Servers, isExplained);
  dropUnfounded();
}

void CrashSuspects::dropUnfounded() {
  std::erase_if(Suspects, [](const auto &it) {
    return it.second.Servers.empty() && !it.second.QuarantinedUntil;
  });
}

bool CrashSuspects::isRefuted(const Id128 &request, uint64_t server,
                              TimePoint endedAt) const {
  auto cleared = Cleared.find(request);
  if (cleared != Cleared.end() && endedAt <= cleared->second.At)
    return true;
  auto living = Living.find(server);
  if (living != Living.end() && endedAt + SignOfLifeAfter <= living->second.At)
    return true;
  return isBlamedOnAnother(request, server);
}

void CrashSuspects::merge(const CrashReport &report, TimePoint now) {
  Suspect &suspect = Suspects[report.Request];
  bool isWhole = true;
  for (const Aged<uint64_t> &ended : report.Servers) {
    TimePoint at = momentOf(ended.AgoMs, now);
    if (isRefuted(report.Request, ended.What, at))
      isWhole = false;
    else
      addServer(suspect, ended.What, at);
  }
  // Its occasions are those of all its servers.
  if (isWhole)
    suspect.Occasions = std::max(suspect.Occasions, report.Occasions);
  else if (!suspect.Servers.empty())
    suspect.Occasions = std::max(suspect.Occasions, 1U);
}

std::vector<Id128> CrashSuspects::onPeerReports(const CrashReports &reports,
                                                TimePoint now) {
  if (Settings.ServersToQuarantine == 0)
    return {};
  std::vector<Id128> out;
  std::lock_guard guard(Lock);
  for (const Aged<Id128> &it : reports.Cleared)
    clear(it.What, 0, momentOf(it.AgoMs, now));
  for (const Aged<uint64_t> &it : reports.Living)
    live(it.What, 0, momentOf(it.AgoMs, now));
  for (const CrashReport &report : reports.Suspects) {
    if (wasAnswered(report.Request)) {
      clear(report.Request, Tells, now);
      continue;
    }
    merge(report, now);
    Suspect &suspect = Suspects[report.Request];
    bool isQuarantineNews = report.QuarantineLeft > 0 &&
                            !suspect.QuarantinedUntil &&
                            !Cleared.contains(report.Request);
    if (isQuarantineNews) {
      quarantine(report.Request, Duration(report.QuarantineLeft), now);
      suspect.TellsLeft = 0; // Whoever told goes on telling.
      out.push_back(report.Request);
    } else if (suspect.QuarantinedUntil) {
      acquitOthers(report.Request);
      // An entry that has only just started doesn't know.
      if (report.QuarantineLeft == 0 && suspect.TellsLeft <= 0)
        tell(suspect, now);
    } else {
      std::vector<Id128> judged = judge(report.Request, now);
      out.insert(out.end(), judged.begin(), judged.end());
    }
  }
  dropUnfounded();
  makeRoom();
  count();
  return out;
}

std::vector<Id128> CrashSuspects::onQuarantineRecord(const Id128 &request,
                                                     TimePoint now) {
  std::lock_guard guard(Lock);
  auto it = Suspects.find(request);
  bool isKnown = it != Suspects.end() && it->second.QuarantinedUntil;
  if (wasAnswered(request))
    clear(request, Tells, now);
  count();
  if (Settings.ServersToQuarantine == 0 || isKnown || Cleared.contains(request))
    return {};
  Suspects[request].Occasions = OccasionsToQuarantine;
  quarantine(request, Settings.QuarantineDuration, now);
  Suspects[request].TellsLeft = 0; // The others read the same record.
  count();
  return {request};
}

void CrashSuspects::clear(const Id128 &request, double tells, TimePoint at) {
  Relief &relief = Cleared[request];
  relief.At = std::max(relief.At, at);
  relief.TellsLeft = std::max(relief.TellsLeft, tells);
  auto it = Suspects.find(request);
  if (it == Suspects.end())
    return;
  Suspect &suspect = it->second;
  std::erase_if(suspect.Servers,
                [&](const EndedServer &ended) { return ended.At <= at; });
  if (suspect.Servers.empty()) {
    Suspects.erase(it);
    return;
  }
  // What came after the answer begins anew.
  suspect.QuarantinedUntil.reset();
  suspect.Occasions = 1;
}

bool CrashSuspects::wasAnswered(const Id128 &request) const {
  return Answered.contains(request) || AnsweredBefore.contains(request);
}

void CrashSuspects::forgetAnswers(TimePoint now) {
  bool isFull = Answered.size() >= Settings.MostAnswered;
  if (!isFull && now < AnsweredSince + AnswerMemory)
    return;
  AnsweredBefore = std::exchange(Answered, {});
  AnsweredSince = now;
}

void CrashSuspects::onAnswered(const Id128 &request, TimePoint now) {
  if (Settings.ServersToQuarantine == 0)
    return;
  std::lock_guard guard(Lock);
  forgetAnswers(now);
  Answered.insert(request);
  if (!Suspects.contains(request))
    return;
  clear(request, Tells, now);
  count();
}

bool CrashSuspects::dropServer(uint64_t server, TimePoint heardAt) {
  bool out = false;
  std::vector<Id128> lifted;
  for (auto &[request, suspect] : Suspects) {
    size_t n = std::erase_if(suspect.Servers, [&](const EndedServer &ended) {
      return ended.Name == server && ended.At + SignOfLifeAfter <= heardAt;
    });
    out |= n > 0;
    bool isUnproved = suspect.Servers.size() < Settings.ServersToQuarantine;
    if (n > 0 && suspect.QuarantinedUntil && isUnproved)
      lifted.push_back(request);
  }
  for (const Id128 &request : lifted)
    clear(request, Tells, heardAt);
  dropUnfounded();
  return out;
}

void CrashSuspects::live(uint64_t server, double tells, TimePoint at) {
  dropServer(server, at);
  Relief &relief = Living[server];
  relief.At = std::max(relief.At, at);
  relief.TellsLeft = std::max(relief.TellsLeft, tells);
}

void CrashSuspects::onServerAlive(uint64_t server, TimePoint now) {
  if (isEmpty())
    return;
  std::lock_guard guard(Lock);
  if (!dropServer(server, now))
    return;
  live(server, Tells, now);
  count();
}

void CrashSuspects::onTimer(TimePoint now) {
  std::lock_guard guard(Lock);
  forgetAnswers(now);
  for (auto &[request, suspect] : Suspects) {
    if (!suspect.QuarantinedUntil || now < *suspect.QuarantinedUntil)
      continue;
    suspect.QuarantinedUntil.reset();
    suspect.LastAt = now;
    size_t kept = Settings.ServersToQuarantine - 1;
    if (suspect.Servers.size() > kept)
      suspect.Servers.resize(kept);
  }
  std::erase_if(Suspects, [&](const auto &it) {
    return !it.second.QuarantinedUntil &&
           now >= it.second.LastAt + Settings.QuarantineDuration;
  });
  auto isOver = [&](const auto &it) {
    return now >= it.second.At + ReliefMemory;
  };
  std::erase_if(Cleared, isOver);
  std::erase_if(Living, isOver);
  count();
}

void CrashSuspects::makeRoom() {
  if (Suspects.size() <= Settings.MostSuspects)
    return;
  auto isLess = [](const auto &a, const auto &b) {
    bool isHeldA = a.second.QuarantinedUntil.has_value();
    bool isHeldB = b.second.QuarantinedUntil.has_value();
    return std::pair(isHeldA, a.second.LastAt) <
           std::pair(isHeldB, b.second.LastAt);
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
    if (it.second.TellsLeft > 0 && now >= it.second.TellFrom)
      due.push_back(&it);
  auto isGraver = [](const auto *a, const auto *b) {
    auto weight = [](const Suspect &it) {
      return std::tuple(it.QuarantinedUntil.has_value(), it.Servers.size(),
                        it.LastAt);
    };
    return weight(a->second) > weight(b->second);
  };
  std::sort(due.begin(), due.end(), isGraver);
  for (auto *it : due) {
    if (out.Suspects.size() >= MostReports)
      break;
    Suspect &suspect = it->second;
    suspect.TellsLeft -= shareOfEntries;
    CrashReport report{it->first, suspect.Occasions, {}, 0};
    for (const EndedServer &ended : suspect.Servers)
      report.Servers.push_back({ended.Name, agoMs(ended.At, now)});
    if (suspect.QuarantinedUntil)
      report.QuarantineLeft = (*suspect.QuarantinedUntil - now).count();
    out.Suspects.push_back(std::move(report));
  }
  auto takeReliefs = [&](auto &reliefs, auto &into) {
    for (auto &[name, relief] : reliefs) {
      if (relief.TellsLeft <= 0 || into.size() >= MostReliefs)
        continue;
      relief.TellsLeft -= shareOfEntries;
      into.push_back({name, agoMs(relief.At, now)});
    }
  };
  takeReliefs(Cleared, out.Cleared);
  takeReliefs(Living, out.Living);
  return out;
}

} // namespace daisytack::direct
