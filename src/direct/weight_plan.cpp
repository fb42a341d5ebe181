#include "direct/weight_plan.h"

#include <algorithm>
#include <utility>

namespace daisytack::direct {

std::vector<WeightPlan::Behind>
WeightPlan::serversBehind(const Catalog &catalog) const {
  std::vector<Behind> out;
  for (const BackendServer &server : catalog.AllServers) {
    if (server.IsDraining)
      continue;
    for (const ModelVersion &has : server.Weights)
      if (auto since = catalog.behindSince(has.Model, has.Version))
        out.push_back(
            {&server, {has.Model, catalog.wantedVersion(has.Model)}, *since});
  }
  return out;
}

size_t WeightPlan::leastConcurrency(const Catalog &catalog) const {
  auto engines = std::count_if(
      catalog.AllServers.begin(), catalog.AllServers.end(),
      [](const BackendServer &it) { return !it.Weights.empty(); });
  auto share = static_cast<size_t>(static_cast<double>(engines) *
                                   Settings.ConcurrentShare);
  return std::max<size_t>(share, Settings.ConcurrentLoads);
}

/// Few at a time load fastest, but the last must be done in time.
size_t WeightPlan::concurrency(const Catalog &catalog,
                               const std::vector<Behind> &behind,
                               TimePoint now) const {
  size_t least = leastConcurrency(catalog);
  if (behind.empty())
    return least;
  TimePoint oldest = now;
  for (const Behind &it : behind)
    oldest = std::min(oldest, it.Since);
  Duration left = std::max(oldest + Settings.Limit - now, Settings.UsualLoad);
  auto needed = static_cast<size_t>(static_cast<int64_t>(behind.size()) *
                                    Settings.UsualLoad / left);
  size_t most = std::max<size_t>(behind.size() / 2, least);
  return std::clamp<size_t>(needed, least, most);
}

void WeightPlan::forgetDone(const Catalog &catalog, TimePoint now) {
  std::erase_if(Loads, [&](const auto &it) {
    const auto &servers = catalog.AllServers;
    auto server =
        std::find_if(servers.begin(), servers.end(),
                     [&](const BackendServer &s) { return s.Id == it.first; });
    bool isGone = server == servers.end() || server->IsDraining;
    bool isDone = !isGone && server->versionOf(it.second.Wanted.Model) >=
                                 it.second.Wanted.Version;
    bool isRestarted = !isGone && server->StartedMs != it.second.StartedMs;
    bool isStuck = now >= it.second.Since + Settings.LoadPatience;
    return isGone || isDone || isRestarted || isStuck;
  });
}

const WeightPlan::Behind *WeightPlan::pick(const std::vector<Behind> &behind,
                                           const Catalog &catalog) const {
  std::map<std::string_view, uint32_t> loading; ///< By failure domain.
  for (const BackendServer &server : catalog.AllServers)
    loading[server.FailureDomain] += Loads.contains(server.Id) ? 1 : 0;
  // Those that must be done first, spread over the failure domains.
  auto rank = [&](const Behind &it) {
    return std::pair(it.Since, loading[it.Server->FailureDomain]);
  };
  const Behind *out = nullptr;
  for (const Behind &it : behind)
    if (!Loads.contains(it.Server->Id) && (!out || rank(it) < rank(*out)))
      out = &it;
  return out;
}

void WeightPlan::begin(const Catalog &catalog, TimePoint now) {
  std::vector<Behind> behind = serversBehind(catalog);
  size_t most = concurrency(catalog, behind, now);
  while (Loads.size() < most) {
    const Behind *it = pick(behind, catalog);
    if (!it)
      return;
    Loads[it->Server->Id] = {it->Server->StartedMs,
                             it->Server->Address,
                             it->Wanted,
                             Phase::Asking,
                             now,
                             now + Settings.PrepareTime};
  }
}

std::vector<WeightAction> WeightPlan::next(const Catalog &catalog,
                                           TimePoint now) {
  forgetDone(catalog, now);
  begin(catalog, now);
  std::vector<WeightAction> out;
  for (auto &[id, load] : Loads) {
    if (now < load.LookAt)
      continue;
    load.At = Phase::Asking;
    load.LookAt = now + Settings.CallPatience;
    // The one that it was chosen for may have been superseded since.
    load.Wanted.Version =
        std::max(load.Wanted.Version, catalog.wantedVersion(load.Wanted.Model));
    out.push_back(AskReport{id, load.Address});
  }
  return out;
}

std::vector<WeightAction>
WeightPlan::onReport(const std::string &server,
                     const std::optional<EngineReport> &report, TimePoint now) {
  auto it = Loads.find(server);
  if (it == Loads.end() || it->second.At != Phase::Asking)
    return {};
  Load &load = it->second;
  // Of another start: it came late, or the record of the new start will come.
  bool isOther = report && report->StartedMs != 0 && load.StartedMs != 0 &&
                 report->StartedMs != load.StartedMs;
  if (!report || isOther) {
    load.LookAt = now + Settings.RefusalPause;
    return {};
  }
  uint64_t version = 0;
  for (const ModelVersion &has : report->Weights)
    if (has.Model == load.Wanted.Model)
      version = has.Version;
  if (version >= load.Wanted.Version) {
    ModelVersion has{load.Wanted.Model, version};
    uint64_t startedMs = load.StartedMs;
    Loads.erase(it);
    return {NoteLoaded{server, std::move(has), startedMs}};
  }
  if (report->IsBusy) {
    load.At = Phase::Loading;
    load.LookAt = now + Settings.LookInterval;
    return {};
  }
  load.At = Phase::Ordering;
  load.LookAt = now + Settings.CallPatience;
  return {GiveOrder{server, load.Address, load.Wanted, report->OrdersTaken,
                    load.StartedMs}};
}

void WeightPlan::onAnswer(ServerRef server, OrderAnswer answer, TimePoint now) {
  auto it = Loads.find(std::string(server.Id));
  // A refusal for the token says something of this process, not of the server.
  if (answer == OrderAnswer::Fenced)
    return Loads.clear();
  if (it == Loads.end() || it->second.StartedMs != server.StartedMs)
    return;
  Load &load = it->second;
  load.At = Phase::Loading;
  switch (answer) {
  case OrderAnswer::Accepted:
    load.LookAt = now + Settings.FirstLook;
    return;
  case OrderAnswer::Conflict:
  case OrderAnswer::Impossible:
  case OrderAnswer::Unknown:
    load.LookAt = now + Settings.RefusalPause;
    return;
  case OrderAnswer::OtherServer:
    Loads.erase(it);
    return;
  case OrderAnswer::Fenced:
    return;
  }
}

std::vector<ServerStart> WeightPlan::busy() const {
  std::vector<ServerStart> out;
  for (const auto &[id, load] : Loads)
    out.push_back({id, load.StartedMs});
  return out;
}

} // namespace daisytack::direct
