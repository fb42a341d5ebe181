/// Hooks through which the operators' HTTP server queries an agent's latest
/// snapshot and stops its requests.
#pragma once

#include "agent_driver.h"
#include "runtime/operator_http.h"

namespace daisytack::agent {

/// `driver` and `options` must outlive the hooks.
runtime::OperatorHooks operatorHooks(AgentDriver &driver,
                                     const AgentOptions &options);

} // namespace daisytack::agent
