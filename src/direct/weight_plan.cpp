#include "direct/weight_plan.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace daisytack::direct {

std::string_view postponeReasonName(PostponeReason reason) {
  switch (reason) {
  case PostponeReason::NoReport:
    return "no_report";
  case PostponeReason::NoAnswer:
    return "no_answer";
  case PostponeReason::Refused:
    return "refused";
  case PostponeReason::TooSlow:
    return "too_slow";
  }
  return "unknown";
}

void WeightPlan::clear() {
  Loads.clear();
  Failures.clear();
}

std::vector<WeightPlan::OutdatedServer>
WeightPlan::outdatedServers(const Catalog &catalog) const {
  std::vector<OutdatedServer> out;
  for (const BackendServer &server : catalog.AllServers) {
    if (server.IsDraining)
      continue;
    for (const ModelVersion &loaded : server.Weights)
      if (auto since = catalog.outdatedSince(loaded.Model, loaded.Version))
        out.push_back({&server,
                       loaded.Version,
                       {loaded.Model, catalog.desiredVersion(loaded.Model)},
                       *since});
  }
  return out;
}

size_t WeightPlan::minConcurrency(const Catalog &catalog) const {
  auto engines = std::count_if(
      catalog.AllServers.begin(), catalog.AllServers.end(),
      [](const BackendServer &it) { return !it.Weights.empty(); });
  auto share = static_cast<size_t>(static_cast<double>(engines) *
                                   Settings.ConcurrentShare);
  return std::max<size_t>(share, Settings.ConcurrentLoads);
}

/// As few as possible at a time, because concurrent loads slow each other down,
/// but enough to finish the rollout within the limit. An engine that left an
/// order unanswered counts twice, as the next orders may get no answer either.
size_t WeightPlan::concurrency(const Catalog &catalog,
                               const std::vector<OutdatedServer> &outdated,
                               TimePoint now) const {
  size_t minLoads = minConcurrency(catalog);
  if (outdated.empty())
    return minLoads;
  TimePoint oldest = now;
  for (const OutdatedServer &it : outdated)
    oldest = std::min(oldest, it.Since);
  Duration left =
      std::max(oldest + Settings.RolloutLimit - now, Settings.UsualLoadTime);
  auto loadsToDo = static_cast<int64_t>(outdated.size());
  for (const OutdatedServer &it : outdated) {
    const FailureHistory *failures = failuresOf(it);
    loadsToDo += failures && failures->HasUnansweredOrder ? 1 : 0;
  }
  auto needed = static_cast<size_t>(loadsToDo * Settings.UsualLoadTime / left);
  size_t maxLoads = std::max<size_t>(outdated.size() / 2, minLoads);
  return std::clamp<size_t>(needed, minLoads, maxLoads);
}

void WeightPlan::dropFinishedLoads(const Catalog &catalog) {
  std::erase_if(Loads, [&](const auto &it) {
    const auto &servers = catalog.AllServers;
    auto server =
        std::find_if(servers.begin(), servers.end(),
                     [&](const BackendServer &s) { return s.Id == it.first; });
    bool isGone = server == servers.end() || server->IsDraining;
    bool isDone = !isGone && server->versionOf(it.second.Desired.Model) >=
                                 it.second.Desired.Version;
    bool isRestarted = !isGone && server->StartedMs != it.second.StartedMs;
    return isGone || isDone || isRestarted;
  });
}

std::vector<WeightAction> WeightPlan::postponeSlowLoads(TimePoint now) {
  std::vector<WeightAction> out;
  for (auto it = Loads.begin(); it != Loads.end();) {
    auto load = it++;
    if (now >= load->second.Since + Settings.LoadTimeout)
      out.push_back(postpone(load, PostponeReason::TooSlow));
  }
  return out;
}

NotePostponed WeightPlan::postpone(LoadMap::iterator load,
                                   PostponeReason reason) {
  ServerStart start{load->first, load->second.StartedMs};
  FailureHistory &history = Failures[start];
  // A version that was named after the order has had no turn yet.
  uint64_t version = load->second.OrderedVersion != 0
                         ? load->second.OrderedVersion
                         : load->second.Desired.Version;
  if (history.Version != version)
    history = {version};
  ++history.Count;
  history.HasUnansweredOrder |= reason == PostponeReason::NoAnswer;
  NotePostponed out{start.Id, start.StartedMs, load->second.Desired, reason,
                    history.Count};
  Loads.erase(load);
  return out;
}

void WeightPlan::forgetFailures(const std::vector<OutdatedServer> &outdated) {
  std::erase_if(Failures, [&](const auto &failure) {
    return std::none_of(outdated.begin(), outdated.end(),
                        [&](const OutdatedServer &it) {
                          return it.Server->ref().start() == failure.first;
                        });
  });
}

const WeightPlan::FailureHistory *
WeightPlan::failuresOf(const OutdatedServer &server) const {
  auto it = Failures.find(server.Server->ref().start());
  bool isOfVersion =
      it != Failures.end() && it->second.Version == server.Desired.Version;
  return isOfVersion ? &it->second : nullptr;
}

const WeightPlan::OutdatedServer *
WeightPlan::pickNext(const std::vector<OutdatedServer> &outdated,
                     const Catalog &catalog) const {
  std::map<std::string_view, uint32_t> loading; ///< By failure domain.
  for (const BackendServer &server : catalog.AllServers)
    loading[server.FailureDomain] += Loads.contains(server.Id) ? 1 : 0;
  // Longest outdated first, then the oldest weights, as times may only be
  // assumed, then from the domain with the fewest loads. Each failure puts an
  // engine behind those that became outdated a load's time later.
  auto rank = [&](const OutdatedServer &it) {
    const FailureHistory *failures = failuresOf(it);
    Duration delay = Settings.UsualLoadTime * (failures ? failures->Count : 0);
    return std::tuple(it.Since + delay, it.LoadedVersion,
                      loading[it.Server->FailureDomain]);
  };
  const OutdatedServer *out = nullptr;
  for (const OutdatedServer &it : outdated)
    if (!Loads.contains(it.Server->Id) && (!out || rank(it) < rank(*out)))
      out = &it;
  return out;
}

void WeightPlan::startLoads(const Catalog &catalog, TimePoint now) {
  std::vector<OutdatedServer> outdated = outdatedServers(catalog);
  forgetFailures(outdated);
  size_t maxLoads = concurrency(catalog, outdated, now);
  while (Loads.size() < maxLoads) {
    const OutdatedServer *it = pickNext(outdated, catalog);
    if (!it)
      return;
    Load load;
    load.StartedMs = it->Server->StartedMs;
    load.Address = it->Server->Address;
    load.Desired = it->Desired;
    load.Since = now;
    load.NextCheckAt = now + Settings.PrepareTime;
    Loads.insert_or_assign(it->Server->Id, std::move(load));
  }
}

std::vector<WeightAction> WeightPlan::next(const Catalog &catalog,
                                           TimePoint now) {
  dropFinishedLoads(catalog);
  std::vector<WeightAction> out = postponeSlowLoads(now);
  startLoads(catalog, now);
  bool mayRepeat = haveAllHadTurn(catalog);
  for (auto &[id, load] : Loads) {
    if (mayRepeat && isRepetitionDue(load, now))
      out.push_back(sendOrder(id, load, now));
    bool isRepetition =
        (mayRepeat || load.OrderedVersion != 0) && load.OpenRequests > 0 &&
        load.CurrentPhase == Phase::Asking && now >= load.NextRequestAt;
    if (now < load.NextCheckAt && !isRepetition)
      continue;
    if (!isRepetition) {
      load.AskedAt = now;
      load.NextCheckAt = now + Settings.CallTimeout;
    }
    load.CurrentPhase = Phase::Asking;
    load.NextRequestAt = now + Settings.RepeatInterval;
    ++load.OpenRequests;
    // A newer version may have become desired since the engine was selected.
    load.Desired.Version = std::max(load.Desired.Version,
                                    catalog.desiredVersion(load.Desired.Model));
    out.push_back(RequestReport{id, load.Address});
  }
  return out;
}

std::vector<WeightAction>
WeightPlan::onReport(const std::string &server,
                     const std::optional<EngineReport> &report, TimePoint now) {
  auto it = Loads.find(server);
  if (it == Loads.end())
    return {};
  Load &load = it->second;
  load.OpenRequests -= std::min(load.OpenRequests, 1U);
  bool isRepeated = !report && load.OpenRequests > 0 &&
                    now < load.AskedAt + Settings.CallTimeout;
  if (load.CurrentPhase != Phase::Asking || isRepeated)
    return {};
  // A report of another start: either this one is late, or the record of a
  // newer start has not arrived yet.
  bool isOtherStart = report && report->StartedMs != 0 && load.StartedMs != 0 &&
                      report->StartedMs != load.StartedMs;
  if (!report && !load.IsOrderAccepted)
    return {postpone(it, PostponeReason::NoReport)};
  if (!report || isOtherStart) {
    load.NextCheckAt = now + Settings.RefusalRetryDelay;
    return {};
  }
  uint64_t version = 0;
  for (const ModelVersion &loaded : report->Weights)
    if (loaded.Model == load.Desired.Model)
      version = loaded.Version;
  if (version >= load.Desired.Version) {
    ModelVersion loaded{load.Desired.Model, version};
    uint64_t startedMs = load.StartedMs;
    Loads.erase(it);
    return {NoteLoaded{server, std::move(loaded), startedMs}};
  }
  if (report->IsBusy) {
    load.CurrentPhase = Phase::Loading;
    load.NextCheckAt = now + Settings.CheckInterval;
    load.IsOrderUnanswered = false;
    load.IsOrderAccepted = true;
    return {};
  }
  if (load.IsOrderUnanswered && load.OrderedVersion == load.Desired.Version)
    return {postpone(it, PostponeReason::NoAnswer)};
  load.CurrentPhase = Phase::Ordering;
  load.IsOrderAccepted = false;
  load.OrdersTaken = report->OrdersTaken;
  load.OrdersSent = 0;
  load.OrdersFailed = 0;
  return {sendOrder(server, load, now)};
}

bool WeightPlan::isRepetitionDue(const Load &load, TimePoint now) const {
  return load.CurrentPhase == Phase::Ordering && now >= load.NextOrderAt &&
         load.OrdersSent < Settings.OrdersPerTurn &&
         load.OrdersSent > load.OrdersFailed;
}

SendWeightOrder WeightPlan::sendOrder(const std::string &server, Load &load,
                                      TimePoint now) const {
  load.OrderedVersion = load.Desired.Version;
  ++load.OrdersSent;
  load.IsOrderUnanswered = true;
  load.NextOrderAt = now + Settings.RepeatInterval;
  load.NextCheckAt = now + Settings.MaxReportAge;
  return {server, load.Address, load.Desired, load.OrdersTaken, load.StartedMs};
}

bool WeightPlan::haveAllHadTurn(const Catalog &catalog) const {
  std::vector<OutdatedServer> outdated = outdatedServers(catalog);
  return std::all_of(
      outdated.begin(), outdated.end(), [&](const OutdatedServer &it) {
        auto load = Loads.find(it.Server->Id);
        bool isOrdered = load != Loads.end() &&
                         load->second.OrderedVersion == it.Desired.Version;
        return isOrdered || failuresOf(it);
      });
}

std::vector<WeightAction>
WeightPlan::onAnswer(ServerRef server, OrderAnswer answer, TimePoint now) {
  auto it = Loads.find(std::string(server.Id));
  // A rejected fencing token concerns this process, so it counts whichever
  // start of the server sent it.
  if (answer == OrderAnswer::Fenced) {
    clear();
    return {};
  }
  bool isExpected = it != Loads.end() &&
                    it->second.StartedMs == server.StartedMs &&
                    it->second.IsOrderUnanswered;
  if (!isExpected)
    return {}; // The order belongs to a load that was dropped.
  Load &load = it->second;
  switch (answer) {
  case OrderAnswer::Accepted:
    load.CurrentPhase = Phase::Loading;
    load.IsOrderUnanswered = false;
    load.IsOrderAccepted = true;
    load.NextCheckAt = now + Settings.FirstCheckDelay;
    break;
  case OrderAnswer::Conflict:
    load.CurrentPhase = Phase::Loading;
    load.IsOrderUnanswered = false;
    load.NextCheckAt = now + Settings.RefusalRetryDelay;
    break;
  case OrderAnswer::Impossible:
    return {postpone(it, PostponeReason::Refused)};
  case OrderAnswer::OtherServer:
    Loads.erase(it);
    break;
  case OrderAnswer::Unknown: // The next report shows whether it was accepted.
    ++load.OrdersFailed;
    break;
  case OrderAnswer::Fenced:
    break;
  }
  return {};
}

std::vector<ServerStart> WeightPlan::loadingServers() const {
  std::vector<ServerStart> out;
  for (const auto &[id, load] : Loads)
    out.push_back({id, load.StartedMs});
  return out;
}

} // namespace daisytack::direct
