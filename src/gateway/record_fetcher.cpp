#include "gateway/record_fetcher.h"

#include "base/clock.h"
#include "base/duration.h"

#include <utility>

namespace daisytack::gateway {

namespace {

/// An entry that has lacked a record for longer logs it.
constexpr Duration LateAfter{1'000'000};

} // namespace

RecordFetcher::RecordFetcher(GatewayState &state,
                             direct::RecordFetchSettings settings,
                             RecordFetcherHooks hooks)
    : State(state), Hooks(std::move(hooks)),
      Fetch(settings, lookupIn(state.Catalog)) {}

bool RecordFetcher::onOffer(const direct::RecordOffer &offer,
                            const Endpoint &source, TimePoint now) {
  if (!Fetch.onOffer(offer, source, now))
    return false;
  onTimer(now);
  return true;
}

void RecordFetcher::onTimer(TimePoint now) {
  if (IsStopped)
    return;
  checkAge(now);
  std::optional<direct::RecordPartCall> call = Fetch.next(now);
  if (!call)
    return;
  Hooks.RequestPart(*call, [self = shared_from_this(), call = *call](
                               std::optional<direct::RecordPart> part) {
    self->onAnswer(call, std::move(part), monotonicNow());
  });
}

void RecordFetcher::onAnswer(const direct::RecordPartCall &call,
                             std::optional<direct::RecordPart> part,
                             TimePoint now) {
  if (!part) {
    Fetch.onFailure(now);
    logFailure(call, "no answer", now);
    return onTimer(now);
  }
  Error reason;
  std::optional<direct::FetchedRecord> fetched =
      Fetch.onPart(std::move(*part), now, reason);
  if (reason)
    logFailure(call, reason.Detail, now);
  if (fetched) {
    State.Log.write(LogPriority::Notable, "record_fetched",
                    {{"key", fetched->Record.Key},
                     {"revision", fetched->Record.Revision},
                     {"base_revision", fetched->BaseRevision},
                     {"source", toString(call.Source)},
                     {"bytes", fetched->Bytes},
                     {"value_bytes", fetched->Record.Value.size()},
                     {"took_ms", millisecondsOf(fetched->Took)}},
                    now);
    Hooks.OnRecord(fetched->Record, call.Source);
  }
  onTimer(now);
}

void RecordFetcher::logFailure(const direct::RecordPartCall &call,
                               std::string_view reason, TimePoint now) {
  State.Stats.RecordPartsFailed.add();
  State.Log.write(LogPriority::Notable, "record_part_failed",
                  {{"key", call.Request.Key},
                   {"revision", call.Request.Revision},
                   {"offset", call.Request.Offset},
                   {"source", toString(call.Source)},
                   {"reason", reason}},
                  now);
}

void RecordFetcher::checkAge(TimePoint now) {
  std::optional<TimePoint> since = Fetch.behindSince();
  bool isLate = since && now >= *since + LateAfter;
  State.Stats.RecordsBehindMs.set(since ? (now - *since).count() / 1000 : 0);
  if (isLate == std::exchange(IsLate, isLate))
    return;
  State.Log.write(LogPriority::Notable,
                  isLate ? "records_late" : "records_current",
                  {{"complete_to", State.SyncedRevision.load()}}, now);
}

} // namespace daisytack::gateway
