#include "query/query_executor.h"

#include "query/schema.h"

#include <algorithm>
#include <map>

namespace daisytack::query {

namespace {

const Column CountColumn{"count", CellType::Integer};

bool isUnknown(const Cell &cell) {
  return std::holds_alternative<std::monostate>(cell);
}

bool contains(const Cell &cell, CellType type, const Cell &value) {
  const auto *substring = std::get_if<std::string>(&value);
  return substring &&
         cellText(cell, type).find(*substring) != std::string::npos;
}

bool isSatisfied(const Condition &it, const Cell &cell, CellType type) {
  if (isUnknown(cell))
    return it.Compare == Comparison::NotEqual;
  switch (it.Compare) {
  case Comparison::Equal:
    return cell == it.Value;
  case Comparison::NotEqual:
    return cell != it.Value;
  case Comparison::Less:
    return cell < it.Value;
  case Comparison::LessEqual:
    return cell <= it.Value;
  case Comparison::Greater:
    return cell > it.Value;
  case Comparison::GreaterEqual:
    return cell >= it.Value;
  case Comparison::Contains:
    return contains(cell, type, it.Value);
  }
  return false;
}

/// Sorts stably, so that equal rows keep the order of their source. Unknown
/// cells sort first when ascending.
void sortRows(Table &table, const Order &order) {
  std::stable_sort(table.Rows.begin(), table.Rows.end(),
                   [&](const auto &a, const auto &b) {
                     const Cell &left = a[order.Column];
                     const Cell &right = b[order.Column];
                     return order.Descending ? right < left : left < right;
                   });
}

/// Sets truncated if rows were left out.
void applyLimit(Table &table, uint64_t limit, bool *truncated) {
  if (table.Rows.size() <= limit)
    return;
  table.Rows.resize(limit);
  if (truncated)
    *truncated = true;
}

/// Builds the table of counts in descending order.
Table countsTable(const std::optional<Column> &by,
                  const std::map<Cell, int64_t> &counts) {
  Table out;
  if (by)
    out.Columns.push_back(*by);
  out.Columns.push_back(CountColumn);
  for (const auto &[value, count] : counts) {
    std::vector<Cell> row;
    if (by)
      row.push_back(value);
    row.emplace_back(count);
    out.Rows.push_back(std::move(row));
  }
  sortRows(out, {out.Columns.size() - 1, true});
  return out;
}

std::optional<Column> countedBy(const Query &query) {
  if (!query.CountBy)
    return std::nullopt;
  return columnsOf(query.From)[*query.CountBy];
}

/// Returns the initial counts. A count without "by" has one row even when no
/// row matches, so that it returns 0.
std::map<Cell, int64_t> emptyCounts(const Query &query) {
  std::map<Cell, int64_t> out;
  if (!query.CountBy)
    out[Cell()] = 0;
  return out;
}

/// Ignores the limit: counts of the same value in several processes can only be
/// summed when none has been dropped.
Table countRows(const Query &query, const Table &rows) {
  std::map<Cell, int64_t> counts = emptyCounts(query);
  for (const auto &row : rows.Rows)
    if (matches(query, row))
      ++counts[query.CountBy ? row[*query.CountBy] : Cell()];
  return countsTable(countedBy(query), counts);
}

Table mergeCounts(const Query &query, const std::vector<Table> &parts,
                  bool *truncated) {
  std::map<Cell, int64_t> counts = emptyCounts(query);
  for (const Table &part : parts)
    for (const auto &row : part.Rows)
      counts[query.CountBy ? row.front() : Cell()] +=
          std::get<int64_t>(row.back());
  Table out = countsTable(countedBy(query), counts);
  applyLimit(out, query.Limit, truncated);
  return out;
}

} // namespace

bool matches(const Query &query, const std::vector<Cell> &row) {
  const auto &columns = columnsOf(query.From);
  return std::all_of(
      query.Where.begin(), query.Where.end(), [&](const Condition &it) {
        return isSatisfied(it, row[it.Column], columns[it.Column].Type);
      });
}

Table execute(const Query &query, const Table &rows, bool *truncated) {
  if (query.Count)
    return countRows(query, rows);
  Table out{rows.Columns, {}};
  for (const auto &row : rows.Rows)
    if (matches(query, row))
      out.Rows.push_back(row);
  if (query.OrderBy)
    sortRows(out, *query.OrderBy);
  applyLimit(out, query.Limit, truncated);
  return out;
}

Table merge(const Query &query, const std::vector<Table> &parts,
            bool *truncated) {
  if (query.Count)
    return mergeCounts(query, parts, truncated);
  Table out{columnsOf(query.From), {}};
  for (const Table &part : parts)
    out.Rows.insert(out.Rows.end(), part.Rows.begin(), part.Rows.end());
  if (query.OrderBy)
    sortRows(out, *query.OrderBy);
  applyLimit(out, query.Limit, truncated);
  return out;
}

} // namespace daisytack::query
