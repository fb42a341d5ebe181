#include "once/ticket.h"

#include "base/digest.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace daisytack {

namespace {

constexpr std::string_view Prefix = "dt1:";
constexpr char Separator = ':';
/// Instance, organisation, process, serial, issue time, expiry, signature.
constexpr size_t FieldCount = 7;

bool isNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool isTicketName(std::string_view name) {
  return !name.empty() && name.size() <= MaxNameBytes &&
         std::all_of(name.begin(), name.end(), isNameCharacter);
}

std::optional<TimePoint> parseTime(std::string_view text) {
  Duration::rep micros = 0;
  const char *end = text.data() + text.size();
  auto [at, ec] = std::from_chars(text.data(), end, micros);
  if (ec != std::errc() || at != end)
    return std::nullopt;
  return TimePoint(Duration(micros));
}

std::string timeText(TimePoint time) {
  return std::to_string(time.time_since_epoch().count());
}

/// Splits the text at the separators. Returns nullopt unless there are exactly
/// FieldCount fields.
std::optional<std::array<std::string_view, FieldCount>>
splitFields(std::string_view text) {
  std::array<std::string_view, FieldCount> out;
  for (size_t i = 0; i + 1 < FieldCount; ++i) {
    size_t n = text.find(Separator);
    if (n == std::string_view::npos)
      return std::nullopt;
    out[i] = text.substr(0, n);
    text.remove_prefix(n + 1);
  }
  if (text.find(Separator) != std::string_view::npos)
    return std::nullopt;
  out[FieldCount - 1] = text;
  return out;
}

std::optional<Ticket> parseFields(std::string_view text) {
  auto fields = splitFields(text);
  if (!fields || !isTicketName((*fields)[0]) || !isTicketName((*fields)[1]))
    return std::nullopt;
  auto process = parseId128((*fields)[2]);
  auto serial = parseId128((*fields)[3]);
  auto issuedAt = parseTime((*fields)[4]);
  auto expiresAt = parseTime((*fields)[5]);
  if (!process || !serial || !issuedAt || !expiresAt ||
      !parsePieceKey((*fields)[6]))
    return std::nullopt;
  return Ticket{std::string((*fields)[0]),
                *process,
                std::string((*fields)[1]),
                *serial,
                *issuedAt,
                *expiresAt};
}

} // namespace

std::optional<std::string> signTicket(const Ticket &ticket,
                                      std::string_view secret, Error &reason) {
  if (!isTicketName(ticket.Instance) || !isTicketName(ticket.Organisation)) {
    reason = {ErrorKind::BadValue,
              "a ticket needs names of 1 to 63 of [A-Za-z0-9._-]"};
    return std::nullopt;
  }
  std::string out(Prefix);
  for (const std::string &field :
       {ticket.Instance, ticket.Organisation, toHex(ticket.Process),
        toHex(ticket.Serial), timeText(ticket.IssuedAt),
        timeText(ticket.ExpiresAt)}) {
    out += field;
    out += Separator;
  }
  out += hexDigest(hmacSha256(secret, out));
  return out;
}

bool looksLikeTicket(std::string_view text) {
  return text.substr(0, Prefix.size()) == Prefix;
}

std::optional<Ticket> parseTicket(std::string_view text, Error &reason) {
  std::optional<Ticket> out;
  if (text.size() <= MaxTicketBytes && looksLikeTicket(text))
    out = parseFields(text.substr(Prefix.size()));
  if (!out)
    reason = {ErrorKind::BadRequest, "malformed ticket"};
  return out;
}

bool verifyTicket(std::string_view text, std::string_view secret) {
  size_t n = text.rfind(Separator);
  if (n == std::string_view::npos)
    return false;
  std::string expected = hexDigest(hmacSha256(secret, text.substr(0, n + 1)));
  return equalConstantTime(expected, text.substr(n + 1));
}

} // namespace daisytack
