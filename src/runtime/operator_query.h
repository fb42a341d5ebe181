/// Answers queries over the fleet: selects the members to query, sends the
/// query to them, and merges their answers.
#pragma once

#include "query/query_plan.h"
#include "runtime/operator_fleet.h"
#include "runtime/operator_view.h"

namespace daisytack::runtime {

/// The operator who sends a query or command, and its scope.
struct OperatorCaller {
  std::string Name;
  OperatorRole Role = OperatorRole::Viewer;
  std::string BearerKey; ///< Forwarded to other processes, which check it.
  /// True if the query or command came from another process and concerns only
  /// this one.
  bool IsLocal = false;
};

/// Body of a request to /v1/query or /v1/command with local scope.
std::string localBody(std::string_view text);

/// Builds a request to the given path of other processes, with local scope and
/// the bearer key of the caller.
FleetRequest fleetRequest(const OperatorInit &init, const Endpoint &self,
                          const OperatorCaller &caller, std::string path,
                          std::string_view text);

/// Thread-safe. The referenced objects must outlive it and all running queries.
class OperatorQueries {
public:
  using DoneHook = std::function<void(query::Answer)>;

  OperatorQueries(const OperatorInit &init, const OperatorView &view,
                  net::HttpClient &client)
      : Init(init), View(view), Client(client) {}

  /// Sets the address of this process's own HTTP server for operators.
  void setSelf(Endpoint self) { Self = std::move(self); }
  void run(const query::Query &query, const OperatorCaller &caller,
           DoneHook done) const;

private:
  /// Looks up which servers the request was sent to, in the events of the entry
  /// that issued its identifier, and queries them too.
  void gatherForRequest(const query::Query &query, const OperatorCaller &caller,
                        query::QueryPlan plan, DoneHook done) const;
  void gather(const query::Query &query, const OperatorCaller &caller,
              const query::QueryPlan &plan, const DoneHook &done) const;
  query::QueryPlan withServers(query::QueryPlan plan, const query::Query &query,
                               const query::Table &events) const;

  const OperatorInit &Init;
  const OperatorView &View;
  net::HttpClient &Client;
  Endpoint Self;
};

} // namespace daisytack::runtime
