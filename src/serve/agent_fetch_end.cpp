/// FetchFlow: how fetches end early, and what the core is told.
#include "context/keep_policy.h"
#include "serve/agent_fetch.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace daisytack::serve {

using namespace std::chrono_literals;

/// Of this organisation, and not older than its policy lets it be used. The
/// store's note is only a hint; the key itself binds organisation and version.
bool FetchFlow::mayUse(const PieceFetch &fetch, const StoreBytes &bytes,
                       const Step &step) const {
  auto meta = decodeMeta(bytes.Meta);
  if (!meta || meta->Organisation != fetch.Organisation)
    return false;
  return step.Wall < meta->ExpiresAt &&
         step.Wall - meta->KeptAt < fetch.KeepFor;
}

void FetchFlow::leaveLink(PieceFetch &fetch, uint64_t bytes, TimePoint now) {
  if (fetch.Transfer == 0)
    return;
  if (fetch.InFlight)
    Stores.link(fetch.Store).finish(fetch.Transfer, bytes, now);
  else
    Stores.link(fetch.Store).cancel(fetch.Transfer);
  Transfers.erase(fetch.Transfer);
  fetch.Transfer = 0;
}

/// A prefix is reused up to its first missing piece: those behind it are of no
/// use to this request any more.
void FetchFlow::loseTail(Job &job, uint32_t index, Step &step) {
  job.Reused = std::min(job.Reused, index);
  std::vector<uint32_t> lost(job.Missing.lower_bound(index), job.Missing.end());
  job.Missing.erase(job.Missing.lower_bound(index), job.Missing.end());
  for (uint32_t it : lost)
    dropWaiter(job.Wish.Id, job.Wish.Pieces[it], step);
}

void FetchFlow::dropWaiter(const RequestId &id, const PieceKey &key,
                           Step &step) {
  auto it = Pieces.find(key);
  if (it == Pieces.end())
    return;
  PieceFetch &fetch = it->second;
  std::erase(fetch.Waiters, id);
  bool isImporting = fetch.Read.step() == ReadStep::Import;
  if (!fetch.Waiters.empty() || isImporting)
    return;
  if (ReadCalls.erase(fetch.Call) != 0)
    step.Out.push_back(CancelStoreCall{fetch.Call});
  leaveLink(fetch, 0, step.Now);
  Pieces.erase(it);
}

void FetchFlow::abandon(const RequestId &id, Step &step) {
  auto it = Jobs.find(id);
  if (it == Jobs.end())
    return;
  loseTail(it->second, 0, step);
  Jobs.erase(it);
}

void FetchFlow::settle(const RequestId &id, Step &step) {
  auto it = Jobs.find(id);
  if (it == Jobs.end())
    return;
  const Job &job = it->second;
  News.push_back({id, true, step.Now, job.Reused * PieceTokens});
  if (job.IsFetching)
    record(step, EventKind::FetchFinished, job.Wish,
           {job.Reused, static_cast<int64_t>(job.Wish.Pieces.size())});
  Jobs.erase(it);
}

void FetchFlow::settleIfDone(const RequestId &id, Step &step) {
  auto it = Jobs.find(id);
  if (it != Jobs.end() && it->second.Lookups == 0 && it->second.Missing.empty())
    settle(id, step);
}

void FetchFlow::onTimer(Step &step) {
  std::vector<RequestId> late;
  for (const auto &[id, job] : Jobs)
    if (job.LookAt <= step.Now)
      late.push_back(id);
  for (const RequestId &id : late)
    if (auto it = Jobs.find(id); it != Jobs.end())
      onLate(it->second, step);
}

void FetchFlow::onLate(Job &job, Step &step) {
  const FetchWish &wish = job.Wish;
  uint32_t first = job.Missing.empty() ? job.Reused : *job.Missing.begin();
  LateFetch late;
  late.Remaining = remainingTime(job, step.Now);
  late.QueueWait = std::max(Duration(0), wish.ExpectedStart - step.Now);
  late.TokensAtStake = (job.Reused - first) * PieceTokens;
  late.PrefillTokensPerSecond = Hooks.PrefillRate();
  late.Limit = wish.FirstTokenLimit - step.Now;
  if (isWorthWaiting(late, Settings.Weights)) {
    job.LookAt = step.Now + std::max(late.Remaining, Settings.LeastWait);
    return;
  }
  loseTail(job, first, step);
  settle(RequestId(wish.Id), step);
}

/// By the rate that the links can expect now.
Duration FetchFlow::remainingTime(const Job &job, TimePoint now) const {
  Duration out{0};
  for (uint32_t index : job.Missing) {
    auto it = Pieces.find(job.Wish.Pieces[index]);
    if (it == Pieces.end())
      continue;
    const LinkScheduler &link = Stores.link(it->second.Store);
    double bytes =
        static_cast<double>(link.backlogBefore(job.Wish.ExpectedStart));
    double seconds = bytes / std::max(1.0, link.bytesPerSecond(now));
    out = std::max(
        out, Duration(static_cast<int64_t>(seconds * Duration(1s).count())));
  }
  return out + Stores.settings().Link.RoundTrip;
}

std::optional<TimePoint> FetchFlow::nextTimer() const {
  TimePoint out = TimePoint::max();
  for (const auto &[id, job] : Jobs)
    out = std::min(out, job.LookAt);
  if (out == TimePoint::max())
    return std::nullopt;
  return out;
}

std::vector<FetchNews> FetchFlow::takeNews() { return std::exchange(News, {}); }

void FetchFlow::record(Step &step, EventKind kind, const FetchWish &wish,
                       std::array<int64_t, Event::MaxScores> scores) const {
  Event event;
  event.Kind = kind;
  event.Request = wish.Id;
  event.Try = wish.Try;
  event.Scores = scores;
  event.Subject = wish.Organisation;
  step.Out.push_back(RecordEvent{std::move(event)});
}

} // namespace daisytack::serve
