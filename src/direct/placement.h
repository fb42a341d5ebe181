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
#include "direct/store_links.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisytack::direct {

/// No fetch that an entry asks for lasts longer; the platform starts none that
/// would wait for two seconds. Kept context is freed only once that has passed
/// since the last entry stopped naming it.
constexpr Duration LongestFetch{2'000'000};

struct PlacementSettings {
  /// What a server reads of a prompt in a millisecond, and the least time until
  /// a first token; of the engines in use, by their data sheet.
  double PrefillTokensPerMs = 112;
  double LeastFirstTokenMs = 50;
  /// How much longer a prompt keeps the requests behind it waiting than it
  /// takes to read, as it is read in pieces between the tokens of running
  /// requests.
  double QueueFactor = 2;
  /// Of one running request on a server, as the pace of all slows down.
  double RunningMs = 0.5;
  /// A server of another failure domain costs so much more: what bytes between
  /// domains cost, as time.
  double OtherDomainMs = 150;
  /// The same for calls without a prompt, which are small and short.
  double CallOtherDomainMs = 40;
  double CallRunningMs = 15;
  /// A server on weights that are older than wanted, from the grace on: a fifth
  /// of the answer's value. Past the limit it is used only if there is no
  /// other.
  double OldWeightsMs = 400;
  Duration OldWeightsGrace{1'200'000};
  Duration OldWeightsLimit{11'000'000};
  /// Of the predicted wait counts so much at most towards the limit: a caller
  /// that waits longer has left, and its request never begins.
  Duration OldWeightsWait{3'200'000};
  /// A prompt is refused when even the best server is predicted to begin its
  /// answer only after this share of the time that its caller will wait, since
  /// reading it would delay others in vain.
  double PatienceShare = 0.9;
  /// When a caller refused for that is told to come back: most of a queue of
  /// that length is gone by then.
  Duration OverloadRetryAfter{800'000};
  /// Share of the target latency that the reading of a prompt and its fetches
  /// may take up together. A fetch that lasts longer is given up for reading.
  double FetchShare = 0.75;
  /// What a fetch may take at least for each shared token: reading it again
  /// costs about as much as an answer that is late.
  double FetchMsPerToken = 0.25;
  /// Requests that go on fetching from the most congested link, so that its
  /// recovery is seen.
  double ProbeShare = 0.1;
  /// Parts with fewer tokens are not worth a transfer of their own.
  uint32_t LeastPartTokens = 64;
  bool operator==(const PlacementSettings &) const = default;
};

/// What a choice is made on; all thread-safe.
struct PlacementView {
  const ServerLoads &Loads; ///< Of backend servers.
  const StoreLinks &Links;  ///< To the stores.
  const Ejector &Ejected;
  KeptContext &Kept;
};

/// Thread-safe.
class Placement {
public:
  Placement(PlacementSettings settings, std::string failureDomain,
            PlacementView view);

  /// Servers that were tried are left out. Plans saves as a side effect.
  std::optional<AttemptChoice> choose(const ForwardRequest &request,
                                      const Catalog &catalog,
                                      const std::vector<std::string> &tried,
                                      std::optional<int64_t> serversClockMs,
                                      TimePoint now, Error &reason);

private:
  using ServerRefs = std::vector<const BackendServer *>;
  /// Tokens that no store holds, by weight version; one choice's own.
  using UnkeptTokens = std::map<uint64_t, uint64_t>;

  /// How picky a choice is; each level is tried before the next.
  enum class Care : uint8_t { Full, AnyVersion, Any };

  double cost(const ForwardRequest &request, const Catalog &catalog,
              const BackendServer &server, const BackendServer *home,
              UnkeptTokens &unkept, TimePoint now) const;
  /// Of the prompt, what no store holds for the server's weights.
  uint64_t tokensToRead(const ForwardRequest &request,
                        const BackendServer &server) const;
  double firstTokenMs(const ForwardRequest &request,
                      const BackendServer &server, uint64_t readTokens,
                      TimePoint now) const;
  const BackendServer *homeOf(const ForwardRequest &request,
                              const ServerRefs &servers) const;
  /// How long the server's weights have been older than wanted.
  Duration behindFor(const ForwardRequest &request, const Catalog &catalog,
                     const BackendServer &server, TimePoint now) const;
  ServerRefs usable(const ForwardRequest &request, const Catalog &catalog,
                    const std::vector<std::string> &tried, TimePoint now) const;
  /// Whether the answer would begin after the caller has left, if all goes
  /// well.
  bool isHopeless(const ForwardRequest &request, const BackendServer &server,
                  TimePoint now) const;
  bool isUsable(const ForwardRequest &request, const Catalog &catalog,
                const BackendServer &server, Care care, TimePoint now) const;
  AttemptOrder orderFor(const ForwardRequest &request, const Catalog &catalog,
                        const BackendServer &server,
                        std::optional<int64_t> serversClockMs, TimePoint now);
  /// Names sources for the parts that are better fetched than read, and
  /// destinations for those that no store has.
  void planContext(const ForwardRequest &request, const Catalog &catalog,
                   const BackendServer &server,
                   std::optional<int64_t> serversClockMs, TimePoint now,
                   AttemptOrder &order);
  /// Whether the request leaves the congested link alone and reads instead.
  bool shedsFetch(const ForwardRequest &request, double excessMs,
                  double budgetMs) const;

  PlacementSettings Settings;
  std::string FailureDomain;
  PlacementView View;
};

} // namespace daisytack::direct
