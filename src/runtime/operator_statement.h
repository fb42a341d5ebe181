/// Requests of the operators' HTTP as typed values, and events as JSON.
#pragma once

#include "base/event_ring.h"
#include "daisytack/error.h"

#include <optional>
#include <string>
#include <string_view>

namespace daisytack::runtime {

/// Body of /v1/query and /v1/command.
struct Statement {
  std::string Text;
  bool IsLocal = false; ///< Of this process alone.
  Duration Wait{0};     ///< For a change to be in force.
};

/// Nothing with the reason when the body is none.
std::optional<Statement> parseStatement(std::string_view body, Error &reason);

/// What /v1/events is asked for.
struct EventRange {
  uint64_t From = 0;
  uint64_t Limit = 0;
};

/// Reads "from=N&limit=N"; what is absent or no number takes its default.
EventRange parseEventRange(std::string_view query);

std::string toJson(std::string_view instance, const EventRing::Page &page);

} // namespace daisytack::runtime
