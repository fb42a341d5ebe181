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
      EngineVersion(std::move(engineVersion)), Sights(settings.Sightings),
      Policy(Settings.Keep, Returns) {}

void ExportFlow::begin(ExportWish wish, Step &step) {
  Job job;
  size_t n = std::min(wish.Pieces.size(), Settings.MaxPiecesPerJob);
  for (uint32_t i = 0; i < n; ++i) {
    SightingHistory before = Sights.record(wish.Pieces[i], step.Now);
    Returns.observe(before);
    ExportCandidate question;
    question.Rule = wish.Rule;
    question.Before = before;
    question.Quota = wish.Quota;
    if (Policy.decide(question).Verdict == ExportVerdict::Export)
      job.Candidates.push_back({i, before});
  }
  if (job.Candidates.empty() || Stores.size() == 0 ||
      Jobs.size() >= Settings.MaxJobs)
    return;
  job.Wish = std::move(wish);
  Jobs.push_back(std::move(job));
  pump(step);
}

void ExportFlow::pump(Step &step) {
  if (IsBusy || Jobs.empty())
    return;
  IsBusy = true;
  askUsage(step);
  askStatus(step);
  lookUp(step);
  if (Jobs.front().Pending == 0)
    infoComplete(step);
}

CallId ExportFlow::call(Asked asked, StoreHandle store, StoreRequest request,
                        Step &step) {
  CallId out = Numbers.next();
  Calls[out] = asked;
  step.Out.push_back(CallStore{out, store, std::move(request),
                               Stores.settings().WriteTimeout});
  return out;
}

void ExportFlow::askUsage(Step &step) {
  Job &job = Jobs.front();
  auto it = Usage.find(job.Wish.Organisation);
  if (it != Usage.end() && step.Now - it->second.At < Settings.UsageAge) {
    job.Sum = it->second;
    return;
  }
  job.Sum.At = step.Now;
  for (uint32_t i = 0; i < Stores.size(); ++i) {
    call(Asked::Usage, {i}, ReadUsage{metaPrefix(job.Wish.Organisation)}, step);
    ++job.Pending;
  }
}

void ExportFlow::askStatus(Step &step) {
  if (StatusAt && step.Now - *StatusAt < Settings.UsageAge)
    return;
  StatusAt = step.Now;
  for (uint32_t i = 0; i < Stores.size(); ++i) {
    call(Asked::Status, {i}, ReadStatus{}, step);
    ++Jobs.front().Pending;
  }
}

void ExportFlow::lookUp(Step &step) {
  Job &job = Jobs.front();
  std::map<StoreHandle, std::vector<PieceKey>> keys;
  for (const Candidate &it : job.Candidates)
    for (StoreHandle store : targetsOf(it, MaxStoreCopies, step.Now))
      keys[store].push_back(job.Wish.Pieces[it.Index]);
  for (auto &[store, wanted] : keys) {
    call(Asked::Lookup, store, LookupPieces{std::move(wanted)}, step);
    ++job.Pending;
  }
}

bool ExportFlow::onAnswer(StoreAnswer &answer, Step &step) {
  auto it = Calls.find(answer.Call);
  if (it == Calls.end())
    return false;
  Asked asked = it->second;
  Calls.erase(it);
  const auto *error = std::get_if<Error>(&answer.Result);
  if (error && isStoreFailure(*error))
    Stores.onFailed(answer.Store, step.Now);
  bool isCurrent = Current && Current->Call == answer.Call;
  if (asked == Asked::Write || asked == Asked::Replace) {
    if (isCurrent && asked == Asked::Write)
      onWrite(answer, step);
    else if (isCurrent)
      replaceOwn(answer, step);
  } else if (asked != Asked::Nothing) {
    onInfo(asked, answer, step);
  }
  return true;
}

void ExportFlow::onInfo(Asked asked, const StoreAnswer &answer, Step &step) {
  if (Jobs.empty())
    return;
  Job &job = Jobs.front();
  if (const auto *usage = std::get_if<StoreUsage>(&answer.Result)) {
    job.Sum.Bytes += usage->Bytes;
    job.Sum.Pieces += usage->Pieces;
  }
  if (const auto *status = std::get_if<StoreStatus>(&answer.Result))
    Status[answer.Store] = *status;
  if (const auto *found = std::get_if<StoreFound>(&answer.Result);
      found && asked == Asked::Lookup)
    for (const FoundPiece &it : found->Pieces)
      job.Stored.insert({answer.Store, it.Key});
  if (--job.Pending == 0)
    infoComplete(step);
}

void ExportFlow::infoComplete(Step &step) {
  Job &job = Jobs.front();
  Usage[job.Wish.Organisation] = job.Sum;
  nextPiece(step);
}

ExportDecision ExportFlow::decide(const Candidate &candidate,
                                  uint64_t bytes) const {
  const Job &job = Jobs.front();
  ExportCandidate question;
  question.Rule = job.Wish.Rule;
  question.Before = candidate.Before;
  question.Bytes = bytes;
  question.OrganisationBytes = Usage.at(job.Wish.Organisation).Bytes;
  question.Quota = job.Wish.Quota;
  uint64_t used = 0;
  uint64_t total = 0;
  for (const auto &[store, status] : Status) {
    used += status.MemoryUsed + status.DiskUsed;
    total += status.MemoryTotal + status.DiskTotal;
  }
  if (total > 0)
    question.StoreUsed = static_cast<double>(used) / static_cast<double>(total);
  return Policy.decide(question);
}

std::vector<StoreHandle> ExportFlow::targetsOf(const Candidate &candidate,
                                               uint32_t copies,
                                               TimePoint now) const {
  const Job &job = Jobs.front();
  std::vector<StoreHandle> out =
      Stores.storesOf(job.Wish.Pieces, candidate.Index, copies, now);
  const PieceKey &key = job.Wish.Pieces[candidate.Index];
  std::erase_if(out, [&](StoreHandle store) {
    return job.Stored.contains({store, key});
  });
  return out;
}

void ExportFlow::nextPiece(Step &step) {
  Job &job = Jobs.front();
  for (; job.At < job.Candidates.size(); ++job.At) {
    if (EngineVersion() != job.Wish.Version)
      break;
    const Candidate &it = job.Candidates[job.At];
    ExportDecision decision = decide(it, 0);
    if (!mayExport(decision))
      continue;
    Targets = targetsOf(it, decision.Copies, step.Now);
    if (Targets.empty())
      continue;
    Copy = 0;
    ExportCall = Numbers.next();
    step.Out.push_back(ExportPiece{ExportCall, job.Wish.Pieces[it.Index]});
    return;
  }
  Jobs.pop_front();
  IsBusy = false;
  pump(step);
}

bool ExportFlow::onExport(const PieceExport &answer, Step &step) {
  if (answer.Call != ExportCall || ExportCall == 0)
    return false;
  ExportCall = 0;
  Job &job = Jobs.front();
  Bytes = answer.Bytes;
  bool isUsable = !answer.Why && Bytes && EngineVersion() == job.Wish.Version;
  ExportDecision decision;
  if (isUsable)
    decision = decide(job.Candidates[job.At], Bytes->size());
  IsOverQuota = decision.Verdict == ExportVerdict::OverQuota;
  if (!mayExport(decision))
    Targets.clear();
  nextTarget(step);
  return true;
}

void ExportFlow::record(Step &step, EventKind kind, const std::string &subject,
                        std::array<int64_t, Event::MaxScores> scores) const {
  Event event;
  event.Kind = kind;
  event.Request = Jobs.front().Wish.Id;
  event.Scores = scores;
  event.Subject = subject;
  step.Out.push_back(RecordEvent{std::move(event)});
}

} // namespace daisytack::serve
