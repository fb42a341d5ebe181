/// Which backend server a request is sent to, where the server finds the kept
/// context of its prompt, and where it leaves what it reads.
///
/// Requests whose prompts begin alike meet at the same server, their home, so
/// that kept context is found there. One cost, in milliseconds until the first
/// token, decides when another server is better.
#pragma once

#include "decide/ejection.h"
#include "direct/catalog.h"
#include "direct/forward_flow.h"
#include "direct/kept_context.h"
#include "direct/server_loads.h"

#include <optional>
#include <string>
#include <vector>

namespace daisytack::direct {

struct PlacementSettings {
  /// What a server reads of a prompt in a millisecond, until measured; of the
  /// engines in use.
  double PrefillTokensPerMs = 112;
  /// A server of another failure domain costs so much more: what bytes between
  /// domains cost, as time.
  double OtherDomainMs = 150;
  /// Of one running request on a server, as the pace of all slows down.
  double RunningMs = 4;
  /// The same two for calls without a prompt, which are small and short.
  double CallOtherDomainMs = 40;
  double CallRunningMs = 15;
  /// A server on weights that are older than wanted, from Grace on.
  double OldWeightsMs = 400;
  Duration OldWeightsGrace{1'200'000};
  /// A fetch must end within this; later it is thrown away.
  Duration FetchLimit{2'500'000};
  /// Parts with fewer tokens are not worth a transfer of their own.
  uint32_t LeastPartTokens = 64;
  bool operator==(const PlacementSettings &) const = default;
};

/// Text under which kept context is found: apart by weight version, and by
/// organisation where that is isolated.
std::string cacheScope(std::string_view organisation, bool isIsolated,
                       uint64_t version);
/// The version in such a text; nothing when it is another text.
std::optional<uint64_t> versionOfScope(std::string_view scope);

/// Thread-safe; the parts that it refers to are, too.
class Placement {
public:
  Placement(PlacementSettings settings, std::string failureDomain,
            const ServerLoads &loads, const Ejector &ejector,
            KeptContext &kept);

  /// Servers that were tried are left out. Plans saves as a side effect.
  std::optional<AttemptChoice> choose(const ForwardRequest &request,
                                      const Catalog &catalog,
                                      const std::vector<std::string> &tried,
                                      std::optional<int64_t> serversClockMs,
                                      TimePoint now, Error &reason);

private:
  double cost(const ForwardRequest &request, const Catalog &catalog,
              const BackendServer &server, const BackendServer *home,
              TimePoint now) const;
  const BackendServer *homeOf(const ForwardRequest &request,
                              const std::vector<BackendServer> &servers) const;
  bool isUsable(const BackendServer &server,
                const std::vector<std::string> &tried, bool careful,
                TimePoint now) const;
  AttemptOrder orderFor(const ForwardRequest &request, const Catalog &catalog,
                        const BackendServer &server,
                        std::optional<int64_t> serversClockMs, TimePoint now);

  PlacementSettings Settings;
  std::string FailureDomain;
  const ServerLoads &Loads;
  const Ejector &Ejected;
  KeptContext &Kept;
};

} // namespace daisytack::direct
