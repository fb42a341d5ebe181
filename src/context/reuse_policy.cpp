#include "context/reuse_policy.h"

#include <algorithm>

namespace daisytack {

PieceScope scopeOf(const ReusePolicy &policy, const Model &model) {
  PieceScope out;
  out.Organisation = policy.Organisation;
  out.PolicyClass = policy.Class;
  out.Epoch = policy.Epoch;
  out.Model = model.Name;
  out.Version = model.Version;
  out.Adapter = model.Adapter;
  return out;
}

bool mayReuse(const ReusePolicy &policy) {
  return policy.Reuse && policy.KeepFor > Duration(0) && policy.MaxBytes > 0;
}

bool isWithinKeepFor(const ReusePolicy &policy, WallTime keptAt, WallTime now) {
  if (!mayReuse(policy))
    return false;
  return now <= keptAt || now - keptAt < policy.KeepFor;
}

uint64_t keptQuota(const Organisation &organisation,
                   const ReusePolicy &policy) {
  if (!mayReuse(policy))
    return 0;
  return std::min(organisation.KeptBytes, policy.MaxBytes);
}

ReusePolicy purged(const ReusePolicy &policy) {
  ReusePolicy out = policy;
  ++out.Epoch;
  return out;
}

} // namespace daisytack
