/// Columns of each table, and conversion of rows and snapshots to tables.
#pragma once

#include "control/snapshot.h"
#include "query/cell.h"
#include "query/query_ast.h"
#include "query/rows.h"

#include <span>

namespace daisytack::query {

/// Columns of a table in display order. The first column of a table that is
/// gathered over the fleet is "instance".
const std::vector<Column> &columnsOf(TableName table);

/// Returns the index of a column, or the number of columns if there is none of
/// that name.
size_t columnIndex(TableName table, std::string_view name);

/// Returns true when the rows are distributed over processes, and false when
/// the snapshot of any process contains them all.
bool isGathered(TableName table);

// Tables that are gathered from processes. `instance` is the name of the
// process that the rows come from.

/// Builds the table Requests, Waiting or Running. They share their columns;
/// Waiting and Running contain only requests in that state.
Table requestTable(TableName which, std::string_view instance,
                   std::span<const RequestRow> rows);
Table refusedTable(std::string_view instance, std::span<const RefusalRow> rows);
Table keptTable(std::string_view instance, std::span<const KeptRow> rows);
/// `sequence` is the sequence number of the first event.
Table eventTable(std::string_view instance, uint64_t sequence,
                 std::span<const Event> events);

// Tables that are built from the snapshot. `rows` holds the state of servers
// that this process has received beyond the snapshot.

Table serverTable(const Snapshot &snapshot, std::span<const ServerRow> rows);
Table organisationTable(const Snapshot &snapshot);
Table classTable(const Snapshot &snapshot);
Table versionTable(const Snapshot &snapshot, std::span<const ServerRow> rows);
Table memberTable(const Snapshot &snapshot);
/// Key hashes are hidden. Operator accounts are included only when the role is
/// Administrator.
Table configTable(const Snapshot &snapshot, OperatorRole role);

} // namespace daisytack::query
