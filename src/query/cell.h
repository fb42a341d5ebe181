/// Typed cells, columns and tables: what a query reads and answers.
#pragma once

#include "daisytack/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisytack::query {

/// How a column's cells are compared, written and read.
enum class CellType : uint8_t {
  Text,
  Integer,
  Number,
  Flag,
  Bytes,    ///< As an integer; "16M" in a condition.
  Time,     ///< As wall time.
  Duration, ///< As a duration; "10ms" in a condition.
};

/// "text", "integer", "number", "flag", "bytes", "time" or "duration".
std::string_view cellTypeName(CellType type);

/// Nothing (monostate) stands for unknown; it matches no condition but "!=".
using Cell = std::variant<std::monostate, std::string, int64_t, double, bool,
                          WallTime, Duration>;

struct Column {
  std::string Name;
  CellType Type = CellType::Text;
  bool operator==(const Column &) const = default;
};

struct Table {
  std::vector<Column> Columns;
  std::vector<std::vector<Cell>> Rows; ///< As wide as Columns.
  bool operator==(const Table &) const = default;
};

/// As shown to people: "-" for unknown, durations and bytes with their unit,
/// times as RFC 3339 in UTC.
std::string cellText(const Cell &cell, CellType type);

/// The cell that a condition names; nothing when the text is none of the type.
std::optional<Cell> parseCell(CellType type, std::string_view text);

/// The form that parseCell takes, for messages: "a duration such as 10ms".
std::string_view cellFormatHint(CellType type);

/// RFC 3339 in UTC with microseconds: "2026-12-02T16:00:00.000000Z".
std::string timeText(WallTime time);
/// Inverse of timeText; the fraction may be left out.
std::optional<WallTime> parseTime(std::string_view text);

} // namespace daisytack::query
