/// Executes a query on rows (conditions, order, counts and limit) and merges
/// the results of several processes.
#pragma once

#include "query/query_ast.h"

namespace daisytack::query {

/// Returns true if the row satisfies all conditions of the query.
bool matches(const Query &query, const std::vector<Cell> &row);

/// Filters, orders, counts and limits the rows of one process. Counts are
/// limited by merge() only. Sets truncated if the limit left out rows.
Table execute(const Query &query, const Table &rows, bool *truncated = nullptr);

/// Merges the results of execute() for the same query on several processes, as
/// if one process had all rows. Without "order by", parts and their rows keep
/// their order. Sets truncated if the limit left out rows.
Table merge(const Query &query, const std::vector<Table> &parts,
            bool *truncated = nullptr);

} // namespace daisytack::query
