#include "gateway/store_follower.h"

#include "base/clock.h"
#include "direct/revision.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <atomic>
#include <utility>

namespace daisytack::gateway {

namespace {

constexpr uint32_t MostDoublings = 8;

direct::StoreRecord recordOf(const edge::KvEntry &entry, bool isDeleted) {
  return {entry.Key, entry.Value, entry.ModRevision, isDeleted};
}

} // namespace

StoreFollower::StoreFollower(GatewayState &state, Strand strand,
                             edge::KvStore store,
                             StoreFollowerSettings settings,
                             RandomSource random, std::function<void()> changed)
    : State(state), On(std::move(strand)), Store(std::move(store)),
      Settings(settings), Random(std::move(random)),
      Changed(std::move(changed)), Timer(On) {}

void StoreFollower::start() {
  State.Counts.StoreWatched.set(1);
  boost::asio::post(On, [self = shared_from_this()] { self->readAll(); });
}

void StoreFollower::stop() {
  boost::asio::dispatch(On, [self = shared_from_this()] {
    self->IsStopped = true;
    ++self->Epoch;
    self->Timer.cancel();
    if (self->StopWatch)
      std::exchange(self->StopWatch, nullptr)();
  });
}

void StoreFollower::readAll() {
  if (IsStopped)
    return;
  uint64_t epoch = ++Epoch;
  // Every key: the configuration, the servers, the weights and the entries lie
  // under several prefixes, and one watch costs one call.
  Store.Range({"", edge::prefixEnd(""), 0, 0}, Settings.CallTimeout,
              [self = shared_from_this(), epoch,
               askedAt = monotonicNow()](edge::KvRangeResult result) {
                boost::asio::dispatch(self->On, [self, epoch, askedAt,
                                                 result = std::move(result)] {
                  if (epoch == self->Epoch)
                    self->onAll(result, askedAt);
                });
              });
}

void StoreFollower::onTimer(TimePoint now) {
  // Any call's answer tells the era, also while others tell what it holds.
  bool isBehind = Store.LatestEra &&
                  Store.LatestEra() > direct::eraOf(State.CompleteTo.load());
  if (isBehind || State.Catalog.needsReread(now))
    readAnew();
}

void StoreFollower::readAnew() {
  if (!std::exchange(HasAll, false))
    return;
  if (StopWatch)
    std::exchange(StopWatch, nullptr)();
  IsResting = false;
  State.Counts.StoreWatched.set(1);
  readAll();
}

void StoreFollower::onAll(const edge::KvRangeResult &result,
                          TimePoint askedAt) {
  if (result.Header.Status != edge::KvStatus::Ok)
    return fail(result.Header.Reason);
  std::vector<direct::StoreRecord> records;
  records.reserve(result.Entries.size());
  for (const edge::KvEntry &entry : result.Entries)
    records.push_back(recordOf(entry, false));
  TimePoint now = monotonicNow();
  noteEra(result.Header, now);
  confirm(now);
  State.Catalog.applyAll(records, result.Header.Revision, now);
  HasAll = true;
  State.completeTo(result.Header.Revision);
  Changed();
  State.knowAllUpTo(askedAt);
  State.HasReadAll = true;
  watch();
}

void StoreFollower::watch() {
  uint64_t epoch = ++Epoch;
  auto on = [self = shared_from_this(), epoch](auto step) {
    boost::asio::dispatch(self->On, [self, epoch, step = std::move(step)] {
      if (epoch == self->Epoch)
        step(*self);
    });
  };
  edge::KvWatchHooks hooks;
  // A call is sent only after the answer to the one before has come, so that
  // this is a moment before the service can have answered it. The time at which
  // an answer is handled is none: a process may stand still before it.
  auto askedAfter = std::make_shared<std::atomic<int64_t>>(
      monotonicNow().time_since_epoch().count());
  hooks.Changed = [on, askedAfter](const edge::KvHeader &header,
                                   std::vector<edge::KvChange> changes) {
    TimePoint asked{Duration(
        askedAfter->exchange(monotonicNow().time_since_epoch().count()))};
    on([header, changes = std::move(changes), asked](StoreFollower &self) {
      self.onChanged(header, changes, asked);
    });
  };
  hooks.Ended = [on](const edge::KvHeader &header, uint64_t compactRevision) {
    on([header, compactRevision](StoreFollower &self) {
      self.onEnded(header, compactRevision);
    });
  };
  StopWatch = Store.Watch("", edge::prefixEnd(""), State.CompleteTo + 1,
                          std::move(hooks));
}

void StoreFollower::onChanged(const edge::KvHeader &header,
                              const std::vector<edge::KvChange> &changes,
                              TimePoint askedAfter) {
  std::vector<direct::StoreRecord> records;
  records.reserve(changes.size());
  for (const edge::KvChange &change : changes)
    records.push_back(recordOf(change.Entry, change.Deleted));
  TimePoint now = monotonicNow();
  confirm(now);
  if (!records.empty()) {
    State.Catalog.apply(records, now);
    Changed();
  }
  HistoryLosses = 0;
  State.completeTo(header.Revision);
  State.knowAllUpTo(askedAfter);
}

void StoreFollower::onEnded(const edge::KvHeader &header,
                            uint64_t compactRevision) {
  StopWatch = nullptr;
  // Lost history is no failure of the service: everything is read anew.
  if (compactRevision > 0) {
    State.Log.write(LogWeight::Notable, "service_history_lost",
                    {{"complete_to", State.CompleteTo.load()}}, monotonicNow());
    HasAll = false;
    if (++HistoryLosses == 1)
      return readAll();
    // Reading did not help: the service is not to be asked without a pause.
    Failures = HistoryLosses;
    return retryLater();
  }
  fail(header.Reason);
}

void StoreFollower::noteEra(const edge::KvHeader &header, TimePoint now) {
  uint64_t before = direct::eraOf(State.CompleteTo);
  State.Counts.StoreEra.set(static_cast<int64_t>(header.Era));
  if (!WasReachable || header.Era <= before)
    return;
  State.Log.write(LogWeight::Notable, "service_restored",
                  {{"era", header.Era},
                   {"era_before", before},
                   {"revision", header.Revision},
                   {"complete_to", State.CompleteTo.load()}},
                  now);
}

void StoreFollower::confirm(TimePoint now) {
  State.ConfirmedAt = now.time_since_epoch().count();
  Failures = 0;
  if (std::exchange(IsReachable, true))
    return;
  State.Counts.StoreReachable.set(1);
  State.Catalog.onStoreRecovered(now);
  State.Log.write(LogWeight::Notable,
                  WasReachable ? "service_regained" : "service_reached",
                  {{"revision", State.Catalog.revision()}}, now);
  WasReachable = true;
}

void StoreFollower::fail(const Error &reason) {
  ++Failures;
  TimePoint now = monotonicNow();
  if (std::exchange(IsReachable, false)) {
    State.Counts.StoreReachable.set(0);
    State.Catalog.onStoreLost();
    State.Log.write(
        LogWeight::Notable, "service_lost",
        {{"reason", reason.Detail}, {"complete_to", State.CompleteTo.load()}},
        now);
  }
  retryLater();
}

void StoreFollower::retryLater() {
  uint32_t doublings = std::min(Failures, MostDoublings);
  Duration most = std::min<Duration>(Settings.LeastPause * (1LL << doublings),
                                     Settings.LongestPause);
  auto jitter = static_cast<int64_t>(
      Random() % static_cast<uint64_t>(std::max<int64_t>(most.count() / 2, 1)));
  Timer.expires_after(most / 2 + Duration(jitter));
  Timer.async_wait([weak = weak_from_this()](auto ec) {
    auto self = weak.lock();
    if (!self || ec || self->IsStopped)
      return;
    if (self->HasAll)
      self->watch();
    else
      self->readAll();
  });
}

void StoreFollower::setWatching(bool isWatching) {
  if (isWatching == !IsResting || IsStopped)
    return;
  if (isWatching) {
    IsResting = false;
    State.Counts.StoreWatched.set(1);
    State.Log.write(LogWeight::Notable, "service_watched",
                    {{"complete_to", State.CompleteTo.load()}}, monotonicNow());
    return watch();
  }
  if (!IsReachable || !StopWatch)
    return;
  IsResting = true;
  State.Counts.StoreWatched.set(0);
  ++Epoch;
  std::exchange(StopWatch, nullptr)();
  State.Log.write(LogWeight::Notable, "service_left_to_readers",
                  {{"complete_to", State.CompleteTo.load()}}, monotonicNow());
}

void StoreFollower::merge(const std::vector<direct::StoreRecord> &records) {
  State.Catalog.apply(records, monotonicNow());
  Changed();
}

} // namespace daisytack::gateway
