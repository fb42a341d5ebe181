/// Tickets for calls that may run at most once. A ticket names the only agent
/// process that may run its call. See docs/AT_MOST_ONCE.md for the reasoning.
#pragma once

#include "daisytack/error.h"
#include "daisytack/types.h"

#include <optional>
#include <string>
#include <string_view>

namespace daisytack {

/// The content of a ticket. Times are on the issuing agent's monotonic clock
/// and are meaningless in other processes.
struct Ticket {
  std::string Instance; ///< Agent instance to which an entry sends the call.
  Incarnation Process;  ///< The only process that may run the call.
  /// The only organisation that may present the ticket.
  std::string Organisation;
  Id128 Serial; ///< Random; unique for each ticket.
  TimePoint IssuedAt;
  TimePoint ExpiresAt; ///< The ticket is refused from this time on.
  auto operator<=>(const Ticket &) const = default;
};

/// Returns the ticket as text that is signed with the secret, has at most
/// MaxTicketBytes and is safe in an HTTP header and in JSON. Returns nullopt
/// and sets the reason if a name is empty, too long or has a character outside
/// [A-Za-z0-9._-].
std::optional<std::string> signTicket(const Ticket &ticket,
                                      std::string_view secret, Error &reason);

/// Whether the text has the prefix of a ticket. Any other Idempotency-Key is an
/// opaque key that the caller chose.
bool looksLikeTicket(std::string_view text);

/// Parses a ticket without checking its signature. That suffices for routing
/// but not for running the call. If the text is malformed, returns nullopt and
/// sets the reason to BadRequest.
std::optional<Ticket> parseTicket(std::string_view text, Error &reason);

/// Whether the text's signature was made with the secret.
bool verifyTicket(std::string_view text, std::string_view secret);

/// Maximum length of a ticket's text, in bytes.
constexpr size_t MaxTicketBytes = 512;

} // namespace daisytack
