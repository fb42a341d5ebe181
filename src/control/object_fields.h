/// Lists the fields of each configuration object. The fields that form the
/// object's name are not included because they are part of its key.
#pragma once

#include "daisytack/objects.h"

#include <type_traits>

namespace daisytack::control {

/// Calls visit(name, member) for each field. T may be const.
template <class T, class Visitor> void visitFields(T &object, Visitor &&visit) {
  using Plain = std::remove_const_t<T>;
  if constexpr (std::is_same_v<Plain, Organisation>) {
    visit("key_hash", object.KeyHash);
    visit("weight", object.Weight);
    visit("requests_per_second", object.RequestsPerSecond);
    visit("burst", object.Burst);
    visit("max_concurrent", object.MaxConcurrent);
    visit("kept_bytes", object.KeptBytes);
  } else if constexpr (std::is_same_v<Plain, Model>) {
    visit("version", object.Version);
    visit("adapter", object.Adapter);
    visit("min_servers", object.MinServers);
  } else if constexpr (std::is_same_v<Plain, RequestClass>) {
    visit("priority", object.Priority);
    visit("deadline", object.Deadline);
    visit("idempotent", object.Idempotent);
    visit("keep", object.Keep);
    visit("release_at", object.ReleaseAt);
  } else if constexpr (std::is_same_v<Plain, ReusePolicy>) {
    visit("reuse", object.Reuse);
    visit("keep_for", object.KeepFor);
    visit("max_bytes", object.MaxBytes);
    visit("epoch", object.Epoch);
  } else if constexpr (std::is_same_v<Plain, PlainService>) {
    visit("idempotent", object.Idempotent);
    visit("deadline", object.Deadline);
  } else if constexpr (std::is_same_v<Plain, ServerOverride>) {
    visit("drained", object.Drained);
    visit("checks_fencing", object.ChecksFencing);
  } else {
    static_assert(std::is_same_v<Plain, OperatorAccount>);
    visit("key_hash", object.KeyHash);
    visit("role", object.Role);
  }
}

} // namespace daisytack::control
