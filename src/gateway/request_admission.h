/// Admission of a request at this entry: applies its organisation's share and
/// records the decision.
#pragma once

#include "direct/forward_flow.h"
#include "gateway/gateway_state.h"

#include <optional>
#include <string>

namespace daisytack::gateway {

/// The criteria with the share of the servers' limits that is open to the
/// request.
direct::ServerCriteria withLimitFactor(GatewayState &state,
                                       const direct::ForwardRequest &request,
                                       direct::ServerCriteria criteria,
                                       TimePoint now);

/// Records that the first attempt of a request was admitted, or why it was not.
void recordAdmission(GatewayState &state, const direct::ForwardRequest &request,
                     bool wasAdmitted, const direct::Refusal &refusal,
                     TimePoint now);

/// What a refusal for load is logged with; empty for other refusals.
std::string loadDetail(const direct::Refusal &refusal, double limitFactor);

} // namespace daisytack::gateway
