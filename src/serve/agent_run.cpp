#include "serve/agent_run.h"

#include <algorithm>

namespace daisytack::serve {

std::string_view runStateName(RunState state) {
  switch (state) {
  case RunState::Waiting:
    return "waiting";
  case RunState::Running:
    return "running";
  case RunState::Suspended:
    return "suspended";
  case RunState::Finished:
    return "finished";
  }
  return "unknown";
}

bool Run::wasNotified(const Reader &reader) const {
  return std::find(NotifiedReaders.begin(), NotifiedReaders.end(), reader) !=
         NotifiedReaders.end();
}

Run *RunTable::find(const RequestId &id) {
  auto it = Runs.find(id);
  return it == Runs.end() ? nullptr : it->second.get();
}

const Run *RunTable::find(const RequestId &id) const {
  auto it = Runs.find(id);
  return it == Runs.end() ? nullptr : it->second.get();
}

Run &RunTable::insert(std::unique_ptr<Run> run) {
  Run &out = *run;
  Runs[out.Token.Id] = std::move(run);
  return out;
}

void RunTable::erase(const RequestId &id) {
  Run *run = find(id);
  if (!run)
    return;
  clearReaders(*run);
  unschedule(*run);
  Runs.erase(id);
}

bool RunTable::addReader(Run &run, const Reader &reader) {
  auto &readers = run.Readers;
  if (std::find(readers.begin(), readers.end(), reader) != readers.end())
    return false;
  readers.push_back(reader);
  ByLink[reader.Link.Index].insert(run.Token.Id);
  return true;
}

bool RunTable::removeReader(Run &run, const Reader &reader) {
  auto &readers = run.Readers;
  auto it = std::find(readers.begin(), readers.end(), reader);
  if (it == readers.end())
    return false;
  readers.erase(it);
  bool stillReads =
      std::any_of(readers.begin(), readers.end(),
                  [&](const Reader &r) { return r.Link == reader.Link; });
  auto link = ByLink.find(reader.Link.Index);
  if (!stillReads && link != ByLink.end()) {
    link->second.erase(run.Token.Id);
    if (link->second.empty())
      ByLink.erase(link);
  }
  return true;
}

void RunTable::clearReaders(Run &run) {
  while (!run.Readers.empty())
    removeReader(run, Reader(run.Readers.back()));
}

std::vector<RequestId> RunTable::requestsReadBy(LinkHandle link) const {
  auto it = ByLink.find(link.Index);
  if (it == ByLink.end())
    return {};
  std::vector<RequestId> out(it->second.begin(), it->second.end());
  std::sort(out.begin(), out.end());
  return out;
}

void RunTable::unschedule(Run &run) {
  if (run.WakeAt)
    Timers.erase({*run.WakeAt, run.Token.Id});
  run.WakeAt.reset();
}

void RunTable::schedule(Run &run) {
  std::optional<TimePoint> wake = run.RetainUntil;
  if (!run.isFinished() && (!wake || run.Deadline < *wake))
    wake = run.Deadline;
  if (wake == run.WakeAt)
    return;
  unschedule(run);
  if (wake)
    Timers.insert({*wake, run.Token.Id});
  run.WakeAt = wake;
}

std::optional<TimePoint> RunTable::nextWake() const {
  if (Timers.empty())
    return std::nullopt;
  return Timers.begin()->first;
}

std::vector<RequestId> RunTable::due(TimePoint now) const {
  std::vector<RequestId> out;
  for (const auto &[when, id] : Timers) {
    if (when > now)
      break;
    out.push_back(id);
  }
  return out;
}

} // namespace daisytack::serve
