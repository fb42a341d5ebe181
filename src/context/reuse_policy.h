/// Effects of an organisation's reuse policy on kept context: which pieces a
/// request may use, and for how long.
#pragma once

#include "daisytack/objects.h"
#include "daisytack/types.h"

#include <string>

namespace daisytack {

/// All inputs of a piece key except the prompt's text. Scopes that differ in
/// any field have no keys in common.
struct PieceScope {
  std::string Organisation;
  /// Class of the applicable policy, or "*" for all classes.
  std::string PolicyClass;
  uint32_t Epoch = 0; ///< Incremented by a purge.
  std::string Model;
  std::string Version; ///< Version of the weights.
  std::string Adapter; ///< Empty when the model has no adapter.
  auto operator<=>(const PieceScope &) const = default;
};

/// Scope of a request to the model under the organisation's policy. Classes
/// with the same policy share their pieces.
PieceScope scopeOf(const ReusePolicy &policy, const Model &model);

/// True when the policy allows requests to use kept pieces.
bool mayReuse(const ReusePolicy &policy);

/// True when a piece stored at keptAt may still be used at `now`. A keptAt in
/// the future counts as `now`.
bool isWithinKeepFor(const ReusePolicy &policy, WallTime keptAt, WallTime now);

/// Number of bytes that the organisation may keep under this policy: the lower
/// of its quota and the policy's limit, or 0 when reuse is not allowed.
uint64_t keptQuota(const Organisation &organisation, const ReusePolicy &policy);

/// Returns the policy after a purge, under which no earlier key is reachable.
ReusePolicy purged(const ReusePolicy &policy);

} // namespace daisytack
