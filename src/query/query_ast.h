/// A query as the parser returns it: typed, checked against the table's
/// columns.
#pragma once

#include "query/cell.h"

#include <optional>
#include <string>
#include <vector>

namespace daisytack::query {

/// In the order of the documentation.
enum class TableName : uint8_t {
  Requests,
  Waiting,
  Running,
  Kept,
  Refused,
  Servers,
  Organisations,
  Classes,
  Versions,
  Members,
  Config,
  Events,
};
constexpr size_t TableNameCount = 12;

/// "requests", "waiting" and so on.
std::string_view tableNameText(TableName table);
std::optional<TableName> parseTableName(std::string_view text);

enum class Comparison : uint8_t {
  Equal,
  NotEqual,
  Less,
  LessEqual,
  Greater,
  GreaterEqual,
  Contains, ///< "~": the cell's text contains the value.
};

/// "=", "!=" and so on.
std::string_view comparisonText(Comparison comparison);

/// One condition; a query's conditions must all hold.
struct Condition {
  size_t Column = 0; ///< Index into the table's columns.
  Comparison Compare = Comparison::Equal;
  Cell Value;
  bool operator==(const Condition &) const = default;
};

struct Order {
  size_t Column = 0;
  bool Descending = false;
  bool operator==(const Order &) const = default;
};

/// Rows that a query answers when it names no limit, and at most.
constexpr uint64_t DefaultLimit = 100;
constexpr uint64_t MaxLimit = 10'000;

struct Query {
  TableName From = TableName::Requests;
  std::vector<Condition> Where;
  /// Count rows instead of showing them; per value of CountBy when set.
  bool Count = false;
  std::optional<size_t> CountBy;
  std::optional<Order> OrderBy;
  uint64_t Limit = DefaultLimit;
  std::string After; ///< Name of the instance after which to go on; a page's
                     ///< "next".
  bool operator==(const Query &) const = default;
};

} // namespace daisytack::query
