/// Requests of callers for tickets (POST /v1/tickets), and the response body.
#pragma once

#include "control/snapshot.h"
#include "daisytack/error.h"

#include <optional>
#include <string>
#include <string_view>

namespace daisytack::entry {

/// Organisation and service or model that a ticket is requested for.
struct CallerTicketRequest {
  std::string Organisation;
  std::string Serves;     ///< Name of the model or plain service.
  bool IsService = false; ///< False: Serves names a model.
  auto operator<=>(const CallerTicketRequest &) const = default;
};

/// Parses {"service": NAME}, or {"model": NAME} for a non-idempotent class.
/// Returns std::nullopt with the error in `reason` if the body is invalid.
std::optional<CallerTicketRequest>
readTicketRequest(std::string_view body, const Snapshot &config,
                  std::string_view organisation, Error &reason);

/// Response body: {"ticket": TEXT, "valid_ms": N}.
std::string ticketJson(std::string_view ticket, Duration valid);

} // namespace daisytack::entry
