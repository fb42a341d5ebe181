/// Parses the requests of operators and writes events as JSON.
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
  bool IsLocal = false; ///< True if it concerns this process only.
  Duration Wait{0}; ///< Maximum wait for a change to be in force everywhere.
  /// Revision that the object of a command must have; 0: it must not exist.
  std::optional<uint64_t> ExpectedRevision;
};

/// Returns nothing and sets the reason if the body is not valid.
std::optional<Statement> parseStatement(std::string_view body, Error &reason);

/// Parameters of /v1/events.
struct EventRange {
  uint64_t From = 0;  ///< First sequence number.
  uint64_t Limit = 0; ///< Maximum number of events.
};

/// Parses "from=N&limit=N". A parameter that is absent or not a number takes
/// its default value.
EventRange parseEventRange(std::string_view query);

std::string toJson(std::string_view instance, const EventRing::Page &page);

} // namespace daisytack::runtime
