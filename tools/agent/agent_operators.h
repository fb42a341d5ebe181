/// What an agent shows to operators, from its published snapshot.
#pragma once

#include "agent_driver.h"
#include "runtime/operator_http.h"

namespace daisytack::agent {

/// Hooks over the shell, which must outlive them.
runtime::OperatorHooks operatorHooks(AgentDriver &driver,
                                     const AgentOptions &options);

} // namespace daisytack::agent
