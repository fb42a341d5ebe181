/// Which processes a query concerns, so that no other is asked.
#pragma once

#include "control/snapshot.h"
#include "query/query_ast.h"

#include <optional>
#include <vector>

namespace daisytack::query {

/// Where the rows of a query stand.
struct QueryPlan {
  /// The snapshot of the asked process has them all.
  bool AnsweredLocally = false;
  /// Otherwise: instances in the order to ask them, after the query's page
  /// mark. Unless NeedsAllInstances, rows stop being wanted once the limit is
  /// reached.
  std::vector<Member> Instances;
  /// Every one of them must be asked: the answer is ordered or counted.
  bool NeedsAllInstances = false;
  /// The query concerns one request: the entry that minted its identifier. Its
  /// events name the backend servers to ask besides.
  std::optional<Member> RequestEntry;
};

/// Conditions with "=" on instance, server, model or request narrow the plan.
QueryPlan planQuery(const Query &query, const Snapshot &snapshot);

/// Which roles have rows of a table: entries know requests, agents know queues
/// and kept context, both know refusals and events.
bool hasRows(TableName table, MemberRole role);

/// The request that the query is about; nothing when it is about several.
std::optional<RequestId> requestOf(const Query &query);
/// The events of one request, to ask its entry for.
Query eventsOfRequest(const RequestId &id);
/// Agents that these events name.
std::vector<Member> serversInEvents(const Table &events,
                                    const Snapshot &snapshot);

} // namespace daisytack::query
