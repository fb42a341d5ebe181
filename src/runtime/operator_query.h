/// Answers queries over the fleet: plans whom to ask, gathers, merges.
#pragma once

#include "query/query_plan.h"
#include "runtime/operator_fleet.h"
#include "runtime/operator_view.h"

namespace daisytack::runtime {

/// Who asks, and how far the question goes.
struct OperatorCaller {
  std::string Name;
  OperatorRole Role = OperatorRole::Viewer;
  std::string BearerKey; ///< Passed on, so that every process checks it.
  /// Asked by another process: only this process's own rows are wanted.
  bool IsLocal = false;
};

/// Body of /v1/query and /v1/command for one process.
std::string localBody(std::string_view text);

/// A request to every process's own route, in the caller's name.
FleetRequest fleetRequest(const OperatorInit &init, const Endpoint &self,
                          const OperatorCaller &caller, std::string path,
                          std::string_view text);

/// Thread-safe; its references outlive it and every answer.
class OperatorQueries {
public:
  using DoneHook = std::function<void(query::Answer)>;

  OperatorQueries(const OperatorInit &init, const OperatorView &view,
                  net::HttpClient &client)
      : Init(init), View(view), Client(client) {}

  /// Address under which this process's own operators' HTTP answers.
  void setSelf(Endpoint self) { Self = std::move(self); }
  void run(const query::Query &query, const OperatorCaller &caller,
           DoneHook done) const;

private:
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
