/// Applies the request limits that backend servers report in their answers,
/// with a log line for each change.
#pragma once

#include "direct/exchange.h"
#include "gateway/gateway_state.h"

namespace daisytack::gateway {

/// Kind of call that a server's answer belongs to.
enum class ResponseKind : uint8_t {
  /// A caller's request: a successful answer without a limit lifts an earlier
  /// limit.
  Request,
  /// A report or an order: an answer without a limit changes nothing.
  Control,
};

/// Applies the request limit that the answer names, or lifts the earlier limit
/// if the answer shows that there is none any more.
void applyRequestLimit(GatewayState &state, direct::ServerRef server,
                       const direct::ServerHead &head, ResponseKind kind,
                       TimePoint now);

} // namespace daisytack::gateway
