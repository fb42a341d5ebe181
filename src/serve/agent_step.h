/// One application of an input by an agent's core.
#pragma once

#include "serve/agent_messages.h"

namespace daisytack::serve {

/// The present time, and where actions go.
struct Step {
  TimePoint Now;
  AgentActions &Out;
};

} // namespace daisytack::serve
