/// Syntax tree of a query, type-checked against the columns of its table.
#pragma once

#include "query/cell.h"

#include <optional>
#include <string>
#include <vector>

namespace daisytack::query {

/// Tables that a query can name, in the order of the documentation.
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

/// Name of the table in queries: "requests", "waiting" and so on.
std::string_view tableNameText(TableName table);
/// Inverse of tableNameText. Returns nothing when there is no such table.
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

/// Operator of the comparison in queries: "=", "!=" and so on.
std::string_view comparisonText(Comparison comparison);

/// A condition of a query. A row matches when it satisfies all of them.
struct Condition {
  size_t Column = 0; ///< Index into the table's columns.
  Comparison Compare = Comparison::Equal;
  Cell Value;
  bool operator==(const Condition &) const = default;
};

struct Order {
  size_t Column = 0; ///< Index into the table's columns.
  bool Descending = false;
  bool operator==(const Order &) const = default;
};

/// Maximum number of rows in an answer when the query sets no limit.
constexpr uint64_t DefaultLimit = 100;
/// Largest limit that a query may set.
constexpr uint64_t MaxLimit = 10'000;

struct Query {
  TableName From = TableName::Requests;
  std::vector<Condition> Where;
  /// Return the number of matching rows instead of the rows.
  bool Count = false;
  /// Count rows for each value of this column; its index. Unset for one total.
  std::optional<size_t> CountBy;
  std::optional<Order> OrderBy;
  uint64_t Limit = DefaultLimit;
  /// Page token: the answer starts after the instance of this name, taken from
  /// the previous page's "next". Empty for the first page.
  std::string After;
  bool operator==(const Query &) const = default;
};

} // namespace daisytack::query
