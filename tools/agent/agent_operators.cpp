#include "agent_operators.h"

#include "base/clock.h"

#include <algorithm>
#include <utility>

namespace daisytack::agent {

namespace {

using Picture = std::shared_ptr<const serve::AgentSnapshot>;

std::vector<query::RequestRow> requestRows(const Picture &picture,
                                           const AgentOptions &options) {
  TimePoint now = monotonicNow();
  std::vector<query::RequestRow> out;
  for (const serve::RunView &it : picture->Runs) {
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

std::vector<query::RefusalRow> refusalRows(const Picture &picture,
                                           const AgentOptions &options) {
  TimePoint now = monotonicNow();
  std::vector<query::RefusalRow> out;
  for (const serve::RefusalView &it : picture->Refusals)
    out.push_back({it.Id, it.Kind, it.Ran, it.Organisation, it.Class,
                   options.Core.Serves, now - it.At});
  return out;
}

std::vector<query::KeptRow> keptRows(const Picture &picture,
                                     const AgentOptions &options) {
  std::vector<query::KeptRow> out;
  for (const serve::KeptContextView &it : picture->KeptContext) {
    query::KeptRow row;
    row.Organisation = it.Organisation;
    row.Class = std::string(1, '*');
    row.Model = options.Core.Serves;
    row.Version = picture->Load.Version;
    row.Pieces = it.Pieces;
    row.Bytes = it.Bytes;
    row.Hits = it.Hits;
    out.push_back(std::move(row));
  }
  return out;
}

std::vector<query::ServerRow> serverRows(const Picture &picture,
                                         const AgentOptions &options) {
  query::ServerRow row;
  row.Name = options.Core.Instance;
  row.Version = picture->Load.Version;
  row.PredictedWait = Duration(static_cast<int64_t>(picture->Load.WaitMicros));
  row.Running = picture->Load.Running;
  row.Waiting = picture->Load.Waiting;
  row.ReportAge = monotonicNow() - picture->At;
  return {row};
}

size_t stop(AgentShell &shell, const query::StopTarget &target) {
  Picture picture = shell.snapshot().load();
  auto n = std::count_if(picture->Runs.begin(), picture->Runs.end(),
                         [&](const serve::RunView &it) {
                           return target.Request ? it.Id == *target.Request
                                                 : it.Class == target.Class;
                         });
  shell.push(serve::StopRequested{target.Request, target.Class});
  return static_cast<size_t>(n);
}

runtime::Readiness readiness(const AgentShell &shell) {
  Picture picture = shell.snapshot().load();
  if (picture->Draining)
    return {false, "the agent is leaving"};
  if (!picture->EngineReachable)
    return {false, "the backend server does not answer"};
  return {shell.isReady(), shell.isReady() ? "" : "the server is loading"};
}

} // namespace

runtime::OperatorHooks operatorHooks(AgentShell &shell,
                                     const AgentOptions &options) {
  runtime::OperatorHooks out;
  out.Requests = [&] { return requestRows(shell.snapshot().load(), options); };
  out.Refusals = [&] { return refusalRows(shell.snapshot().load(), options); };
  out.Kept = [&] { return keptRows(shell.snapshot().load(), options); };
  out.Servers = [&] { return serverRows(shell.snapshot().load(), options); };
  out.Stop = [&](const query::StopTarget &target) {
    return stop(shell, target);
  };
  out.Ready = [&] { return readiness(shell); };
  return out;
}

} // namespace daisytack::agent
