/// What it costs to send a request to a backend server, in milliseconds until
/// the first token.
#pragma once

#include "direct/candidate.h"
#include "direct/forward_flow.h"
#include "direct/kept_context.h"
#include "direct/placement_settings.h"
#include "direct/prefill_rate.h"

#include <map>
#include <string>

namespace daisytack::direct {

/// Thread-safe.
class PlacementCost {
public:
  /// Tokens that no store holds, by weight version; one choice's own.
  using UnsavedTokens = std::map<uint64_t, uint64_t>;

  PlacementCost(PlacementSettings settings, std::string failureDomain,
                const PrefillRate &rates, const KeptContext &kept);

  /// The home is the server that may hold the session's context in its memory;
  /// null for a request without a prompt.
  double costMs(const ForwardRequest &request, const Candidate &server,
                const BackendServer *home, UnsavedTokens &unsaved) const;
  /// What so many tokens take to read, alone.
  double prefillMs(const ForwardRequest &request, double tokens) const;
  /// Until the first token of a prompt of which so much has to be read.
  double firstTokenMs(const ForwardRequest &request, const ServerLoadView &load,
                      uint64_t readTokens) const;

private:
  /// Of the prompt, what no store holds for the server's weights.
  uint64_t tokensToRead(const ForwardRequest &request,
                        const BackendServer &server) const;

  PlacementSettings Settings;
  std::string FailureDomain;
  const PrefillRate &Rates;
  const KeptContext &Kept;
};

/// Tokens of all parts that prompts of several requests have in common.
uint32_t sharedTokens(const CallerHead &head);

} // namespace daisytack::direct
