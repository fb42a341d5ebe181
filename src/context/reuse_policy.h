/// What an organisation's reuse policy means for kept context: which pieces a
/// request may name, and how long they may be used.
#pragma once

#include "daisytack/objects.h"
#include "daisytack/types.h"

#include <string>

namespace daisytack {

/// Everything that a piece key is bound to besides the prompt's text. Two
/// scopes that differ in any field have no key in common.
struct PieceScope {
  std::string Organisation;
  std::string PolicyClass; ///< Class of the policy in force, or "*".
  uint32_t Epoch = 0;      ///< Raised by a purge.
  std::string Model;
  std::string Version; ///< Of the weights.
  std::string Adapter; ///< Empty for none.
  auto operator<=>(const PieceScope &) const = default;
};

/// Scope of a request of the organisation under its policy on the model as
/// configured. Classes that fall under one policy share their pieces.
PieceScope scopeOf(const ReusePolicy &policy, const Model &model);

/// True when the policy lets requests name kept pieces at all.
bool mayReuse(const ReusePolicy &policy);

/// True when a piece kept at the one time may still be used at the other. A
/// piece that seems to come from the future counts as just kept.
bool isWithinKeepFor(const ReusePolicy &policy, WallTime keptAt, WallTime now);

/// Bytes that the organisation may keep under this policy: the lower of its
/// quota and the policy's limit.
uint64_t keptQuota(const Organisation &organisation, const ReusePolicy &policy);

/// The policy after a purge. No key under it equals one made before.
ReusePolicy purged(const ReusePolicy &policy);

} // namespace daisytack
