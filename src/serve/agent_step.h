/// Clocks and action list for the handling of one input by an agent's core.
#pragma once

#include "serve/agent_messages.h"

namespace daisytack::serve {

/// The current time by both clocks, and the list that receives the actions.
struct Step {
  TimePoint Now;
  WallTime Wall;
  AgentActions &Out;
};

} // namespace daisytack::serve
