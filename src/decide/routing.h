/// Routing: which backend servers a request should be offered to, and in which
/// order. From the same membership, all entries of a region compute the same
/// candidates. See docs/ROUTING.md.
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

/// The hash keys that place a request on the ring.
struct RouteKey {
  /// Chooses the home server; equal for prompts that may reuse one another's
  /// context.
  uint64_t Home = 0;
  /// Chooses the last candidate; differs from request to request.
  uint64_t Spill = 0;
  auto operator<=>(const RouteKey &) const = default;
};

/// Computes the key of a request to the model or service named by serves. The
/// home depends on the first depth piece keys, where depth comes from
/// PrefixPopularity. A request without pieces (a short prompt or a call to a
/// plain service) or without a depth would not benefit from a common home; it
/// is spread over the pool by its hash.
RouteKey makeRouteKey(uint64_t organisationHash, std::string_view serves,
                      std::span<const PieceKey> pieces, uint64_t requestHash,
                      std::optional<uint32_t> depth = RoutingPieces);

/// Distinct candidate servers of a request, in order of preference before their
/// load is considered.
struct CandidateList {
  std::array<ServerHandle, MaxCandidates> Servers{};
  uint32_t Count = 0;

  const ServerHandle *begin() const { return Servers.data(); }
  const ServerHandle *end() const { return Servers.data() + Count; }
  bool contains(ServerHandle server) const;
  bool operator==(const CandidateList &) const = default;
};

/// Finds the candidates of requests in one snapshot. Immutable; built whenever
/// a snapshot is published, and kept together with it.
class RoutingTable {
public:
  explicit RoutingTable(std::shared_ptr<const Snapshot> source);
  /// Reuses the previous table's rings of pools that have not changed, since
  /// most snapshots differ only by one server or by configuration.
  RoutingTable(std::shared_ptr<const Snapshot> source,
               const RoutingTable &previous);

  const Snapshot &snapshot() const { return *Source; }

  /// Candidates for a request to the model or service named by serves, in
  /// order: the home of the key in the region; the next server on the ring that
  /// is in another failure domain, if there is one; the next servers in any
  /// domain; and one that depends on key.Spill, so that the load of a popular
  /// home spreads over the whole pool. Servers of other regions fill the
  /// remaining positions. Empty if no server serves the name.
  CandidateList candidates(std::string_view serves, bool isService,
                           const RouteKey &key, std::string_view region) const;
  /// Heap memory of all rings, in bytes.
  size_t memory() const;
  /// Number of servers of the pool in the region.
  size_t servers(std::string_view serves, bool isService,
                 std::string_view region) const;

private:
  /// The servers of one pool in one region. Servers and Domains have the same
  /// indices as the members of Ring.
  struct RegionServers {
    std::string Region;
    std::vector<ServerHandle> Servers;
    std::vector<uint32_t> Domains; ///< Indices into DomainNames.
    std::vector<std::string> DomainNames;
    std::shared_ptr<const HashRing> Ring;
  };
  /// The servers of one pool, by region.
  struct PoolIndex {
    std::string Name; ///< Of the model or service.
    bool IsService = false;
    std::vector<RegionServers> Regions; ///< One per region, sorted by name.
  };

  void build(const RoutingTable *previous);
  PoolIndex buildIndex(const Pool &pool) const;
  const PoolIndex *find(std::string_view serves, bool isService) const;
  static const RegionServers *find(const PoolIndex *pool,
                                   std::string_view region);
  static void appendLocal(CandidateList &out, const RegionServers &group,
                          const RouteKey &key);
  static void appendFromRing(CandidateList &out, const RegionServers &group,
                             uint64_t key, size_t upTo);

  std::shared_ptr<const Snapshot> Source;
  std::vector<PoolIndex> Pools;
};

struct RouterSettings {
  double HomeReuse = 0.8; ///< Share of a prompt's prefill that its home is
                          ///< expected to save.
  /// Expected saving of each further candidate, relative to the previous one.
  /// It is not zero because prompts that their home refuses go to the same next
  /// candidates.
  double NextReuse = 0.5;
  /// Lower bound of RankedCandidate::WaitLimit: a shorter wait is not worth an
  /// offer to another server.
  Duration MinWaitLimit{100'000};
  /// Added to the predicted first token of a server in another region.
  Duration OtherRegionDelay{50'000};
  bool operator==(const RouterSettings &) const = default;
};

/// One candidate with its score.
struct RankedCandidate {
  ServerHandle Server;
  Duration FirstToken{0}; ///< Predicted time from the offer to the first token.
  Duration Wait{0}; ///< The part of FirstToken that is spent in the queue.
  /// Wait beyond which the next candidate is predicted to have its first token
  /// earlier. A server that predicts a longer wait should refuse the offer, so
  /// that the next candidate is tried. This makes up for outdated or missing
  /// load reports at the price of one round trip per refusal. Offers that are
  /// repeated after all candidates have refused have no such limit.
  Duration WaitLimit{0};
  uint32_t Position = 0; ///< Position in the CandidateList, for ReuseEstimate.
  bool operator==(const RankedCandidate &) const = default;
};

/// Candidates in the order in which to offer the request to them.
struct RouteDecision {
  std::array<RankedCandidate, MaxCandidates> Ranked{};
  uint32_t Count = 0;

  const RankedCandidate *begin() const { return Ranked.data(); }
  const RankedCandidate *end() const { return Ranked.data() + Count; }
  /// FirstToken of each candidate in microseconds, for the RequestRouted event;
  /// zero beyond Count.
  std::array<int64_t, MaxCandidates> scores() const;
  bool operator==(const RouteDecision &) const = default;
};

/// Orders the candidates by the predicted time to the first token: the wait
/// plus the prefill of the tokens that the server is not expected to have
/// cached. The longer the prompt, the longer the wait at its home that is
/// accepted for reuse. Servers that are shutting down, that are ejected or that
/// slow start exempts from this request come after all others. ejector and
/// learned may be nullptr: then no server counts as ejected, and the expected
/// reuse is that of the settings.
RouteDecision rankCandidates(const CandidateList &candidates,
                             const Snapshot &snapshot, const LoadView &loads,
                             const RouterSettings &settings,
                             uint32_t promptTokens, const RouteKey &key,
                             std::string_view region, TimePoint now,
                             const Ejector *ejector = nullptr,
                             const ReuseEstimate *learned = nullptr);

} // namespace daisytack
