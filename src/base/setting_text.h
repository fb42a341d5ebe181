/// Parsing and formatting of values, shared by settings and operators'
/// commands.
#pragma once

#include "daisytack/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack {

std::optional<bool> parseFlag(std::string_view text);
/// Decimal digits with an optional minus sign and no surrounding characters.
std::optional<int64_t> parseInteger(std::string_view text);
/// A finite decimal number.
std::optional<double> parseNumber(std::string_view text);
/// "64", "64k", "16M", "1G", "2T" (powers of 1024).
std::optional<uint64_t> parseBytes(std::string_view text);
/// Inverse of parseBytes, in the largest unit that divides the value.
std::string bytesText(uint64_t bytes);
/// Shortest text that parses to the same number.
std::string numberText(double value);
/// Comma-separated words without surrounding blanks; empty words are skipped.
std::vector<std::string> splitList(std::string_view text);

/// The value if it lies within [minimum, maximum], otherwise nullopt.
template <class T>
std::optional<T> inRange(std::optional<T> value, T minimum, T maximum) {
  if (!value || *value < minimum || maximum < *value)
    return std::nullopt;
  return value;
}

} // namespace daisytack
