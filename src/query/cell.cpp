#include "query/cell.h"

#include "base/setting_text.h"
#include "base/settings.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace daisytack::query {

namespace {

constexpr std::string_view UnknownText = "-";
constexpr int64_t MicrosPerSecond = 1'000'000;

struct TypeRow {
  std::string_view Name;
  std::string_view FormatHint;
};

// Indexed by CellType.
constexpr std::array<TypeRow, 7> Types{
    TypeRow{"text", "a text"},
    TypeRow{"integer", "a whole number"},
    TypeRow{"number", "a number"},
    TypeRow{"flag", "true or false"},
    TypeRow{"bytes", "bytes such as 64k, 16M or 1G"},
    TypeRow{"time", "a time such as 2026-12-02T16:00:00Z"},
    TypeRow{"duration", "a duration such as 10ms, 3s or 2h"},
};

template <class T> std::optional<Cell> asCell(std::optional<T> value) {
  if (!value)
    return std::nullopt;
  return Cell(std::move(*value));
}

std::optional<Cell> bytesCell(std::string_view text) {
  auto bytes = parseBytes(text);
  if (!bytes || *bytes > static_cast<uint64_t>(INT64_MAX))
    return std::nullopt;
  return Cell(static_cast<int64_t>(*bytes));
}

/// Formats the value of a cell for people.
struct TextWriter {
  CellType Type;

  std::string operator()(std::monostate) const {
    return std::string(UnknownText);
  }
  std::string operator()(const std::string &text) const { return text; }
  std::string operator()(int64_t n) const {
    bool isBytes = Type == CellType::Bytes && n >= 0;
    return isBytes ? bytesText(static_cast<uint64_t>(n)) : std::to_string(n);
  }
  std::string operator()(double x) const { return numberText(x); }
  std::string operator()(bool b) const { return b ? "true" : "false"; }
  std::string operator()(WallTime time) const { return timeText(time); }
  std::string operator()(Duration span) const { return toString(span); }
};

/// Parses a number of exactly `width` digits at offset `at`. Returns nothing
/// when a character is missing or isn't a digit.
std::optional<int> digitsAt(std::string_view text, size_t at, size_t width) {
  if (at + width > text.size())
    return std::nullopt;
  int out = 0;
  for (char c : text.substr(at, width)) {
    if (c < '0' || c > '9')
      return std::nullopt;
    out = out * 10 + (c - '0');
  }
  return out;
}

/// Parses a fraction of a second of at most six digits into microseconds; ".5"
/// and ".500000" are equal. Returns 0 for an empty text.
std::optional<int64_t> fractionMicros(std::string_view text) {
  if (text.empty())
    return 0;
  std::string digits(text.substr(1));
  if (text.front() != '.' || digits.empty() || digits.size() > 6)
    return std::nullopt;
  digits.resize(6, '0');
  return digitsAt(digits, 0, 6);
}

std::optional<std::chrono::sys_days> dateOf(std::string_view text) {
  auto year = digitsAt(text, 0, 4);
  auto month = digitsAt(text, 5, 2);
  auto day = digitsAt(text, 8, 2);
  if (!year || !month || !day || text[4] != '-' || text[7] != '-')
    return std::nullopt;
  std::chrono::year_month_day date{std::chrono::year(*year),
                                   std::chrono::month(unsigned(*month)),
                                   std::chrono::day(unsigned(*day))};
  if (!date.ok())
    return std::nullopt;
  return std::chrono::sys_days(date);
}

std::optional<std::chrono::seconds> timeOfDay(std::string_view text) {
  auto hour = digitsAt(text, 0, 2);
  auto minute = digitsAt(text, 3, 2);
  auto second = digitsAt(text, 6, 2);
  if (!hour || !minute || !second || text[2] != ':' || text[5] != ':')
    return std::nullopt;
  if (*hour > 23 || *minute > 59 || *second > 59)
    return std::nullopt;
  return std::chrono::hours(*hour) + std::chrono::minutes(*minute) +
         std::chrono::seconds(*second);
}

} // namespace

std::string_view cellTypeName(CellType type) {
  return Types[static_cast<size_t>(type)].Name;
}

std::string_view cellFormatHint(CellType type) {
  return Types[static_cast<size_t>(type)].FormatHint;
}

std::string cellText(const Cell &cell, CellType type) {
  return std::visit(TextWriter{type}, cell);
}

std::optional<Cell> parseCell(CellType type, std::string_view text) {
  switch (type) {
  case CellType::Text:
    return Cell(std::string(text));
  case CellType::Integer:
    return asCell(parseInteger(text));
  case CellType::Number:
    return asCell(parseNumber(text));
  case CellType::Flag:
    return asCell(parseFlag(text));
  case CellType::Bytes:
    return bytesCell(text);
  case CellType::Time:
    return asCell(parseTime(text));
  case CellType::Duration:
    return asCell(parseDuration(text));
  }
  return std::nullopt;
}

std::string timeText(WallTime time) {
  auto micros = time.time_since_epoch();
  auto days = std::chrono::floor<std::chrono::days>(micros);
  std::chrono::year_month_day date{std::chrono::sys_days(days)};
  std::chrono::hh_mm_ss clock(micros - days);
  std::array<char, 64> buf{};
  int n = std::snprintf(
      buf.data(), buf.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%06dZ",
      static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
      static_cast<unsigned>(date.day()),
      static_cast<int>(clock.hours().count()),
      static_cast<int>(clock.minutes().count()),
      static_cast<int>(clock.seconds().count()),
      static_cast<int>(clock.subseconds().count()));
  return {buf.data(), static_cast<size_t>(n)};
}

std::optional<WallTime> parseTime(std::string_view text) {
  constexpr size_t DateSize = 10;
  constexpr size_t ClockSize = 8;
  constexpr size_t MinSize = DateSize + 1 + ClockSize + 1;
  if (text.size() < MinSize || text[DateSize] != 'T' || text.back() != 'Z')
    return std::nullopt;
  auto date = dateOf(text.substr(0, DateSize));
  auto clock = timeOfDay(text.substr(DateSize + 1, ClockSize));
  text.remove_suffix(1);
  auto micros = fractionMicros(text.substr(DateSize + 1 + ClockSize));
  if (!date || !clock || !micros)
    return std::nullopt;
  int64_t seconds = (date->time_since_epoch() + *clock).count();
  return WallTime(Duration(seconds * MicrosPerSecond + *micros));
}

} // namespace daisytack::query
