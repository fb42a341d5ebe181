#include "control/field_text.h"

#include "base/setting_text.h"
#include "base/settings.h"

#include <array>
#include <cstdio>
#include <utility>

namespace daisytack::control {

namespace {

constexpr std::array<std::string_view, 3> KeepRuleNames{"never", "second_sight",
                                                        "always"};
constexpr std::array<std::string_view, 3> OperatorRoleNames{
    "viewer", "operator", "administrator"};
constexpr std::string_view NoTime = "none";
constexpr int64_t MicrosPerSecond = 1'000'000;

template <class Enum, size_t N>
bool parseEnum(std::string_view text,
               const std::array<std::string_view, N> &names, Enum &value) {
  for (size_t i = 0; i < N; ++i)
    if (names[i] == text) {
      value = static_cast<Enum>(i);
      return true;
    }
  return false;
}

template <class T> bool assign(std::optional<T> parsed, T &value) {
  if (!parsed)
    return false;
  value = *std::move(parsed);
  return true;
}

/// Parses width decimal digits at the position; -1 when they are not digits.
int digitsAt(std::string_view text, size_t at, size_t width) {
  if (at + width > text.size())
    return -1;
  int out = 0;
  for (char c : text.substr(at, width)) {
    if (c < '0' || c > '9')
      return -1;
    out = out * 10 + (c - '0');
  }
  return out;
}

/// Parses a suffix such as ".5Z" or "Z" into microseconds.
std::optional<int64_t> parseFraction(std::string_view text) {
  constexpr size_t MaxDigits = 6;
  if (text == "Z")
    return 0;
  if (text.size() < 3 || text.front() != '.' || text.back() != 'Z')
    return std::nullopt;
  std::string digits(text.substr(1, text.size() - 2));
  if (digits.size() > MaxDigits)
    return std::nullopt;
  digits.resize(MaxDigits, '0');
  int micros = digitsAt(digits, 0, MaxDigits);
  if (micros < 0)
    return std::nullopt;
  return micros;
}

} // namespace

std::string fieldText(const std::string &value) { return value; }
std::string fieldText(bool value) { return value ? "true" : "false"; }
std::string fieldText(uint32_t value) { return std::to_string(value); }
std::string fieldText(uint64_t value) { return bytesText(value); }
std::string fieldText(double value) { return numberText(value); }
std::string fieldText(Duration value) { return toString(value); }
std::string fieldText(KeepRule value) {
  return std::string(KeepRuleNames[static_cast<size_t>(value)]);
}
std::string fieldText(OperatorRole value) {
  return std::string(OperatorRoleNames[static_cast<size_t>(value)]);
}
std::string fieldText(const std::optional<WallTime> &value) {
  return value ? wallTimeText(*value) : std::string(NoTime);
}

bool parseField(std::string_view text, std::string &value) {
  value = text;
  return true;
}
bool parseField(std::string_view text, bool &value) {
  return assign(parseFlag(text), value);
}
bool parseField(std::string_view text, uint32_t &value) {
  std::optional<int64_t> n =
      inRange<int64_t>(parseInteger(text), 0, UINT32_MAX);
  if (n)
    value = static_cast<uint32_t>(*n);
  return n.has_value();
}
bool parseField(std::string_view text, uint64_t &value) {
  return assign(parseBytes(text), value);
}
bool parseField(std::string_view text, double &value) {
  return assign(parseNumber(text), value);
}
bool parseField(std::string_view text, Duration &value) {
  return assign(parseDuration(text), value);
}
bool parseField(std::string_view text, KeepRule &value) {
  return parseEnum(text, KeepRuleNames, value);
}
bool parseField(std::string_view text, OperatorRole &value) {
  return parseEnum(text, OperatorRoleNames, value);
}
bool parseField(std::string_view text, std::optional<WallTime> &value) {
  if (text == NoTime) {
    value.reset();
    return true;
  }
  std::optional<WallTime> time = parseWallTime(text);
  if (time)
    value = time;
  return time.has_value();
}

std::string_view fieldFormat(const std::string &) { return "text"; }
std::string_view fieldFormat(bool) { return "true or false"; }
std::string_view fieldFormat(uint32_t) { return "a whole number from 0"; }
std::string_view fieldFormat(uint64_t) {
  return "bytes, such as 64k, 16M or 1G";
}
std::string_view fieldFormat(double) { return "a number"; }
std::string_view fieldFormat(Duration) {
  return "a duration, such as 10ms, 3s, 5m, 2h or 7d";
}
std::string_view fieldFormat(KeepRule) {
  return "one of never, second_sight, always";
}
std::string_view fieldFormat(OperatorRole) {
  return "one of viewer, operator, administrator";
}
std::string_view fieldFormat(const std::optional<WallTime> &) {
  return "a time in UTC, such as 2026-12-02T06:30:00Z, or none";
}

std::string wallTimeText(WallTime time) {
  using namespace std::chrono;
  int64_t micros = time.time_since_epoch().count();
  int64_t seconds = micros / MicrosPerSecond;
  int64_t rest = micros % MicrosPerSecond;
  sys_seconds whole{std::chrono::seconds(seconds)};
  auto day = floor<days>(whole);
  year_month_day date{day};
  hh_mm_ss clock{whole - day};
  std::array<char, 64> buf{};
  int n = std::snprintf(buf.data(), buf.size(), "%04d-%02u-%02uT%02d:%02d:%02d",
                        static_cast<int>(date.year()),
                        static_cast<unsigned>(date.month()),
                        static_cast<unsigned>(date.day()),
                        static_cast<int>(clock.hours().count()),
                        static_cast<int>(clock.minutes().count()),
                        static_cast<int>(clock.seconds().count()));
  std::string out(buf.data(), static_cast<size_t>(n));
  if (rest != 0) {
    std::string digits = std::to_string(MicrosPerSecond + rest);
    digits[0] = '.';
    digits.erase(digits.find_last_not_of('0') + 1);
    out += digits;
  }
  return out + "Z";
}

std::optional<WallTime> parseWallTime(std::string_view text) {
  using namespace std::chrono;
  constexpr std::string_view Layout = "0000-00-00T00:00:00";
  if (text.size() <= Layout.size())
    return std::nullopt;
  for (size_t i = 0; i < Layout.size(); ++i)
    if (Layout[i] != '0' && Layout[i] != text[i])
      return std::nullopt;
  int hour = digitsAt(text, 11, 2);
  int minute = digitsAt(text, 14, 2);
  int second = digitsAt(text, 17, 2);
  year_month_day date{year(digitsAt(text, 0, 4)),
                      month(static_cast<unsigned>(digitsAt(text, 5, 2))),
                      day(static_cast<unsigned>(digitsAt(text, 8, 2)))};
  std::optional<int64_t> fraction = parseFraction(text.substr(Layout.size()));
  bool clockValid = hour >= 0 && hour < 24 && minute >= 0 && minute < 60 &&
                    second >= 0 && second < 60;
  if (!date.ok() || static_cast<int>(date.year()) < 1970 || !clockValid ||
      !fraction)
    return std::nullopt;
  seconds since = sys_days(date).time_since_epoch() + hours(hour) +
                  minutes(minute) + seconds(second);
  return WallTime(duration_cast<Duration>(since) + Duration(*fraction));
}

} // namespace daisytack::control
