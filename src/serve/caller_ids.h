/// Identifiers that are exposed to callers: request ids, derived from the
/// idempotency key, and event ids, from which a broken stream can be resumed.
#pragma once

#include "daisytack/types.h"

#include <optional>
#include <string>
#include <string_view>

namespace daisytack::entry {

/// Position of a caller in a stream.
struct EventId {
  RequestId Request;
  std::string Server; ///< Instance name of the agent that holds the answer.
  uint32_t Index = 0; ///< Index of the last chunk that the caller has received.
  auto operator<=>(const EventId &) const = default;
};

/// Derives identifiers from a secret that all entries share. Instances are
/// immutable.
class CallerIds {
public:
  explicit CallerIds(std::string secret);

  /// Request id for an idempotency key of an organisation. Every entry derives
  /// the same id, so that a repeated request is recognised.
  RequestId requestId(std::string_view organisation,
                      std::string_view idempotencyKey) const;
  /// Event id as text: "REQUEST.SERVER.INDEX.MAC".
  std::string eventId(std::string_view organisation, const EventId &id) const;
  /// Parses and authenticates an event id. Returns std::nullopt for malformed
  /// text or an id that was not issued to this organisation.
  std::optional<EventId> parseEventId(std::string_view organisation,
                                      std::string_view text) const;

private:
  /// Truncated HMAC of an event id's body, in hexadecimal digits.
  std::string mac(std::string_view organisation, std::string_view body) const;

  std::string Secret;
};

} // namespace daisytack::entry
