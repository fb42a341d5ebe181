/// Typed cells, columns and tables: the input and the result of a query.
#pragma once

#include "daisytack/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisytack::query {

/// Type of a column: how its cells are compared, formatted and parsed.
enum class CellType : uint8_t {
  Text,
  Integer,
  Number,
  Flag,
  Bytes,    ///< Held as an integer; written as "16M" in a condition.
  Time,     ///< Held as wall time.
  Duration, ///< Written as "10ms" in a condition.
};

/// Name of the type in answers: "text", "integer", "number", "flag", "bytes",
/// "time" or "duration".
std::string_view cellTypeName(CellType type);

/// Value of one cell. std::monostate stands for an unknown value, which
/// satisfies no condition but "!=".
using Cell = std::variant<std::monostate, std::string, int64_t, double, bool,
                          WallTime, Duration>;

struct Column {
  std::string Name;
  CellType Type = CellType::Text;
  bool operator==(const Column &) const = default;
};

struct Table {
  std::vector<Column> Columns;
  std::vector<std::vector<Cell>> Rows; ///< Each row has one cell per column.
  bool operator==(const Table &) const = default;
};

/// Formats a cell for people: "-" for an unknown value, durations and bytes
/// with their unit, times as RFC 3339 in UTC.
std::string cellText(const Cell &cell, CellType type);

/// Parses the value of a condition. Returns nothing when the text isn't a valid
/// value of the type.
std::optional<Cell> parseCell(CellType type, std::string_view text);

/// Describes the format that parseCell accepts, for error messages, such as
/// "a duration such as 10ms, 3s or 2h".
std::string_view cellFormatHint(CellType type);

/// Formats a time as RFC 3339 in UTC with microseconds, such as
/// "2026-12-02T16:00:00.000000Z".
std::string timeText(WallTime time);
/// Inverse of timeText. The fraction is optional. Returns nothing when the text
/// isn't a valid time.
std::optional<WallTime> parseTime(std::string_view text);

} // namespace daisytack::query
