#include "serve/agent_messages.h"

#include <charconv>

namespace daisytack::serve {

namespace {

/// Hex digits of a RequestId.
constexpr size_t IdDigits = 32;

std::optional<uint32_t> parseNumber(std::string_view text) {
  uint32_t out = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return out;
}

} // namespace

std::string toString(const RunToken &run) {
  return toHex(run.Id) + '-' + std::to_string(run.AttemptNumber) + '-' +
         std::to_string(run.Start);
}

std::optional<RunToken> parseRunToken(std::string_view text) {
  if (text.size() < IdDigits + 4 || text[IdDigits] != '-')
    return std::nullopt;
  std::string_view numbers = text.substr(IdDigits + 1);
  size_t dash = numbers.find('-');
  if (dash == std::string_view::npos)
    return std::nullopt;
  auto id = parseId128(text.substr(0, IdDigits));
  auto attempt = parseNumber(numbers.substr(0, dash));
  auto start = parseNumber(numbers.substr(dash + 1));
  if (!id || !attempt || !start)
    return std::nullopt;
  return RunToken{*id, *attempt, *start};
}

} // namespace daisytack::serve
