#include "agent_operators.h"

#include "base/clock.h"

#include <algorithm>
#include <utility>

namespace daisytack::agent {

namespace {

using SnapshotPtr = std::shared_ptr<const serve::AgentSnapshot>;

std::vector<query::RequestRow> requestRows(const SnapshotPtr &snapshot,
                                           const AgentOptions &options) {
  TimePoint now = monotonicNow();
  std::vector<query::RequestRow> out;
  for (const serve::RunView &it : snapshot->Runs) {
    query::RequestRow row;
    row.Request = it.Id;
    row.State = it.State == serve::RunState::Running
                    ? query::RequestState::Running
                    : query::RequestState::Waiting;
    row.Organisation = it.Organisation;
    row.Class = it.Class;
    row.Model = options.Core.Serves;
    row.Version = it.Version;
    row.Server = options.Core.Instance;
    row.AttemptNumber = it.AttemptNumber;
    row.Priority = it.Priority;
    row.Age = now - it.Arrived;
    row.Remaining = it.Deadline - now;
    row.PromptTokens = it.PromptTokens;
    row.GeneratedTokens = it.GeneratedTokens;
    out.push_back(std::move(row));
  }
  return out;
}

std::vector<query::RefusalRow> refusalRows(const SnapshotPtr &snapshot,
                                           const AgentOptions &options) {
  TimePoint now = monotonicNow();
  std::vector<query::RefusalRow> out;
  for (const serve::RefusalView &it : snapshot->Refusals)
    out.push_back({it.Id, it.Kind, it.RunOutcome, it.Organisation, it.Class,
                   options.Core.Serves, now - it.At});
  return out;
}

std::vector<query::KeptRow> keptRows(const SnapshotPtr &snapshot,
                                     const AgentOptions &options) {
  std::vector<query::KeptRow> out;
  for (const serve::KeptContextView &it : snapshot->KeptContext) {
    query::KeptRow row;
    row.Organisation = it.Organisation;
    row.Class = std::string(1, '*');
    row.Model = options.Core.Serves;
    row.Version = snapshot->Load.Version;
    row.Pieces = it.Pieces;
    row.Bytes = it.Bytes;
    row.Hits = it.Hits;
    out.push_back(std::move(row));
  }
  return out;
}

std::vector<query::ServerRow> serverRows(const SnapshotPtr &snapshot,
                                         const AgentOptions &options) {
  query::ServerRow row;
  row.Name = options.Core.Instance;
  row.Version = snapshot->Load.Version;
  row.PredictedWait = Duration(static_cast<int64_t>(snapshot->Load.WaitMicros));
  row.Running = snapshot->Load.Running;
  row.Waiting = snapshot->Load.Waiting;
  row.ReportAge = monotonicNow() - snapshot->At;
  return {row};
}

size_t stop(AgentDriver &driver, const query::StopTarget &target) {
  SnapshotPtr snapshot = driver.snapshot().load();
  auto n = std::count_if(snapshot->Runs.begin(), snapshot->Runs.end(),
                         [&](const serve::RunView &it) {
                           return target.Request ? it.Id == *target.Request
                                                 : it.Class == target.Class;
                         });
  driver.push(serve::StopRequested{target.Request, target.Class});
  return static_cast<size_t>(n);
}

runtime::Readiness readiness(const AgentDriver &driver) {
  SnapshotPtr snapshot = driver.snapshot().load();
  if (snapshot->Draining)
    return {false, "the agent is leaving"};
  if (!snapshot->EngineReachable)
    return {false, "the backend server does not answer"};
  return {driver.isReady(), driver.isReady() ? "" : "the server is loading"};
}

} // namespace

runtime::OperatorHooks operatorHooks(AgentDriver &driver,
                                     const AgentOptions &options) {
  runtime::OperatorHooks out;
  out.Requests = [&] { return requestRows(driver.snapshot().load(), options); };
  out.Refusals = [&] { return refusalRows(driver.snapshot().load(), options); };
  out.Kept = [&] { return keptRows(driver.snapshot().load(), options); };
  out.Servers = [&] { return serverRows(driver.snapshot().load(), options); };
  out.Stop = [&](const query::StopTarget &target) {
    return stop(driver, target);
  };
  out.Ready = [&] { return readiness(driver); };
  return out;
}

} // namespace daisytack::agent
