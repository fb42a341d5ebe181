/// Admission of a request at this entry: applies its organisation's share and
/// records the decision.
#pragma once

#include "direct/forward_flow.h"
#include "gateway/gateway_state.h"

#include <cstdint>
#include <string>

namespace daisytack::gateway {

/// Hash of what a refused request and its return have in common: all but the
/// request id. Without the bytes of the body, which are costly to hash; the
/// prompt's parts identify it.
uint32_t contentHash(const direct::ForwardRequest &request, size_t bodyBytes);

/// The criteria with the share of the servers' limits that is open to the
/// request. `isReturn` is true for a refused request that returned when it was
/// told to; capacity that is reserved for returns is open to it only.
direct::ServerCriteria withLimitFactor(GatewayState &state,
                                       const direct::ForwardRequest &request,
                                       direct::ServerCriteria criteria,
                                       bool isReturn, TimePoint now);

/// Whether a new request is a return that is due.
bool takeReturn(GatewayState &state, const direct::ForwardRequest &request,
                size_t bodyBytes, TimePoint now);

/// Delay after which the caller of a request that was refused for load
/// (refusal.Busy is set) should return. Issues a ticket for the return.
Duration scheduleReturn(GatewayState &state,
                        const direct::ForwardRequest &request,
                        const direct::Refusal &refusal, size_t bodyBytes,
                        TimePoint now);

/// Records that the first attempt of a request was admitted, or why it was not.
void recordAdmission(GatewayState &state, const direct::ForwardRequest &request,
                     bool wasAdmitted, const direct::Refusal &refusal,
                     TimePoint now);

/// What a refusal for load is logged with; empty for other refusals.
std::string loadDetail(const direct::Refusal &refusal, double limitFactor);

} // namespace daisytack::gateway
