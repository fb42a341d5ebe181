#include "serve/caller_ids.h"

#include "base/digest.h"

#include <charconv>

namespace daisytack::entry {

namespace {

constexpr std::string_view RequestLabel = "daisytack request id";
constexpr std::string_view EventLabel = "daisytack event id";
constexpr size_t MacDigits = 32; ///< Hexadecimal digits, 128 bits.

/// Joins fields with their lengths, so that different fields never yield the
/// same text.
std::string joinFields(std::string_view label, std::string_view a,
                       std::string_view b) {
  std::string out(label);
  for (std::string_view field : {a, b}) {
    out += ' ';
    out += std::to_string(field.size());
    out += ':';
    out += field;
  }
  return out;
}

/// Reads a big-endian integer at offset `from`.
uint64_t readUint64(const Digest256 &digest, size_t from) {
  uint64_t out = 0;
  for (size_t i = 0; i < sizeof(out); ++i)
    out = (out << 8U) | digest[from + i];
  return out;
}

} // namespace

CallerIds::CallerIds(std::string secret) : Secret(std::move(secret)) {}

RequestId CallerIds::requestId(std::string_view organisation,
                               std::string_view idempotencyKey) const {
  Digest256 digest = hmacSha256(
      Secret, joinFields(RequestLabel, organisation, idempotencyKey));
  return {readUint64(digest, 0), readUint64(digest, sizeof(uint64_t))};
}

std::string CallerIds::mac(std::string_view organisation,
                           std::string_view body) const {
  std::string out =
      hexDigest(hmacSha256(Secret, joinFields(EventLabel, organisation, body)));
  out.resize(MacDigits);
  return out;
}

std::string CallerIds::eventId(std::string_view organisation,
                               const EventId &id) const {
  std::string body =
      toHex(id.Request) + '.' + id.Server + '.' + std::to_string(id.Index);
  return body + '.' + mac(organisation, body);
}

std::optional<EventId> CallerIds::parseEventId(std::string_view organisation,
                                               std::string_view text) const {
  size_t macDot = text.rfind('.');
  if (macDot == std::string_view::npos)
    return std::nullopt;
  std::string_view body = text.substr(0, macDot);
  if (!equalConstantTime(mac(organisation, body), text.substr(macDot + 1)))
    return std::nullopt;
  // A server's name may contain dots; the other fields don't.
  size_t first = body.find('.');
  size_t last = body.rfind('.');
  if (first == std::string_view::npos || last <= first)
    return std::nullopt;
  std::optional<Id128> request = parseId128(body.substr(0, first));
  std::string_view number = body.substr(last + 1);
  EventId out;
  auto [end, ec] =
      std::from_chars(number.data(), number.data() + number.size(), out.Index);
  if (!request || ec != std::errc() || end != number.data() + number.size())
    return std::nullopt;
  out.Request = *request;
  out.Server = body.substr(first + 1, last - first - 1);
  return out;
}

} // namespace daisytack::entry
