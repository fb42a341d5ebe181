/// The columns of each table, and the rows of each source as tables.
#pragma once

#include "control/snapshot.h"
#include "query/cell.h"
#include "query/query_ast.h"
#include "query/rows.h"

#include <span>

namespace daisytack::query {

/// Columns in the order shown. The first one of a table that is gathered over
/// the fleet is "instance".
const std::vector<Column> &columnsOf(TableName table);

/// Index of a column; the name must exist.
size_t columnIndex(TableName table, std::string_view name);

/// True when the rows stand in many processes; false when every process's
/// snapshot has them.
bool isGathered(TableName table);

// Tables that are gathered; instance is the process that shows them.

/// All of requests, waiting and running share their columns; the two latter
/// show only rows of their state.
Table requestTable(TableName which, std::string_view instance,
                   std::span<const RequestRow> rows);
Table refusedTable(std::string_view instance, std::span<const RefusalRow> rows);
Table keptTable(std::string_view instance, std::span<const KeptRow> rows);
/// Sequence is that of the first event.
Table eventTable(std::string_view instance, uint64_t sequence,
                 std::span<const Event> events);

// Tables out of the snapshot.

/// Known is what this process has heard of them.
Table serverTable(const Snapshot &snapshot, std::span<const ServerRow> rows);
Table organisationTable(const Snapshot &snapshot);
Table classTable(const Snapshot &snapshot);
Table versionTable(const Snapshot &snapshot, std::span<const ServerRow> rows);
Table memberTable(const Snapshot &snapshot);
/// Key hashes are hidden; operators' accounts show for administrators alone.
Table configTable(const Snapshot &snapshot, OperatorRole role);

} // namespace daisytack::query
