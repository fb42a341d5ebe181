#include "decide/routing.h"

#include "base/digest.h"

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

/// The servers of highest rendezvous weight, best first.
class BestServers {
public:
  void offer(ServerHandle server, uint64_t weight) {
    if (Count == MaxCandidates && weight <= Weights[Count - 1])
      return;
    size_t at = Count < MaxCandidates ? Count++ : Count - 1;
    for (; at > 0 && Weights[at - 1] < weight; --at) {
      Weights[at] = Weights[at - 1];
      Servers[at] = Servers[at - 1];
    }
    Weights[at] = weight;
    Servers[at] = server;
  }
  const ServerHandle *begin() const { return Servers.data(); }
  const ServerHandle *end() const { return Servers.data() + Count; }

private:
  std::array<ServerHandle, MaxCandidates> Servers{};
  std::array<uint64_t, MaxCandidates> Weights{};
  size_t Count = 0;
};

void append(CandidateList &out, ServerHandle server) {
  if (out.Count < MaxCandidates && !out.contains(server))
    out.Servers[out.Count++] = server;
}

} // namespace

RouteKey makeRouteKey(uint64_t organisationHash, std::string_view serves,
                      std::span<const PieceKey> pieces, uint64_t requestHash) {
  uint64_t base = mix64(organisationHash ^ hashName(serves));
  RouteKey out{base, mix64(requestHash ^ SpillSalt)};
  if (pieces.empty()) {
    out.Home = mix64(base ^ requestHash);
    return out;
  }
  size_t n = std::min<size_t>(pieces.size(), RoutingPieces);
  for (size_t i = 0; i < n; ++i)
    out.Home = mix64(out.Home ^ leadingBytes(pieces[i]));
  return out;
}

bool CandidateList::contains(ServerHandle server) const {
  return std::find(begin(), end(), server) != end();
}

RoutingTable::RoutingTable(std::shared_ptr<const Snapshot> source)
    : Source(std::move(source)) {
  for (const Pool &pool : Source->Pools) {
    PoolIndex index{pool.Name, pool.IsService, {}};
    for (ServerHandle server : pool.Servers) {
      const std::string &region = Source->Servers[server.Index].Region;
      auto it =
          std::lower_bound(index.Regions.begin(), index.Regions.end(), region,
                           [](const RegionServers &r, const std::string &name) {
                             return r.Region < name;
                           });
      if (it == index.Regions.end() || it->Region != region)
        it = index.Regions.insert(it, RegionServers{region, {}});
      it->Servers.push_back(server);
    }
    Pools.push_back(std::move(index));
  }
}

const RoutingTable::PoolIndex *RoutingTable::find(std::string_view serves,
                                                  bool isService) const {
  for (const PoolIndex &pool : Pools)
    if (pool.IsService == isService && pool.Name == serves)
      return &pool;
  return nullptr;
}

CandidateList RoutingTable::candidates(std::string_view serves, bool isService,
                                       const RouteKey &key,
                                       std::string_view region) const {
  CandidateList out;
  const PoolIndex *pool = find(serves, isService);
  if (pool == nullptr)
    return out;
  BestServers home;
  BestServers spill;
  BestServers abroad;
  for (const RegionServers &part : pool->Regions)
    for (ServerHandle server : part.Servers) {
      uint64_t hash = Source->Servers[server.Index].NameHash;
      if (part.Region == region) {
        home.offer(server, mix64(key.Home ^ hash));
        spill.offer(server, mix64(key.Spill ^ hash));
      } else {
        abroad.offer(server, mix64(key.Home ^ hash));
      }
    }
  if (home.begin() != home.end()) {
    append(out, *home.begin());
    const std::string &domain =
        Source->Servers[home.begin()->Index].FailureDomain;
    BestServers elsewhere;
    for (const RegionServers &part : pool->Regions)
      for (ServerHandle server : part.Servers) {
        const Server &it = Source->Servers[server.Index];
        if (part.Region == region && it.FailureDomain != domain)
          elsewhere.offer(server, mix64(key.Home ^ it.NameHash));
      }
    if (elsewhere.begin() != elsewhere.end())
      append(out, *elsewhere.begin());
  }
  for (ServerHandle server : home)
    if (out.Count < MaxCandidates - 1)
      append(out, server);
  for (ServerHandle server : spill)
    append(out, server);
  for (ServerHandle server : abroad)
    append(out, server);
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
                             std::string_view region, TimePoint now) {
  RouteDecision out;
  std::array<bool, MaxCandidates> last{};
  for (uint32_t i = 0; i < candidates.Count; ++i) {
    const Server &server = snapshot.Servers[candidates.Servers[i].Index];
    LoadEstimate load = loads.estimate(server.NameHash, now);
    double lacking = i == 0 ? 1.0 - settings.HomeReuse : 1.0;
    auto prefill = Duration(static_cast<int64_t>(
        lacking * promptTokens * MicrosPerSecond / load.PrefillRate));
    RankedCandidate ranked{candidates.Servers[i], load.Wait + prefill,
                           load.Wait};
    if (server.Region != region)
      ranked.FirstToken += settings.OtherRegion;
    if (!load.Known)
      ranked.FirstToken += settings.Unknown;
    // The draw is the request's own, so that entries agree and a retry of the
    // request meets the same answer.
    double draw = static_cast<double>(mix64(key.Spill ^ server.NameHash)) /
                  static_cast<double>(UINT64_MAX);
    bool putLast = load.Leaving || draw > load.Share;
    uint32_t at = out.Count++;
    for (; at > 0; --at) {
      bool earlier = last[at - 1] != putLast
                         ? last[at - 1]
                         : ranked.FirstToken < out.Ranked[at - 1].FirstToken;
      if (!earlier)
        break;
      out.Ranked[at] = out.Ranked[at - 1];
      last[at] = last[at - 1];
    }
    out.Ranked[at] = ranked;
    last[at] = putLast;
  }
  return out;
}

} // namespace daisytack
