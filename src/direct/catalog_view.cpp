/// Queries of the catalog and of its keeper.
#include "direct/catalog.h"

#include <algorithm>

namespace daisytack::direct {

const std::vector<BackendServer> &
Catalog::serversOf(std::string_view service) const {
  static const std::vector<BackendServer> None;
  auto it = Servers.find(service);
  return it == Servers.end() ? None : it->second;
}

bool Catalog::takesRequests(ServerRef server) const {
  auto byId = [](const BackendServer &it, std::string_view id) {
    return it.Id < id;
  };
  auto it =
      std::lower_bound(AllServers.begin(), AllServers.end(), server.Id, byId);
  return it != AllServers.end() && it->Id == server.Id &&
         it->StartedMs == server.StartedMs && !it->IsDraining &&
         !Evacuated.contains(it->FailureDomain);
}

bool Catalog::isAnnounced(std::string_view name, const Endpoint &peer) const {
  return std::any_of(Entries.begin(), Entries.end(), [&](const EntryPeer &it) {
    return it.Name == name && it.Peer == peer;
  });
}

std::optional<uint64_t> Catalog::oldestVersion() const {
  std::optional<uint64_t> out;
  auto add = [&out](const std::vector<ModelVersion> &weights) {
    for (const ModelVersion &it : weights)
      out = std::min(out.value_or(it.Version), it.Version);
  };
  for (const BackendServer &server : AllServers)
    add(server.Weights);
  add(LastKnownWeights);
  return out;
}

uint64_t Catalog::desiredVersion(std::string_view model) const {
  return newestVersion(DesiredVersions, model);
}

std::optional<TimePoint> Catalog::outdatedSince(std::string_view model,
                                                uint64_t version) const {
  return direct::outdatedSince(DesiredVersions, model, version);
}

std::vector<DesiredVersionAge> Catalog::rolloutAges(TimePoint now) const {
  return direct::rolloutAges(DesiredVersions, OldestVersions, now);
}

std::vector<Endpoint> addressesOfNewStarts(const Catalog &before,
                                           const Catalog &after) {
  std::vector<Endpoint> out;
  auto byId = [](const BackendServer &it, const std::string &id) {
    return it.Id < id;
  };
  auto known = before.AllServers.begin();
  for (const BackendServer &server : after.AllServers) {
    known = std::lower_bound(known, before.AllServers.end(), server.Id, byId);
    bool wasThere = known != before.AllServers.end() &&
                    known->Id == server.Id &&
                    known->StartedMs == server.StartedMs;
    if (server.StartedMs != 0 && !wasThere)
      out.push_back(server.Address);
  }
  return out;
}

RecordPage CatalogKeeper::recordsSince(uint64_t revision,
                                       size_t maxBytes) const {
  std::vector<const StoreRecord *> newer;
  for (const auto &[key, state] : States)
    if (state.Record.Revision > revision)
      newer.push_back(&state.Record);
  std::sort(newer.begin(), newer.end(), [](const auto *a, const auto *b) {
    return a->Revision < b->Revision;
  });
  RecordPage out;
  size_t bytes = 0;
  for (const StoreRecord *it : newer) {
    // One transaction writes several keys at one revision.
    bool isFull = bytes >= maxBytes && it->Revision > out.UpTo;
    if (isFull) {
      out.HasMore = true;
      return out;
    }
    out.UpTo = it->Revision;
    if (it->Value.size() >= LargeValueBytes) {
      out.Offers.push_back({it->Key, it->Revision});
      continue;
    }
    bytes += it->Key.size() + it->Value.size();
    out.Records.push_back(*it);
  }
  out.UpTo = HighestRevision;
  return out;
}

uint64_t CatalogKeeper::revisionOf(std::string_view key) const {
  auto it = States.find(key);
  return it == States.end() ? 0 : it->second.Record.Revision;
}

const std::string *CatalogKeeper::valueAt(std::string_view key,
                                          uint64_t revision) const {
  auto it = States.find(key);
  bool isCurrent = it != States.end() &&
                   it->second.Record.Revision == revision &&
                   !it->second.Record.IsDeleted;
  return isCurrent ? &it->second.Record.Value : Replaced.find(key, revision);
}

RecordLookup lookupIn(const CatalogKeeper &keeper) {
  RecordLookup out;
  out.ValueAt = [&keeper](std::string_view key, uint64_t revision) {
    return keeper.valueAt(key, revision);
  };
  out.RevisionOf = [&keeper](std::string_view key) {
    return keeper.revisionOf(key);
  };
  return out;
}

} // namespace daisytack::direct
