#include "operator_rows.h"

#include "active_request.h"
#include "base/clock.h"

#include <algorithm>

namespace daisytack::entry {

namespace {

std::vector<query::RequestRow> requestRows(const EntryState &state) {
  std::vector<query::RequestRow> out;
  for (const auto &request : state.Requests.all())
    out.push_back(request->row(monotonicNow()));
  return out;
}

std::vector<query::ServerRow> serverRows(EntryState &state) {
  std::vector<query::ServerRow> out;
  std::shared_ptr<const RoutingTable> routes = state.table();
  TimePoint now = monotonicNow();
  for (const Server &it : routes->snapshot().Servers) {
    query::ServerRow row;
    row.Name = it.Name;
    row.Ejected = state.Ejected.isEjected(it.NameHash, now);
    LoadEstimate load = state.Loads.estimate(it.NameHash, now);
    if (load.HasData)
      row.PredictedWait = load.Wait;
    if (auto received = state.LoadReports.find(it.Name)) {
      row.Version = received->Load.Version;
      row.Running = received->Load.Running;
      row.Waiting = received->Load.Waiting;
      row.ReportAge = now - received->ReceivedAt;
    }
    out.push_back(std::move(row));
  }
  return out;
}

size_t stopRequests(const EntryState &state, const query::StopTarget &target) {
  size_t count = 0;
  for (const auto &request : state.Requests.all()) {
    bool matches = target.Request ? request->spec().Offer.Id == *target.Request
                                  : request->spec().Offer.Class == target.Class;
    if (!matches)
      continue;
    request->push(StopRequested{});
    ++count;
  }
  return count;
}

} // namespace

runtime::OperatorHooks operatorHooks(EntryState &state) {
  runtime::OperatorHooks out;
  out.Requests = [&state] { return requestRows(state); };
  out.Refusals = [&state] { return state.Requests.refusals(monotonicNow()); };
  out.Servers = [&state] { return serverRows(state); };
  out.Stop = [&state](const query::StopTarget &target) {
    return stopRequests(state, target);
  };
  out.Ready = [&state] {
    bool isDraining = state.Draining.load(std::memory_order_relaxed);
    return runtime::Readiness{!isDraining, isDraining ? "draining" : ""};
  };
  return out;
}

} // namespace daisytack::entry
