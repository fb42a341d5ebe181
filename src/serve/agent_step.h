/// One application of an input by an agent's core.
#pragma once

#include "serve/agent_messages.h"

namespace daisytack::serve {

/// The present time by both clocks, and where actions go.
struct Step {
  TimePoint Now;
  WallTime Wall;
  AgentActions &Out;
};

} // namespace daisytack::serve
