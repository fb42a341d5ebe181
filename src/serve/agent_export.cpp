#include "serve/agent_export.h"

#include <algorithm>
#include <utility>

namespace daisytack::serve {

namespace {

bool mayExport(const ExportDecision &decision) {
  return decision.Verdict == ExportVerdict::Export ||
         decision.Verdict == ExportVerdict::OverQuota;
}

} // namespace

ExportFlow::ExportFlow(ExportSettings settings, StoreTable &stores,
                       CallIdSource &numbers,
                       std::function<std::string()> engineVersion)
    : Settings(settings), Stores(stores), Numbers(numbers),
      EngineVersion(std::move(engineVersion)),
      RecentSightings(settings.Sightings), Policy(Settings.Keep, Returns) {}

void ExportFlow::begin(ExportParams params, Step &step) {
  Job job;
  size_t n = std::min(params.Pieces.size(), Settings.MaxPiecesPerJob);
  for (uint32_t i = 0; i < n; ++i) {
    SightingHistory before = RecentSightings.record(params.Pieces[i], step.Now);
    Returns.observe(before);
    ExportCandidate input;
    input.Rule = params.Rule;
    input.Before = before;
    input.Quota = params.Quota;
    if (Policy.decide(input).Verdict == ExportVerdict::Export)
      job.Candidates.push_back({i, before});
  }
  if (job.Candidates.empty() || Stores.size() == 0 ||
      Jobs.size() >= Settings.MaxJobs)
    return;
  job.Params = std::move(params);
  Jobs.push_back(std::move(job));
  startNextJob(step);
}

void ExportFlow::startNextJob(Step &step) {
  if (IsBusy || Jobs.empty())
    return;
  IsBusy = true;
  requestUsage(step);
  requestStatus(step);
  requestLookups(step);
  if (Jobs.front().PendingCalls == 0)
    onReportsComplete(step);
}

CallId ExportFlow::callStore(CallPurpose purpose, StoreHandle store,
                             StoreRequest request, Step &step) {
  CallId out = Numbers.next();
  Calls[out] = purpose;
  step.Out.push_back(CallStore{out, store, std::move(request),
                               Stores.settings().WriteTimeout});
  return out;
}

void ExportFlow::requestUsage(Step &step) {
  Job &job = Jobs.front();
  auto it = Usage.find(job.Params.Organisation);
  if (it != Usage.end() &&
      step.Now - it->second.ReportedAt < Settings.MaxReportAge) {
    job.ReportedUsage = it->second;
    return;
  }
  job.ReportedUsage.ReportedAt = step.Now;
  for (uint32_t i = 0; i < Stores.size(); ++i) {
    callStore(CallPurpose::Usage, {i},
              ReadUsage{metaPrefix(job.Params.Organisation)}, step);
    ++job.PendingCalls;
  }
}

void ExportFlow::requestStatus(Step &step) {
  if (StatusAt && step.Now - *StatusAt < Settings.MaxReportAge)
    return;
  StatusAt = step.Now;
  for (uint32_t i = 0; i < Stores.size(); ++i) {
    callStore(CallPurpose::Status, {i}, ReadStatus{}, step);
    ++Jobs.front().PendingCalls;
  }
}

void ExportFlow::requestLookups(Step &step) {
  Job &job = Jobs.front();
  std::map<StoreHandle, std::vector<PieceKey>> keys;
  for (const Candidate &it : job.Candidates)
    for (StoreHandle store : missingStores(it, MaxStoreCopies, step.Now))
      keys[store].push_back(job.Params.Pieces[it.Index]);
  for (auto &[store, storeKeys] : keys) {
    callStore(CallPurpose::Lookup, store, LookupPieces{std::move(storeKeys)},
              step);
    ++job.PendingCalls;
  }
}

bool ExportFlow::onAnswer(StoreAnswer &answer, Step &step) {
  auto it = Calls.find(answer.Call);
  if (it == Calls.end())
    return false;
  CallPurpose purpose = it->second;
  Calls.erase(it);
  const auto *error = std::get_if<Error>(&answer.Result);
  if (error && isStoreFailure(*error))
    Stores.onFailed(answer.Store, step.Now);
  bool isCurrent = CurrentWrite && CurrentWrite->Call == answer.Call;
  if (purpose == CallPurpose::Write || purpose == CallPurpose::Replace) {
    if (isCurrent && purpose == CallPurpose::Write)
      onWrite(answer, step);
    else if (isCurrent)
      replaceOwnPieces(answer, step);
  } else if (purpose != CallPurpose::Cleanup) {
    onReport(purpose, answer, step);
  }
  return true;
}

void ExportFlow::onReport(CallPurpose purpose, const StoreAnswer &answer,
                          Step &step) {
  if (Jobs.empty())
    return;
  Job &job = Jobs.front();
  if (const auto *usage = std::get_if<StoreUsage>(&answer.Result)) {
    job.ReportedUsage.Bytes += usage->Bytes;
    job.ReportedUsage.Pieces += usage->Pieces;
  }
  if (const auto *status = std::get_if<StoreStatus>(&answer.Result))
    Status[answer.Store] = *status;
  if (const auto *found = std::get_if<StoreFound>(&answer.Result);
      found && purpose == CallPurpose::Lookup)
    for (const FoundPiece &it : found->Pieces)
      job.Stored.insert({answer.Store, it.Key});
  if (--job.PendingCalls == 0)
    onReportsComplete(step);
}

void ExportFlow::onReportsComplete(Step &step) {
  Job &job = Jobs.front();
  Usage[job.Params.Organisation] = job.ReportedUsage;
  exportNextPiece(step);
}

ExportDecision ExportFlow::decide(const Candidate &candidate,
                                  uint64_t bytes) const {
  const Job &job = Jobs.front();
  ExportCandidate input;
  input.Rule = job.Params.Rule;
  input.Before = candidate.Before;
  input.Bytes = bytes;
  input.OrganisationBytes = Usage.at(job.Params.Organisation).Bytes;
  input.Quota = job.Params.Quota;
  uint64_t used = 0;
  uint64_t total = 0;
  for (const auto &[store, status] : Status) {
    used += status.MemoryUsed + status.DiskUsed;
    total += status.MemoryTotal + status.DiskTotal;
  }
  if (total > 0)
    input.StoreUsed = static_cast<double>(used) / static_cast<double>(total);
  return Policy.decide(input);
}

std::vector<StoreHandle> ExportFlow::missingStores(const Candidate &candidate,
                                                   uint32_t copies,
                                                   TimePoint now) const {
  const Job &job = Jobs.front();
  std::vector<StoreHandle> out =
      Stores.storesOf(job.Params.Pieces, candidate.Index, copies, now);
  const PieceKey &key = job.Params.Pieces[candidate.Index];
  std::erase_if(out, [&](StoreHandle store) {
    return job.Stored.contains({store, key});
  });
  return out;
}

void ExportFlow::exportNextPiece(Step &step) {
  Job &job = Jobs.front();
  for (; job.CurrentCandidate < job.Candidates.size(); ++job.CurrentCandidate) {
    if (EngineVersion() != job.Params.Version)
      break;
    const Candidate &it = job.Candidates[job.CurrentCandidate];
    ExportDecision decision = decide(it, 0);
    if (!mayExport(decision))
      continue;
    RemainingStores = missingStores(it, decision.Copies, step.Now);
    if (RemainingStores.empty())
      continue;
    CopyIndex = 0;
    ExportCall = Numbers.next();
    step.Out.push_back(ExportPiece{ExportCall, job.Params.Pieces[it.Index]});
    return;
  }
  Jobs.pop_front();
  IsBusy = false;
  startNextJob(step);
}

bool ExportFlow::onExport(const PieceExport &answer, Step &step) {
  if (answer.Call != ExportCall || ExportCall == 0)
    return false;
  ExportCall = 0;
  Job &job = Jobs.front();
  PieceBytes = answer.Bytes;
  bool isUsable =
      !answer.Why && PieceBytes && EngineVersion() == job.Params.Version;
  ExportDecision decision;
  if (isUsable)
    decision = decide(job.Candidates[job.CurrentCandidate], PieceBytes->size());
  IsOverQuota = decision.Verdict == ExportVerdict::OverQuota;
  if (!mayExport(decision))
    RemainingStores.clear();
  writeToNextStore(step);
  return true;
}

void ExportFlow::record(Step &step, EventKind kind, const std::string &subject,
                        std::array<int64_t, Event::MaxScores> scores) const {
  Event event;
  event.Kind = kind;
  event.Request = Jobs.front().Params.Id;
  event.Scores = scores;
  event.Subject = subject;
  step.Out.push_back(RecordEvent{std::move(event)});
}

} // namespace daisytack::serve
