#include "direct/weight_plan.h"

#include <algorithm>
#include <utility>

namespace daisytack::direct {

std::vector<WeightPlan::OutdatedServer>
WeightPlan::outdatedServers(const Catalog &catalog) const {
  std::vector<OutdatedServer> out;
  for (const BackendServer &server : catalog.AllServers) {
    if (server.IsDraining)
      continue;
    for (const ModelVersion &loaded : server.Weights)
      if (auto since = catalog.outdatedSince(loaded.Model, loaded.Version))
        out.push_back({&server,
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
/// but enough to finish the rollout within the limit.
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
  auto needed = static_cast<size_t>(static_cast<int64_t>(outdated.size()) *
                                    Settings.UsualLoadTime / left);
  size_t maxLoads = std::max<size_t>(outdated.size() / 2, minLoads);
  return std::clamp<size_t>(needed, minLoads, maxLoads);
}

void WeightPlan::dropFinishedLoads(const Catalog &catalog, TimePoint now) {
  std::erase_if(Loads, [&](const auto &it) {
    const auto &servers = catalog.AllServers;
    auto server =
        std::find_if(servers.begin(), servers.end(),
                     [&](const BackendServer &s) { return s.Id == it.first; });
    bool isGone = server == servers.end() || server->IsDraining;
    bool isDone = !isGone && server->versionOf(it.second.Desired.Model) >=
                                 it.second.Desired.Version;
    bool isRestarted = !isGone && server->StartedMs != it.second.StartedMs;
    bool isStuck = now >= it.second.Since + Settings.LoadTimeout;
    return isGone || isDone || isRestarted || isStuck;
  });
}

const WeightPlan::OutdatedServer *
WeightPlan::pickNext(const std::vector<OutdatedServer> &outdated,
                     const Catalog &catalog) const {
  std::map<std::string_view, uint32_t> loading; ///< By failure domain.
  for (const BackendServer &server : catalog.AllServers)
    loading[server.FailureDomain] += Loads.contains(server.Id) ? 1 : 0;
  // Longest outdated first, then from the domain with the fewest loads.
  auto rank = [&](const OutdatedServer &it) {
    return std::pair(it.Since, loading[it.Server->FailureDomain]);
  };
  const OutdatedServer *out = nullptr;
  for (const OutdatedServer &it : outdated)
    if (!Loads.contains(it.Server->Id) && (!out || rank(it) < rank(*out)))
      out = &it;
  return out;
}

void WeightPlan::startLoads(const Catalog &catalog, TimePoint now) {
  std::vector<OutdatedServer> outdated = outdatedServers(catalog);
  size_t maxLoads = concurrency(catalog, outdated, now);
  while (Loads.size() < maxLoads) {
    const OutdatedServer *it = pickNext(outdated, catalog);
    if (!it)
      return;
    Loads[it->Server->Id] = {it->Server->StartedMs,
                             it->Server->Address,
                             it->Desired,
                             Phase::Asking,
                             now,
                             now + Settings.PrepareTime};
  }
}

std::vector<WeightAction> WeightPlan::next(const Catalog &catalog,
                                           TimePoint now) {
  dropFinishedLoads(catalog, now);
  startLoads(catalog, now);
  std::vector<WeightAction> out;
  for (auto &[id, load] : Loads) {
    if (now < load.NextCheckAt)
      continue;
    load.CurrentPhase = Phase::Asking;
    load.NextCheckAt = now + Settings.CallTimeout;
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
  if (it == Loads.end() || it->second.CurrentPhase != Phase::Asking)
    return {};
  Load &load = it->second;
  // A report of another start: either this one is late, or the record of a
  // newer start has not arrived yet.
  bool isOtherStart = report && report->StartedMs != 0 && load.StartedMs != 0 &&
                      report->StartedMs != load.StartedMs;
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
    return {};
  }
  load.CurrentPhase = Phase::Ordering;
  load.NextCheckAt = now + Settings.CallTimeout;
  return {SendWeightOrder{server, load.Address, load.Desired,
                          report->OrdersTaken, load.StartedMs}};
}

void WeightPlan::onAnswer(ServerRef server, OrderAnswer answer, TimePoint now) {
  auto it = Loads.find(std::string(server.Id));
  // A rejected fencing token concerns this process, so it counts whichever
  // start of the server sent it.
  if (answer == OrderAnswer::Fenced)
    return Loads.clear();
  if (it == Loads.end() || it->second.StartedMs != server.StartedMs)
    return;
  Load &load = it->second;
  load.CurrentPhase = Phase::Loading;
  switch (answer) {
  case OrderAnswer::Accepted:
    load.NextCheckAt = now + Settings.FirstCheckDelay;
    return;
  case OrderAnswer::Conflict:
  case OrderAnswer::Impossible:
  case OrderAnswer::Unknown:
    load.NextCheckAt = now + Settings.RefusalRetryDelay;
    return;
  case OrderAnswer::OtherServer:
    Loads.erase(it);
    return;
  case OrderAnswer::Fenced:
    return;
  }
}

std::vector<ServerStart> WeightPlan::loadingServers() const {
  std::vector<ServerStart> out;
  for (const auto &[id, load] : Loads)
    out.push_back({id, load.StartedMs});
  return out;
}

} // namespace daisytack::direct
