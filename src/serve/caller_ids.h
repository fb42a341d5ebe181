/// Identifiers that callers hold: a request id derived from their key, and the
/// event ids from which a broken stream is taken up again.
#pragma once

#include "daisytack/types.h"

#include <optional>
#include <string>
#include <string_view>

namespace daisytack::entry {

/// Where a caller stands in a stream.
struct EventId {
  RequestId Request;
  std::string Server; ///< That holds the answer.
  uint32_t Index = 0; ///< Last chunk that the caller has.
  auto operator<=>(const EventId &) const = default;
};

/// Derives identifiers from a secret that all entries share. Immutable.
class CallerIds {
public:
  explicit CallerIds(std::string secret);

  /// The same for a repeat with the same key, at any entry.
  RequestId requestId(std::string_view organisation,
                      std::string_view idempotencyKey) const;
  /// "REQUEST.SERVER.INDEX.MAC".
  std::string eventId(std::string_view organisation, const EventId &id) const;
  /// Nothing when the text was not made for this organisation.
  std::optional<EventId> parseEventId(std::string_view organisation,
                                      std::string_view text) const;

private:
  std::string mac(std::string_view organisation, std::string_view body) const;

  std::string Secret;
};

} // namespace daisytack::entry
