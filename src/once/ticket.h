/// Tickets for calls that may run at most once. A ticket names the one agent
/// process that may ever run it; see docs/AT_MOST_ONCE.md for the argument.
#pragma once

#include "daisytack/error.h"
#include "daisytack/types.h"

#include <optional>
#include <string>
#include <string_view>

namespace daisytack {

/// Immutable. Times are of the issuing agent's own monotonic clock and mean
/// nothing to any other process.
struct Ticket {
  std::string Instance; ///< Agent instance; tells an entry where to send it.
  Incarnation Process;  ///< The only process that may run it.
  std::string Organisation; ///< The only organisation that may present it.
  Id128 Serial;             ///< Random; unique for each ticket.
  TimePoint IssuedAt;
  TimePoint ExpiresAt; ///< Not presentable from this moment on.
  auto operator<=>(const Ticket &) const = default;
};

/// Text of at most MaxTicketBytes that is safe in an HTTP header and in JSON,
/// signed with the secret. Nothing when a name is empty, too long or holds a
/// character outside [A-Za-z0-9._-].
std::optional<std::string> signTicket(const Ticket &ticket,
                                      std::string_view secret, Error &reason);

/// Whether the text claims to be a ticket; any other Idempotency-Key is a
/// caller's opaque key.
bool looksLikeTicket(std::string_view text);

/// Reads a ticket without checking its signature: enough for an entry to route
/// it, never enough to run it. BadRequest when the text is malformed.
std::optional<Ticket> parseTicket(std::string_view text, Error &reason);

/// Whether the text's signature was made with the secret.
bool verifyTicket(std::string_view text, std::string_view secret);

/// Bound on the text of a ticket, in bytes.
constexpr size_t MaxTicketBytes = 512;

} // namespace daisytack
