/// Which backend servers a request should be offered to, and in which order.
/// Every entry of a region computes the same candidates from the same
/// membership. See docs/ROUTING.md.
#pragma once

#include "control/snapshot.h"
#include "daisytack/types.h"
#include "decide/ejection.h"
#include "decide/hash_ring.h"
#include "decide/load_view.h"
#include "decide/reuse_estimate.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace daisytack {

/// What places a request: Home is shared by prompts that may reuse one
/// another's context, Spill differs from request to request.
struct RouteKey {
  uint64_t Home = 0;
  uint64_t Spill = 0;
  auto operator<=>(const RouteKey &) const = default;
};

/// The key of a request. Of the piece keys only the leading ones count, so many
/// as PrefixPopularity says. A request without whole pieces (a short prompt, or
/// a call to a plain service) or without a depth has nothing to gain from a
/// home and is spread over the pool by the request hash.
RouteKey makeRouteKey(uint64_t organisationHash, std::string_view serves,
                      std::span<const PieceKey> pieces, uint64_t requestHash,
                      std::optional<uint32_t> depth = RoutingPieces);

/// Distinct servers in the order in which they should be weighed.
struct CandidateList {
  std::array<ServerHandle, MaxCandidates> Servers{};
  uint32_t Count = 0;

  const ServerHandle *begin() const { return Servers.data(); }
  const ServerHandle *end() const { return Servers.data() + Count; }
  bool contains(ServerHandle server) const;
  bool operator==(const CandidateList &) const = default;
};

/// Candidates of one snapshot. Immutable; built whenever a snapshot is
/// published, and kept with it.
class RoutingTable {
public:
  explicit RoutingTable(std::shared_ptr<const Snapshot> source);
  /// Takes over the rings of pools that have not changed: most snapshots differ
  /// by one server or by configuration alone.
  RoutingTable(std::shared_ptr<const Snapshot> source,
               const RoutingTable &previous);

  const Snapshot &snapshot() const { return *Source; }

  /// In order: the key's home in the region; the next server of the region in
  /// another failure domain, if there is one; the next one whatever its domain;
  /// and one that depends on the request, so that a popular key spills over the
  /// whole pool. Servers of other regions fill what the region can't. Empty
  /// when nothing serves the name.
  CandidateList candidates(std::string_view serves, bool isService,
                           const RouteKey &key, std::string_view region) const;
  /// Bytes of all rings.
  size_t memory() const;
  /// Servers of the pool in the region.
  size_t servers(std::string_view serves, bool isService,
                 std::string_view region) const;

private:
  /// The servers of one pool in one region. Indices are those of the ring's
  /// members.
  struct RegionServers {
    std::string Region;
    std::vector<ServerHandle> Servers;
    std::vector<uint32_t> Domains; ///< Index into DomainNames.
    std::vector<std::string> DomainNames;
    std::shared_ptr<const HashRing> Ring;
  };
  struct PoolIndex {
    std::string Name;
    bool IsService = false;
    std::vector<RegionServers> Regions; ///< One per region, sorted by name.
  };

  void build(const RoutingTable *previous);
  PoolIndex indexOf(const Pool &pool) const;
  const PoolIndex *find(std::string_view serves, bool isService) const;
  static const RegionServers *find(const PoolIndex *pool,
                                   std::string_view region);
  static void appendLocal(CandidateList &out, const RegionServers &part,
                          const RouteKey &key);
  static void appendNext(CandidateList &out, const RegionServers &part,
                         uint64_t key, size_t upTo);

  std::shared_ptr<const Snapshot> Source;
  std::vector<PoolIndex> Pools;
};

struct RouterSettings {
  double HomeReuse = 0.8; ///< Share of a prompt's prefill that its home is
                          ///< expected to save.
  double NextReuse = 0.5; ///< The same of each further candidate, over the one
                          ///< before it: a home's overflow meets there again.
  Duration LeastPatience{100'000}; ///< Wait that is not worth another offer.
  Duration OtherRegion{50'000};    ///< Added for a server of another region.
  bool operator==(const RouterSettings &) const = default;
};

/// One candidate with its score.
struct RankedCandidate {
  ServerHandle Server;
  Duration FirstToken{0}; ///< Predicted, from the offer on.
  Duration Wait{0};       ///< Part of FirstToken.
  /// Wait from which on the next candidate promises the earlier first token: a
  /// server that predicts a longer one should refuse, so that its true wait is
  /// known and the next is tried. Waits are known late or not at all, and a
  /// refusal costs one trip. Offers that follow when all have refused carry
  /// none.
  Duration Patience{0};
  uint32_t Place = 0; ///< In the list of candidates, for ReuseEstimate.
  bool operator==(const RankedCandidate &) const = default;
};

/// Candidates in the order in which to offer, earliest first token first.
struct RouteDecision {
  std::array<RankedCandidate, MaxCandidates> Ranked{};
  uint32_t Count = 0;

  const RankedCandidate *begin() const { return Ranked.data(); }
  const RankedCandidate *end() const { return Ranked.data() + Count; }
  /// FirstToken of each in microseconds, for the RequestRouted event.
  std::array<int64_t, MaxCandidates> scores() const;
  bool operator==(const RouteDecision &) const = default;
};

/// Orders the candidates by predicted first token: wait, plus the prefill of
/// the tokens that the server is expected to lack. The prompt's tokens thus
/// decide how much wait the home's reuse is worth. Servers that said that they
/// leave, that are ejected, or whose slow start spares them this request, come
/// after all others. Without a learned reuse, that of the settings counts.
RouteDecision rankCandidates(const CandidateList &candidates,
                             const Snapshot &snapshot, const LoadView &loads,
                             const RouterSettings &settings,
                             uint32_t promptTokens, const RouteKey &key,
                             std::string_view region, TimePoint now,
                             const Ejector *ejector = nullptr,
                             const ReuseEstimate *learned = nullptr);

} // namespace daisytack
