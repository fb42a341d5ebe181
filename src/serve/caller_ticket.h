/// Callers' requests for tickets (POST /v1/tickets).
#pragma once

#include "control/snapshot.h"
#include "daisytack/error.h"

#include <optional>
#include <string>
#include <string_view>

namespace daisytack::entry {

/// What a ticket is wanted for.
struct CallerTicketRequest {
  std::string Organisation;
  std::string Serves; ///< Model or plain service.
  bool IsService = false;
  auto operator<=>(const CallerTicketRequest &) const = default;
};

/// {"service": NAME}, or {"model": NAME} for a non-idempotent class.
std::optional<CallerTicketRequest>
readTicketRequest(std::string_view body, const Snapshot &config,
                  std::string_view organisation, Error &reason);

/// {"ticket": TEXT, "valid_ms": N}.
std::string ticketJson(std::string_view ticket, Duration valid);

} // namespace daisytack::entry
