/// FetchFlow: cancelled and late fetches, and the updates for the core.
#include "context/keep_policy.h"
#include "serve/agent_fetch.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace daisytack::serve {

using namespace std::chrono_literals;

/// The organisation in the stored metadata is only a hint: the piece's key
/// itself depends on the organisation and the weight version.
bool FetchFlow::mayUse(const PieceFetch &fetch, const StoreBytes &bytes,
                       const Step &step) const {
  auto meta = decodeMeta(bytes.Meta);
  if (!meta || meta->Organisation != fetch.Organisation)
    return false;
  return step.Wall < meta->ExpiresAt &&
         step.Wall - meta->KeptAt < fetch.KeepFor;
}

void FetchFlow::releaseLink(PieceFetch &fetch, uint64_t bytes, TimePoint now) {
  if (fetch.Transfer == 0)
    return;
  if (fetch.InFlight)
    Stores.link(fetch.Store).finish(fetch.Transfer, bytes, now);
  else
    Stores.link(fetch.Store).cancel(fetch.Transfer);
  Transfers.erase(fetch.Transfer);
  fetch.Transfer = 0;
}

/// Only a contiguous prefix can be reused, so that a request can't use the
/// pieces after a missing one.
void FetchFlow::dropFromIndex(Job &job, uint32_t index, Step &step) {
  job.ReusablePieces = std::min(job.ReusablePieces, index);
  std::vector<uint32_t> lost(job.Missing.lower_bound(index), job.Missing.end());
  job.Missing.erase(job.Missing.lower_bound(index), job.Missing.end());
  for (uint32_t it : lost)
    dropWaiter(job.Params.Id, job.Params.Pieces[it], step);
}

void FetchFlow::dropWaiter(const RequestId &id, const PieceKey &key,
                           Step &step) {
  auto it = ActiveFetches.find(key);
  if (it == ActiveFetches.end())
    return;
  PieceFetch &fetch = it->second;
  std::erase(fetch.Waiters, id);
  bool isImporting = fetch.Read.step() == ReadStep::Import;
  if (!fetch.Waiters.empty() || isImporting)
    return;
  if (ReadCalls.erase(fetch.Call) != 0)
    step.Out.push_back(CancelStoreCall{fetch.Call});
  releaseLink(fetch, 0, step.Now);
  ActiveFetches.erase(it);
}

void FetchFlow::abandon(const RequestId &id, Step &step) {
  auto it = Jobs.find(id);
  if (it == Jobs.end())
    return;
  dropFromIndex(it->second, 0, step);
  Jobs.erase(it);
}

void FetchFlow::finishJob(const RequestId &id, Step &step) {
  auto it = Jobs.find(id);
  if (it == Jobs.end())
    return;
  const Job &job = it->second;
  Updates.push_back({id, true, step.Now, job.ReusablePieces * PieceTokens});
  if (job.IsFetching)
    record(
        step, EventKind::FetchFinished, job.Params,
        {job.ReusablePieces, static_cast<int64_t>(job.Params.Pieces.size())});
  Jobs.erase(it);
}

void FetchFlow::finishJobIfDone(const RequestId &id, Step &step) {
  auto it = Jobs.find(id);
  if (it != Jobs.end() && it->second.PendingLookups == 0 &&
      it->second.Missing.empty())
    finishJob(id, step);
}

void FetchFlow::onTimer(Step &step) {
  std::vector<RequestId> late;
  for (const auto &[id, job] : Jobs)
    if (job.RecheckAt <= step.Now)
      late.push_back(id);
  for (const RequestId &id : late)
    if (auto it = Jobs.find(id); it != Jobs.end())
      onLate(it->second, step);
}

void FetchFlow::onLate(Job &job, Step &step) {
  const FetchParams &params = job.Params;
  uint32_t first =
      job.Missing.empty() ? job.ReusablePieces : *job.Missing.begin();
  LateFetch late;
  late.Remaining = remainingTime(job, step.Now);
  late.QueueWait = std::max(Duration(0), params.ExpectedStart - step.Now);
  late.TokensAtStake = (job.ReusablePieces - first) * PieceTokens;
  late.PrefillTokensPerSecond = Hooks.PrefillRate();
  late.Limit = params.FirstTokenLimit - step.Now;
  if (isWorthWaiting(late, Settings.Weights)) {
    job.RecheckAt =
        step.Now + std::max(late.Remaining, Settings.MinRecheckDelay);
    return;
  }
  dropFromIndex(job, first, step);
  finishJob(RequestId(params.Id), step);
}

Duration FetchFlow::remainingTime(const Job &job, TimePoint now) const {
  Duration out{0};
  for (uint32_t index : job.Missing) {
    auto it = ActiveFetches.find(job.Params.Pieces[index]);
    if (it == ActiveFetches.end())
      continue;
    const LinkScheduler &link = Stores.link(it->second.Store);
    double bytes =
        static_cast<double>(link.backlogBefore(job.Params.ExpectedStart));
    double seconds = bytes / std::max(1.0, link.bytesPerSecond(now));
    out = std::max(
        out, Duration(static_cast<int64_t>(seconds * Duration(1s).count())));
  }
  return out + Stores.settings().Link.RoundTrip;
}

std::optional<TimePoint> FetchFlow::nextTimer() const {
  TimePoint out = TimePoint::max();
  for (const auto &[id, job] : Jobs)
    out = std::min(out, job.RecheckAt);
  if (out == TimePoint::max())
    return std::nullopt;
  return out;
}

std::vector<FetchUpdate> FetchFlow::takeUpdates() {
  return std::exchange(Updates, {});
}

void FetchFlow::record(Step &step, EventKind kind, const FetchParams &params,
                       std::array<int64_t, Event::MaxScores> scores) const {
  Event event;
  event.Kind = kind;
  event.Request = params.Id;
  event.AttemptNumber = params.AttemptNumber;
  event.Scores = scores;
  event.Subject = params.Organisation;
  step.Out.push_back(RecordEvent{std::move(event)});
}

} // namespace daisytack::serve
