#include "base/setting_text.h"

#include "base/settings.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace daisytack {

namespace {

/// A unit suffix and its factor in basic units (microseconds or bytes).
struct Unit {
  std::string_view Suffix;
  uint64_t Factor;
};

// Largest first, so that formatting picks the largest unit that divides the
// value.
constexpr std::array DurationUnits{
    Unit{"d", 86'400'000'000}, Unit{"h", 3'600'000'000}, Unit{"m", 60'000'000},
    Unit{"s", 1'000'000},      Unit{"ms", 1'000},        Unit{"us", 1}};
constexpr std::array ByteUnits{Unit{"T", 1ULL << 40U}, Unit{"G", 1ULL << 30U},
                               Unit{"M", 1ULL << 20U}, Unit{"k", 1ULL << 10U},
                               Unit{"", 1}};

template <class T> std::optional<T> parseWhole(std::string_view text) {
  T out{};
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return out;
}

template <size_t N>
std::optional<uint64_t> parseUnits(std::string_view text,
                                   const std::array<Unit, N> &units,
                                   uint64_t maximum) {
  size_t digits = std::min(text.find_first_not_of("0123456789"), text.size());
  auto count = parseWhole<uint64_t>(text.substr(0, digits));
  if (!count)
    return std::nullopt;
  for (const Unit &unit : units)
    if (unit.Suffix == text.substr(digits)) {
      if (*count > maximum / unit.Factor)
        return std::nullopt;
      return *count * unit.Factor;
    }
  return std::nullopt;
}

/// Converts the digits after a decimal point to basic units; nullopt when the
/// result is not a whole number.
std::optional<uint64_t> parseFraction(std::string_view digits, uint64_t unit) {
  if (digits.empty())
    return std::nullopt;
  uint64_t out = 0;
  for (char c : digits) {
    bool isWhole = unit % 10 == 0;
    if (c < '0' || c > '9' || (!isWhole && c != '0'))
      return std::nullopt;
    unit /= 10;
    out += static_cast<uint64_t>(c - '0') * unit;
  }
  return out;
}

template <size_t N>
std::string unitsText(uint64_t value, const std::array<Unit, N> &units) {
  for (const Unit &unit : units)
    if (value != 0 && value % unit.Factor == 0)
      return std::to_string(value / unit.Factor) + std::string(unit.Suffix);
  return "0" + std::string(units.back().Suffix);
}

std::string_view trimmed(std::string_view text) {
  auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos)
    return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

} // namespace

std::optional<bool> parseFlag(std::string_view text) {
  if (text == "true")
    return true;
  if (text == "false")
    return false;
  return std::nullopt;
}

std::optional<int64_t> parseInteger(std::string_view text) {
  return parseWhole<int64_t>(text);
}

std::optional<double> parseNumber(std::string_view text) {
  auto out = parseWhole<double>(text);
  if (!out || !std::isfinite(*out))
    return std::nullopt;
  return out;
}

std::optional<uint64_t> parseBytes(std::string_view text) {
  return parseUnits(text, ByteUnits, std::numeric_limits<uint64_t>::max());
}

std::string bytesText(uint64_t bytes) { return unitsText(bytes, ByteUnits); }

std::string numberText(double value) {
  std::array<char, 32> buf{};
  auto end = std::to_chars(buf.data(), buf.data() + buf.size(), value).ptr;
  return {buf.data(), end};
}

std::vector<std::string> splitList(std::string_view text) {
  std::vector<std::string> out;
  while (true) {
    size_t comma = text.find(',');
    std::string_view word = trimmed(text.substr(0, comma));
    if (!word.empty())
      out.emplace_back(word);
    if (comma == std::string_view::npos)
      return out;
    text.remove_prefix(comma + 1);
  }
}

std::optional<Duration> parseDuration(std::string_view text) {
  constexpr uint64_t Max = std::numeric_limits<int64_t>::max();
  size_t point = text.find('.');
  size_t unit = std::min(text.find_first_not_of("0123456789."), text.size());
  std::string whole(text.substr(0, std::min(point, unit)));
  whole += text.substr(unit);
  auto micros = parseUnits(whole, DurationUnits, Max);
  if (!micros)
    return std::nullopt;
  if (point == std::string_view::npos)
    return Duration(static_cast<int64_t>(*micros));
  auto fraction = parseFraction(
      text.substr(point + 1, unit - point - 1),
      *parseUnits("1" + std::string(text.substr(unit)), DurationUnits, Max));
  if (!fraction || *micros > Max - *fraction)
    return std::nullopt;
  return Duration(static_cast<int64_t>(*micros + *fraction));
}

std::string toString(Duration value) {
  if (value.count() < 0)
    return "-" + toString(-value);
  return unitsText(static_cast<uint64_t>(value.count()), DurationUnits);
}

} // namespace daisytack
