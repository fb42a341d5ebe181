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
  bool PutLast = false; ///< Offered to only when all others have refused.

  bool operator<(const ScoredCandidate &other) const {
    if (PutLast != other.PutLast)
      return !PutLast;
    return Candidate.FirstToken < other.Candidate.FirstToken;
  }
};

Duration prefillTime(double tokens, const LoadEstimate &load) {
  return Duration(
      static_cast<int64_t>(tokens * MicrosPerSecond / load.PrefillRate));
}

/// Slow start: whether this request is of the share that a new server is
/// spared. The draw is the request's own, so that a repeated decision is the
/// same.
bool isHeldBack(const LoadEstimate &load, const RouteKey &key,
                const Server &server) {
  if (load.Share >= 1.0)
    return false;
  double draw = static_cast<double>(mix64(key.Spill ^ server.NameHash)) /
                static_cast<double>(UINT64_MAX);
  return draw > load.Share;
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

RoutingTable::PoolIndex RoutingTable::indexOf(const Pool &pool) const {
  PoolIndex out{pool.Name, pool.IsService, {}};
  for (ServerHandle handle : pool.Servers) {
    const Server &server = Source->Servers[handle.Index];
    auto part =
        std::lower_bound(out.Regions.begin(), out.Regions.end(), server.Region,
                         [](const RegionServers &it, const std::string &name) {
                           return it.Region < name;
                         });
    if (part == out.Regions.end() || part->Region != server.Region) {
      part = out.Regions.emplace(part);
      part->Region = server.Region;
    }
    auto domain = std::find(part->DomainNames.begin(), part->DomainNames.end(),
                            server.FailureDomain);
    part->Domains.push_back(
        static_cast<uint32_t>(domain - part->DomainNames.begin()));
    if (domain == part->DomainNames.end())
      part->DomainNames.push_back(server.FailureDomain);
    part->Servers.push_back(handle);
  }
  return out;
}

void RoutingTable::build(const RoutingTable *previous) {
  Pools.reserve(Source->Pools.size());
  for (const Pool &pool : Source->Pools) {
    Pools.push_back(indexOf(pool));
    const PoolIndex *old = nullptr;
    if (previous != nullptr)
      old = previous->find(pool.Name, pool.IsService);
    for (RegionServers &part : Pools.back().Regions) {
      std::vector<uint64_t> hashes;
      hashes.reserve(part.Servers.size());
      for (ServerHandle server : part.Servers)
        hashes.push_back(Source->Servers[server.Index].NameHash);
      const RegionServers *same = find(old, part.Region);
      if (same != nullptr && same->Ring->members() == hashes)
        part.Ring = same->Ring;
      else
        part.Ring = std::make_shared<const HashRing>(std::move(hashes));
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
  for (const RegionServers &part : pool->Regions)
    if (part.Region == region)
      return &part;
  return nullptr;
}

/// Adds the servers that follow the key on the ring until the list is so long.
/// The part must hold enough that the list does not have yet.
void RoutingTable::appendNext(CandidateList &out, const RegionServers &part,
                              uint64_t key, size_t upTo) {
  HashRing::Walk walk = part.Ring->walk(key);
  for (; out.Count < upTo; walk.advance())
    append(out, part.Servers[walk.member()]);
}

void RoutingTable::appendLocal(CandidateList &out, const RegionServers &part,
                               const RouteKey &key) {
  HashRing::Walk walk = part.Ring->walk(key.Home);
  append(out, part.Servers[walk.member()]);
  if (part.DomainNames.size() > 1) {
    uint32_t home = part.Domains[walk.member()];
    while (part.Domains[walk.member()] == home)
      walk.advance();
    append(out, part.Servers[walk.member()]);
  }
  size_t n = part.Servers.size();
  appendNext(out, part, key.Home, std::min(n, MaxCandidates - 1));
  appendNext(out, part, key.Spill, std::min(n, MaxCandidates));
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
    const RegionServers &part = pool->Regions[(key.Home + i) % n];
    if (&part != local)
      appendNext(out, part, key.Home,
                 std::min(MaxCandidates, out.Count + part.Servers.size()));
  }
  return out;
}

size_t RoutingTable::servers(std::string_view serves, bool isService,
                             std::string_view region) const {
  const RegionServers *part = find(find(serves, isService), region);
  return part == nullptr ? 0 : part->Servers.size();
}

size_t RoutingTable::memory() const {
  size_t out = 0;
  for (const PoolIndex &pool : Pools)
    for (const RegionServers &part : pool.Regions)
      out += part.Ring->memory();
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
    double lacking = (1.0 - reuse[out.Count]) * promptTokens;
    ScoredCandidate &it = scored[out.Count];
    it.Candidate.Server = handle;
    it.Candidate.Place = out.Count;
    it.Candidate.Wait = load.Wait;
    it.Candidate.FirstToken = load.Wait + prefillTime(lacking, load);
    if (server.Region != region)
      it.Candidate.FirstToken += settings.OtherRegion;
    it.PutLast =
        load.Leaving || isHeldBack(load, key, server) ||
        (ejector != nullptr && ejector->isEjected(server.NameHash, now));
  }
  insertionSort(std::span(scored).first(out.Count));
  for (uint32_t i = 0; i < out.Count; ++i)
    out.Ranked[i] = scored[i].Candidate;
  for (uint32_t i = 0; i < out.Count; ++i) {
    RankedCandidate &it = out.Ranked[i];
    Duration more{0};
    if (i + 1 < out.Count)
      more = out.Ranked[i + 1].FirstToken - it.FirstToken;
    it.Patience = std::max(it.Wait + more, settings.LeastPatience);
  }
  return out;
}

} // namespace daisytack
