/// Values written as text, as settings and operators' commands share them.
#pragma once

#include "daisytack/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack {

std::optional<bool> parseFlag(std::string_view text);
/// Decimal digits with an optional minus sign, nothing around them.
std::optional<int64_t> parseInteger(std::string_view text);
/// A finite decimal number.
std::optional<double> parseNumber(std::string_view text);
/// "64", "64k", "16M", "1G", "2T" (powers of 1024).
std::optional<uint64_t> parseBytes(std::string_view text);
/// Inverse of parseBytes, in the largest unit that divides the value.
std::string bytesText(uint64_t bytes);
/// Shortest text that reads back as the same number.
std::string numberText(double value);
/// Comma-separated words without the blanks around them; empty words are left
/// out.
std::vector<std::string> splitList(std::string_view text);

/// The value when it lies between both limits, which belong to the range.
template <class T>
std::optional<T> inRange(std::optional<T> value, T minimum, T maximum) {
  if (!value || *value < minimum || maximum < *value)
    return std::nullopt;
  return value;
}

} // namespace daisytack
