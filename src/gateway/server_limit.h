/// What a backend server's answers say of the server itself, put into what this
/// entry believes, with a log line for each change.
#pragma once

#include "direct/exchange.h"
#include "gateway/gateway_state.h"

namespace daisytack::gateway {

/// Which of its answers it is.
enum class ResponseKind : uint8_t {
  Request, ///< Of a caller: says all that the server has to say of itself.
  Control, ///< A report or an order.
};

/// A limit on requests that the answer names, or names no more.
void applyRequestLimit(GatewayState &state, direct::ServerRef server,
                       const direct::ServerHead &head, ResponseKind kind,
                       TimePoint now);

} // namespace daisytack::gateway
