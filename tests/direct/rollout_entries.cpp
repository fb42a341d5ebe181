/// The entries of the simulated rollout.
#include "direct/rollout_model.h"

namespace daisytack::direct {

void RolloutModel::onCatalog(Entry &entry) {
  auto catalog = entry.Keeper.view();
  for (const BackendServer &server : catalog->AllServers) {
    auto it = entry.VersionBeforeLoad.find(server.Id);
    if (it == entry.VersionBeforeLoad.end() ||
        server.versionOf("model") == it->second)
      continue;
    entry.Loads.onLoadEnded(server.ref());
    entry.VersionBeforeLoad.erase(it);
  }
  if (catalog->DesiredVersions == entry.ReviewedVersions)
    return;
  entry.ReviewedVersions = catalog->DesiredVersions;
  for (size_t call : std::set<size_t>(entry.Waiting))
    Calls[call]->Flow->onBeginLimitsChanged(Now);
}

void RolloutModel::gossip() {
  for (size_t i = 0; i < Entries.size(); ++i)
    for (auto &to : Entries) {
      if (to == Entries[i] || chance(0.05))
        continue;
      auto loads = Entries[i]->Loads.ownLoads(Now);
      auto ages = Entries[i]->Keeper.view()->rolloutAges(Now);
      in(transit(), [this, i, loads, ages, &it = *to] {
        it.Loads.onPeerReport(std::to_string(i), loads, 200ms, Now);
        it.Keeper.onPeerAges(ages, Now);
        onCatalog(it);
      });
    }
  in(200ms, [this] { gossip(); });
}

void RolloutModel::announceLoading() {
  for (const ServerStart &start : Plan.loadingServers())
    for (auto &entry : Entries)
      if (!chance(0.05))
        in(transit(), [this, start, &it = *entry] {
          it.Loads.onLoading(start, Now + LoadAvoidance, Now);
          for (const BackendServer &server : it.Keeper.view()->AllServers)
            if (server.Id == start.Id)
              it.VersionBeforeLoad[start.Id] = server.versionOf("model");
        });
}

} // namespace daisytack::direct
