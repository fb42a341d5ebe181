/// Settings of daisytack-agent.
#pragma once

#include "base/settings.h"
#include "runtime/instance_settings.h"
#include "runtime/operator_http.h"
#include "serve/agent_core.h"

#include <vector>

namespace daisytack::agent {

struct AgentOptions {
  runtime::InstanceSettings Instance;
  runtime::OperatorSettings Operators;
  serve::AgentSettings Core;
  Endpoint Server; ///< The backend server: an engine or a plain service.
  Endpoint Weights;
};

/// Reads all settings of an agent. Invalid values are reported to `settings`.
AgentOptions readAgentOptions(Settings &settings);

} // namespace daisytack::agent
