/// Selects the processes that can have rows of a query, so that it is sent to
/// no others.
#pragma once

#include "control/snapshot.h"
#include "query/query_ast.h"

#include <optional>
#include <vector>

namespace daisytack::query {

/// Processes that a query has to be sent to.
struct QueryPlan {
  /// The process that received the query answers it without querying others,
  /// because its snapshot contains all rows.
  bool AnsweredLocally = false;
  /// Otherwise, the instances to query, as ordered by selectPage(). Querying
  /// ends early when the limit is reached, unless NeedsAllInstances is set.
  std::vector<Member> Instances;
  /// All instances must be queried, because the result is ordered or counted.
  bool NeedsAllInstances = false;
  /// Set when the query selects one request: the entry that issued its
  /// identifier. The request's events on that entry name the backend servers to
  /// query in addition.
  std::optional<Member> RequestEntry;
};

/// Plans a query. Conditions with "=" on instance, server, model or request
/// reduce the number of instances.
QueryPlan planQuery(const Query &query, const Snapshot &snapshot);

/// Sorts instances by name and removes those up to the query's page token. The
/// order depends on the names alone, so that a page also continues after an
/// instance that no longer exists.
void selectPage(const Query &query, std::vector<Member> &instances);

/// Returns true if processes of the role have rows of a table: entries have
/// requests, agents have queues and kept context, both have refusals and
/// events.
bool hasRows(TableName table, MemberRole role);

/// Returns the request that a query selects, or nothing when it has no valid
/// "request = ID" condition.
std::optional<RequestId> requestOf(const Query &query);
/// Returns the query for all events of one request.
Query eventsOfRequest(const RequestId &id);
/// Returns the backend servers that are the subject of an event in the table.
std::vector<Member> serversInEvents(const Table &events,
                                    const Snapshot &snapshot);

} // namespace daisytack::query
