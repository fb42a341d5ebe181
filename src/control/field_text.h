/// Conversion of field values to and from the text used in commands and tables.
#pragma once

#include "daisytack/objects.h"

#include <optional>
#include <string>
#include <string_view>

namespace daisytack::control {

std::string fieldText(const std::string &value);
std::string fieldText(bool value);
std::string fieldText(uint32_t value);
std::string fieldText(uint64_t value);
std::string fieldText(double value);
std::string fieldText(Duration value);
std::string fieldText(KeepRule value);
std::string fieldText(OperatorRole value);
/// "none" when there is no time.
std::string fieldText(const std::optional<WallTime> &value);

/// Inverses of fieldText. Return false and leave the value unchanged when the
/// text does not parse.
bool parseField(std::string_view text, std::string &value);
bool parseField(std::string_view text, bool &value);
bool parseField(std::string_view text, uint32_t &value);
bool parseField(std::string_view text, uint64_t &value);
bool parseField(std::string_view text, double &value);
bool parseField(std::string_view text, Duration &value);
bool parseField(std::string_view text, KeepRule &value);
bool parseField(std::string_view text, OperatorRole &value);
bool parseField(std::string_view text, std::optional<WallTime> &value);

/// Short description of the text format of a field of that type.
std::string_view fieldFormat(const std::string &);
std::string_view fieldFormat(bool);
std::string_view fieldFormat(uint32_t);
std::string_view fieldFormat(uint64_t);
std::string_view fieldFormat(double);
std::string_view fieldFormat(Duration);
std::string_view fieldFormat(KeepRule);
std::string_view fieldFormat(OperatorRole);
std::string_view fieldFormat(const std::optional<WallTime> &);

/// Formats as "2026-12-02T06:30:00Z", with fractional seconds if not zero.
std::string wallTimeText(WallTime time);
std::optional<WallTime> parseWallTime(std::string_view text);

} // namespace daisytack::control
