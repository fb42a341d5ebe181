/// Applies a query to rows: conditions, order, counts, limit, and merging of
/// parts from several processes.
#pragma once

#include "query/query_ast.h"

namespace daisytack::query {

/// True when all conditions of the query hold for the row.
bool matches(const Query &query, const std::vector<Cell> &row);

/// The answer over one process's rows: filtered, ordered, counted, limited.
Table execute(const Query &query, const Table &rows);

/// Joins answers that execute() gave for the same query in several processes,
/// as if their rows had stood in one. Without an order the parts stay in
/// theirs.
Table merge(const Query &query, const std::vector<Table> &parts);

} // namespace daisytack::query
