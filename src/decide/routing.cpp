#include "decide/routing.h"

#include "base/digest.h"
#include "decide/insertion_sort.h"

#include <algorithm>
#include <cstring>

namespace daisytack {

namespace {

constexpr double MicrosPerSecond = 1e6;
constexpr uint64_t SpillSalt = 0x9e3779b97f4a7c15ULL;

uint64_t leadingBytes(const PieceKey &key) {
  uint64_t out = 0;
  std::memcpy(&out, key.Bytes.data(), sizeof out);
  return out;
}

struct ScoredCandidate {
  RankedCandidate Candidate;
  bool IsLastResort = false; ///< Ranked after all candidates without this flag.

  bool operator<(const ScoredCandidate &other) const {
    if (IsLastResort != other.IsLastResort)
      return !IsLastResort;
    return Candidate.FirstToken < other.Candidate.FirstToken;
  }
};

Duration prefillTime(double tokens, const LoadEstimate &load) {
  return Duration(
      static_cast<int64_t>(tokens * MicrosPerSecond / load.PrefillRate));
}

/// Whether slow start exempts the server from this request. The random draw is
/// a hash of the request and the server, so that a repeated decision has the
/// same result.
bool isExemptBySlowStart(const LoadEstimate &load, const RouteKey &key,
                         const Server &server) {
  if (load.TrafficShare >= 1.0)
    return false;
  double draw = static_cast<double>(mix64(key.Spill ^ server.NameHash)) /
                static_cast<double>(UINT64_MAX);
  return draw > load.TrafficShare;
}

void append(CandidateList &out, ServerHandle server) {
  if (out.Count < MaxCandidates && !out.contains(server))
    out.Servers[out.Count++] = server;
}

} // namespace

RouteKey makeRouteKey(uint64_t organisationHash, std::string_view serves,
                      std::span<const PieceKey> pieces, uint64_t requestHash,
                      std::optional<uint32_t> depth) {
  uint64_t base = mix64(organisationHash ^ hashName(serves));
  RouteKey out{base, mix64(requestHash ^ SpillSalt)};
  if (pieces.empty() || !depth) {
    out.Home = mix64(base ^ requestHash);
    return out;
  }
  size_t n = std::min<size_t>(pieces.size(), *depth);
  for (size_t i = 0; i < n; ++i)
    out.Home = mix64(out.Home ^ leadingBytes(pieces[i]));
  return out;
}

bool CandidateList::contains(ServerHandle server) const {
  return std::find(begin(), end(), server) != end();
}

RoutingTable::RoutingTable(std::shared_ptr<const Snapshot> source)
    : Source(std::move(source)) {
  build(nullptr);
}

RoutingTable::RoutingTable(std::shared_ptr<const Snapshot> source,
                           const RoutingTable &previous)
    : Source(std::move(source)) {
  build(&previous);
}

RoutingTable::PoolIndex RoutingTable::buildIndex(const Pool &pool) const {
  PoolIndex out{pool.Name, pool.IsService, {}};
  for (ServerHandle handle : pool.Servers) {
    const Server &server = Source->Servers[handle.Index];
    auto group =
        std::lower_bound(out.Regions.begin(), out.Regions.end(), server.Region,
                         [](const RegionServers &it, const std::string &name) {
                           return it.Region < name;
                         });
    if (group == out.Regions.end() || group->Region != server.Region) {
      group = out.Regions.emplace(group);
      group->Region = server.Region;
    }
    auto domain = std::find(group->DomainNames.begin(),
                            group->DomainNames.end(), server.FailureDomain);
    group->Domains.push_back(
        static_cast<uint32_t>(domain - group->DomainNames.begin()));
    if (domain == group->DomainNames.end())
      group->DomainNames.push_back(server.FailureDomain);
    group->Servers.push_back(handle);
  }
  return out;
}

void RoutingTable::build(const RoutingTable *previous) {
  Pools.reserve(Source->Pools.size());
  for (const Pool &pool : Source->Pools) {
    Pools.push_back(buildIndex(pool));
    const PoolIndex *oldPool = nullptr;
    if (previous != nullptr)
      oldPool = previous->find(pool.Name, pool.IsService);
    for (RegionServers &group : Pools.back().Regions) {
      std::vector<uint64_t> hashes;
      hashes.reserve(group.Servers.size());
      for (ServerHandle server : group.Servers)
        hashes.push_back(Source->Servers[server.Index].NameHash);
      const RegionServers *oldGroup = find(oldPool, group.Region);
      if (oldGroup != nullptr && oldGroup->Ring->members() == hashes)
        group.Ring = oldGroup->Ring;
      else
        group.Ring = std::make_shared<const HashRing>(std::move(hashes));
    }
  }
}

const RoutingTable::PoolIndex *RoutingTable::find(std::string_view serves,
                                                  bool isService) const {
  for (const PoolIndex &pool : Pools)
    if (pool.IsService == isService && pool.Name == serves)
      return &pool;
  return nullptr;
}

const RoutingTable::RegionServers *RoutingTable::find(const PoolIndex *pool,
                                                      std::string_view region) {
  if (pool == nullptr)
    return nullptr;
  for (const RegionServers &group : pool->Regions)
    if (group.Region == region)
      return &group;
  return nullptr;
}

/// Appends the servers that follow the key on the ring until the list has upTo
/// entries. The region must have enough servers that are not in the list yet.
void RoutingTable::appendFromRing(CandidateList &out,
                                  const RegionServers &group, uint64_t key,
                                  size_t upTo) {
  HashRing::Walk walk = group.Ring->walk(key);
  for (; out.Count < upTo; walk.advance())
    append(out, group.Servers[walk.member()]);
}

void RoutingTable::appendLocal(CandidateList &out, const RegionServers &group,
                               const RouteKey &key) {
  HashRing::Walk walk = group.Ring->walk(key.Home);
  append(out, group.Servers[walk.member()]);
  if (group.DomainNames.size() > 1) {
    uint32_t home = group.Domains[walk.member()];
    while (group.Domains[walk.member()] == home)
      walk.advance();
    append(out, group.Servers[walk.member()]);
  }
  size_t n = group.Servers.size();
  appendFromRing(out, group, key.Home, std::min(n, MaxCandidates - 1));
  appendFromRing(out, group, key.Spill, std::min(n, MaxCandidates));
}

CandidateList RoutingTable::candidates(std::string_view serves, bool isService,
                                       const RouteKey &key,
                                       std::string_view region) const {
  CandidateList out;
  const PoolIndex *pool = find(serves, isService);
  if (pool == nullptr)
    return out;
  const RegionServers *local = find(pool, region);
  if (local != nullptr)
    appendLocal(out, *local, key);
  size_t n = pool->Regions.size();
  for (size_t i = 0; i < n && out.Count < MaxCandidates; ++i) {
    const RegionServers &group = pool->Regions[(key.Home + i) % n];
    if (&group != local)
      appendFromRing(out, group, key.Home,
                     std::min(MaxCandidates, out.Count + group.Servers.size()));
  }
  return out;
}

size_t RoutingTable::servers(std::string_view serves, bool isService,
                             std::string_view region) const {
  const RegionServers *group = find(find(serves, isService), region);
  return group == nullptr ? 0 : group->Servers.size();
}

size_t RoutingTable::memory() const {
  size_t out = 0;
  for (const PoolIndex &pool : Pools)
    for (const RegionServers &group : pool.Regions)
      out += group.Ring->memory();
  return out;
}

std::array<int64_t, MaxCandidates> RouteDecision::scores() const {
  std::array<int64_t, MaxCandidates> out{};
  for (uint32_t i = 0; i < Count; ++i)
    out[i] = Ranked[i].FirstToken.count();
  return out;
}

RouteDecision rankCandidates(const CandidateList &candidates,
                             const Snapshot &snapshot, const LoadView &loads,
                             const RouterSettings &settings,
                             uint32_t promptTokens, const RouteKey &key,
                             std::string_view region, TimePoint now,
                             const Ejector *ejector,
                             const ReuseEstimate *learned) {
  std::array<ScoredCandidate, MaxCandidates> scored;
  std::array<double, MaxCandidates> reuse =
      learned != nullptr
          ? learned->shares()
          : ReuseEstimate(settings.HomeReuse, settings.NextReuse).shares();
  RouteDecision out;
  for (; out.Count < candidates.Count; ++out.Count) {
    ServerHandle handle = candidates.Servers[out.Count];
    const Server &server = snapshot.Servers[handle.Index];
    LoadEstimate load = loads.estimate(server.NameHash, now);
    double uncachedTokens = (1.0 - reuse[out.Count]) * promptTokens;
    ScoredCandidate &it = scored[out.Count];
    it.Candidate.Server = handle;
    it.Candidate.Position = out.Count;
    it.Candidate.Wait = load.Wait;
    it.Candidate.FirstToken = load.Wait + prefillTime(uncachedTokens, load);
    if (server.Region != region)
      it.Candidate.FirstToken += settings.OtherRegionDelay;
    it.IsLastResort =
        load.Leaving || isExemptBySlowStart(load, key, server) ||
        (ejector != nullptr && ejector->isEjected(server.NameHash, now));
  }
  insertionSort(std::span(scored).first(out.Count));
  for (uint32_t i = 0; i < out.Count; ++i)
    out.Ranked[i] = scored[i].Candidate;
  for (uint32_t i = 0; i < out.Count; ++i) {
    RankedCandidate &it = out.Ranked[i];
    Duration margin{0};
    if (i + 1 < out.Count)
      margin = out.Ranked[i + 1].FirstToken - it.FirstToken;
    it.WaitLimit = std::max(it.Wait + margin, settings.MinWaitLimit);
  }
  return out;
}

} // namespace daisytack
