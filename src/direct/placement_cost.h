/// Cost of sending a request to a backend server: the predicted time until the
/// first token, in milliseconds, plus penalties in the same unit.
#pragma once

#include "balancing/prefill_rate.h"
#include "direct/candidate.h"
#include "direct/forward_flow.h"
#include "direct/kept_context.h"
#include "direct/placement_settings.h"

#include <map>
#include <optional>
#include <string>

namespace daisytack::direct {

/// The kept context that one request may use, during one placement.
struct ReusableContext {
  std::string Group; ///< See direct/context_group.h.
  /// Tokens of the prompt that no store holds, by weight version, as far as
  /// they have been counted.
  std::map<uint64_t, uint64_t> UnsavedTokens;
};

/// Thread-safe.
class PlacementCost {
public:
  PlacementCost(PlacementSettings settings, std::string failureDomain,
                const balancing::PrefillRate &rates, const KeptContext &kept);

  /// Cost in milliseconds. `home` is the home server of the request's session
  /// (direct/placement.h); null for a request without a prompt.
  double costMs(const ForwardRequest &request, const Candidate &server,
                const BackendServer *home, ReusableContext &context) const;
  /// Prefill time of this many tokens on an idle server, in milliseconds.
  double prefillMs(const ForwardRequest &request, double tokens) const;
  /// Predicted time until the first token, in milliseconds, when
  /// `prefillTokens` of the request's own tokens have to be computed.
  double firstTokenMs(const ForwardRequest &request,
                      const balancing::ServerLoadView &load,
                      uint64_t prefillTokens) const;
  /// Time that is left for fetches if the request is to begin on the server's
  /// outdated weights in time: what remains of the rollout limit after the
  /// queue and the prefill of the whole prompt, as a fetch that ends at its
  /// deadline has fetched nothing. Zero or less: the request would begin too
  /// late even without a fetch. nullopt: the server's weights are current.
  std::optional<Duration> outdatedSlack(const ForwardRequest &request,
                                        const Candidate &server) const;

private:
  /// Tokens of the prompt that no store holds for the server's weights.
  uint64_t tokensToPrefill(const ForwardRequest &request,
                           const BackendServer &server,
                           const std::string &group) const;

  PlacementSettings Settings;
  std::string FailureDomain;
  const balancing::PrefillRate &Rates;
  const KeptContext &Kept;
};

/// Number of tokens in all parts of a prompt but the last, which are shared by
/// several requests.
uint32_t sharedTokens(const CallerHead &head);

} // namespace daisytack::direct
