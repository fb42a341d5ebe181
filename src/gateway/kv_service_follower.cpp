#include "gateway/kv_service_follower.h"

#include "base/clock.h"
#include "base/duration.h"
#include "direct/revision.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <string_view>
#include <utility>

namespace daisytack::gateway {

namespace {

constexpr uint32_t MaxBackoffDoublings = 8;

direct::StoreRecord toStoreRecord(const edge::KvEntry &entry, bool isDeleted) {
  return {entry.Key, entry.Value, entry.ModRevision, isDeleted};
}

} // namespace

KvServiceFollower::KvServiceFollower(GatewayState &state, Strand strand,
                                     edge::KvStore store,
                                     KvServiceFollowerSettings settings,
                                     RandomSource random,
                                     std::function<void()> onCatalogChanged)
    : State(state), Executor(std::move(strand)), Store(std::move(store)),
      Settings(settings), Random(std::move(random)),
      OnCatalogChanged(std::move(onCatalogChanged)), Timer(Executor) {}

void KvServiceFollower::start() {
  State.Stats.ServiceWatched.set(1);
  boost::asio::post(Executor,
                    [self = shared_from_this()] { self->readSnapshot(); });
}

void KvServiceFollower::stop() {
  boost::asio::dispatch(Executor, [self = shared_from_this()] {
    self->IsStopped = true;
    ++self->Epoch;
    self->Timer.cancel();
    self->stopReadingChanges();
    if (self->StopWatch)
      std::exchange(self->StopWatch, nullptr)();
  });
}

void KvServiceFollower::readSnapshot() {
  if (IsStopped)
    return;
  uint64_t epoch = ++Epoch;
  ++Snapshots;
  // Reads and watches all keys: the configuration, the servers, the weights and
  // the entries have different prefixes, and a single watch costs fewer calls
  // than one for each prefix.
  Store.Range({"", edge::prefixEnd(""), 0, 0}, Settings.CallTimeout,
              [self = shared_from_this(), epoch,
               askedAt = monotonicNow()](edge::KvRangeResult result) {
                boost::asio::dispatch(
                    self->Executor,
                    [self, epoch, askedAt, result = std::move(result)] {
                      if (epoch == self->Epoch)
                        self->onSnapshot(result, askedAt);
                    });
              });
}

void KvServiceFollower::onTimer(TimePoint now) {
  // Every answer of the service names its era, which each restore increments,
  // even while this entry gets the records from readers.
  bool isOldEra =
      Store.LatestEra &&
      Store.LatestEra() > direct::eraOf(State.SyncedRevision.load());
  if (isOldEra || State.Catalog.needsReread(now))
    resync();
}

void KvServiceFollower::resync() {
  if (!std::exchange(HasSnapshot, false))
    return;
  if (StopWatch)
    std::exchange(StopWatch, nullptr)();
  IsWatchPaused = false;
  State.Stats.ServiceWatched.set(1);
  readSnapshot();
}

void KvServiceFollower::onSnapshot(const edge::KvRangeResult &result,
                                   TimePoint askedAt) {
  if (result.Header.Status != edge::KvStatus::Ok)
    return onServiceFailed(result.Header.Reason);
  std::vector<direct::StoreRecord> records;
  records.reserve(result.Entries.size());
  for (const edge::KvEntry &entry : result.Entries)
    records.push_back(toStoreRecord(entry, false));
  TimePoint now = monotonicNow();
  logRestore(result.Header, now);
  onServiceAnswered(result.Header.Revision, now);
  State.Catalog.applyAll(records, result.Header.Revision, now);
  State.Software.onMissedChanges();
  HasSnapshot = true;
  State.advanceSyncedRevision(result.Header.Revision);
  OnCatalogChanged();
  State.advanceSyncTime(askedAt);
  State.HasReadAll = true;
  State.VersionsRecordRevision = 0;
  noteVersionsRecord(records);
  if (OnSnapshotRead)
    OnSnapshotRead(result);
  watch();
}

void KvServiceFollower::watch() {
  uint64_t epoch = ++Epoch;
  auto on = [self = shared_from_this(), epoch](auto step) {
    boost::asio::dispatch(self->Executor,
                          [self, epoch, step = std::move(step)] {
                            if (epoch == self->Epoch)
                              step(*self);
                          });
  };
  edge::KvWatchHooks hooks;
  // A watch sends a call only after the answer to the call before it, so that
  // the arrival of that answer is a time before the service can have answered
  // the new call. The time at which an answer is handled is no such bound, as
  // the process may have been paused before.
  auto askedAfter = std::make_shared<std::atomic<int64_t>>(
      monotonicNow().time_since_epoch().count());
  hooks.Changed = [on, askedAfter](const edge::KvHeader &header,
                                   std::vector<edge::KvChange> changes) {
    TimePoint askedAt{Duration(
        askedAfter->exchange(monotonicNow().time_since_epoch().count()))};
    on([header, changes = std::move(changes),
        askedAt](KvServiceFollower &self) {
      self.onChanged(header, changes, askedAt);
    });
  };
  hooks.Ended = [on](const edge::KvHeader &header, uint64_t compactRevision) {
    on([header, compactRevision](KvServiceFollower &self) {
      self.onEnded(header, compactRevision);
    });
  };
  StopWatch = Store.Watch("", edge::prefixEnd(""), State.SyncedRevision + 1,
                          std::move(hooks));
}

void KvServiceFollower::onChanged(const edge::KvHeader &header,
                                  const std::vector<edge::KvChange> &changes,
                                  TimePoint askedAfter) {
  std::vector<direct::StoreRecord> records;
  records.reserve(changes.size());
  for (const edge::KvChange &change : changes)
    records.push_back(toStoreRecord(change.Entry, change.Deleted));
  TimePoint now = monotonicNow();
  onServiceAnswered(header.Revision, now);
  if (!records.empty()) {
    noteVersionsRecord(records);
    apply(records, now);
    OnCatalogChanged();
  }
  HistoryLosses = 0;
  State.advanceSyncedRevision(header.Revision);
  State.advanceSyncTime(askedAfter);
}

void KvServiceFollower::onEnded(const edge::KvHeader &header,
                                uint64_t compactRevision) {
  StopWatch = nullptr;
  // Lost history is no failure of the service; a new snapshot replaces it.
  if (compactRevision > 0) {
    State.Log.write(LogPriority::Notable, "service_history_lost",
                    {{"complete_to", State.SyncedRevision.load()}},
                    monotonicNow());
    HasSnapshot = false;
    if (++HistoryLosses == 1)
      return readSnapshot();
    // A new snapshot did not help, so back off before the next call.
    Failures = HistoryLosses;
    return retryLater();
  }
  onServiceFailed(header.Reason);
}

void KvServiceFollower::logRestore(const edge::KvHeader &header,
                                   TimePoint now) {
  uint64_t before = direct::eraOf(State.SyncedRevision);
  State.Stats.ServiceEra.set(static_cast<int64_t>(header.Era));
  if (!HasBeenReachable || header.Era <= before)
    return;
  State.Log.write(LogPriority::Notable, "service_restored",
                  {{"era", header.Era},
                   {"era_before", before},
                   {"revision", header.Revision},
                   {"complete_to", State.SyncedRevision.load()}},
                  now);
}

void KvServiceFollower::onServiceAnswered(uint64_t revision, TimePoint now) {
  int64_t nowUs = now.time_since_epoch().count();
  Duration unanswered(nowUs - State.ConfirmedAt.exchange(nowUs));
  Failures = 0;
  State.Catalog.onStoreAnswered(revision, now);
  if (std::exchange(IsReachable, true))
    return;
  State.Stats.ServiceReachable.set(1);
  DecisionLog::Fields fields{{"revision", State.Catalog.revision()}};
  if (HasBeenReachable)
    fields["unanswered_ms"] = millisecondsOf(unanswered);
  State.Log.write(LogPriority::Notable,
                  HasBeenReachable ? "service_regained" : "service_reached",
                  std::move(fields), now);
  HasBeenReachable = true;
}

void KvServiceFollower::onServiceFailed(const Error &reason) {
  ++Failures;
  TimePoint now = monotonicNow();
  if (std::exchange(IsReachable, false)) {
    State.Stats.ServiceReachable.set(0);
    State.Catalog.onStoreLost();
    State.Log.write(LogPriority::Notable, "service_lost",
                    {{"reason", reason.Detail},
                     {"complete_to", State.SyncedRevision.load()}},
                    now);
  }
  retryLater();
}

void KvServiceFollower::retryLater() {
  uint32_t doublings = std::min(Failures, MaxBackoffDoublings);
  Duration maxPause = std::min<Duration>(
      Settings.MinRetryPause * (1LL << doublings), Settings.MaxRetryPause);
  auto jitter = static_cast<int64_t>(
      Random() %
      static_cast<uint64_t>(std::max<int64_t>(maxPause.count() / 2, 1)));
  Timer.expires_after(maxPause / 2 + Duration(jitter));
  Timer.async_wait([weak = weak_from_this()](auto ec) {
    auto self = weak.lock();
    if (!self || ec || self->IsStopped)
      return;
    if (self->HasSnapshot)
      self->watch();
    else
      self->readSnapshot();
  });
}

void KvServiceFollower::setWatching(bool isWatching) {
  if (isWatching == !IsWatchPaused || IsStopped)
    return;
  if (isWatching) {
    IsWatchPaused = false;
    State.Stats.ServiceWatched.set(1);
    State.Log.write(LogPriority::Notable, "service_watched",
                    {{"complete_to", State.SyncedRevision.load()}},
                    monotonicNow());
    return watch();
  }
  if (!IsReachable || !StopWatch)
    return;
  IsWatchPaused = true;
  State.Stats.ServiceWatched.set(0);
  ++Epoch;
  std::exchange(StopWatch, nullptr)();
  State.Log.write(LogPriority::Notable, "service_left_to_readers",
                  {{"complete_to", State.SyncedRevision.load()}},
                  monotonicNow());
}

void KvServiceFollower::merge(const std::vector<direct::StoreRecord> &records) {
  apply(records, monotonicNow());
  OnCatalogChanged();
}

void KvServiceFollower::noteVersionsRecord(
    const std::vector<direct::StoreRecord> &records) {
  for (const direct::StoreRecord &it : records)
    if (it.Key == State.WireProtocol.SoftwareVersionsKey)
      State.VersionsRecordRevision = it.IsDeleted ? 0 : it.Revision;
}

void KvServiceFollower::apply(const std::vector<direct::StoreRecord> &records,
                              TimePoint now) {
  std::map<std::string_view, const direct::StoreRecord *> latest;
  for (const direct::StoreRecord &record : records) {
    if (State.WireProtocol.SubjectOf(record.Key).Kind !=
        direct::RecordKind::Server)
      continue;
    auto it = latest.find(record.Key);
    uint64_t known = State.Catalog.revisionOf(record.Key);
    bool isListed = State.Catalog.valueAt(record.Key, known) != nullptr;
    if (it != latest.end() && !it->second->IsDeleted) {
      Error reason;
      auto value = State.WireProtocol.DecodeRecord(*it->second, reason);
      if (const auto *server =
              value ? std::get_if<direct::BackendServer>(&*value) : nullptr)
        State.Software.onShortLived(*server, now);
    } else if (record.IsDeleted && record.Revision > known && !isListed) {
      State.Software.onMissedChanges();
    }
    latest[record.Key] = &record;
  }
  State.Catalog.apply(records, now);
}

void KvServiceFollower::confirm(std::function<void()> done) {
  if (IsStopped || !HasSnapshot)
    return;
  State.Stats.ServiceConfirmations.add();
  // Any answer names the service's revision; this one is small.
  std::string key = State.WireProtocol.EntryKey(State.Options.Name);
  Store.Range({key, edge::prefixEnd(key), 0, 0}, Settings.ConfirmTimeout,
              [self = shared_from_this(), askedAt = monotonicNow(),
               done = std::move(done)](const edge::KvRangeResult &result) {
                boost::asio::dispatch(self->Executor, [self, askedAt, done,
                                                       header = result.Header] {
                  self->onRevision(header, askedAt, done);
                });
              });
}

void KvServiceFollower::onRevision(const edge::KvHeader &header,
                                   TimePoint askedAt,
                                   const std::function<void()> &done) {
  bool isUsable = header.Status == edge::KvStatus::Ok && HasSnapshot &&
                  direct::eraOf(header.Revision) ==
                      direct::eraOf(State.SyncedRevision.load());
  if (!isUsable || IsStopped)
    return;
  if (header.Revision > State.SyncedRevision.load())
    return readChanges(done);
  State.advanceSyncTime(askedAt);
  done();
}

void KvServiceFollower::readChanges(std::function<void()> done) {
  stopReadingChanges();
  auto stop = std::make_shared<edge::KvCancel>();
  edge::KvWatchHooks hooks;
  hooks.Changed = [self = shared_from_this(), stop, snapshots = Snapshots,
                   askedAt = monotonicNow(), done = std::move(done)](
                      const edge::KvHeader &header,
                      std::vector<edge::KvChange> changes) {
    boost::asio::dispatch(self->Executor,
                          [self, stop, snapshots, askedAt, done, header,
                           changes = std::move(changes)] {
                            // The first answer has all changes, so that no
                            // second one is needed.
                            if (!*stop)
                              return;
                            std::exchange(*stop, nullptr)();
                            if (snapshots != self->Snapshots || self->IsStopped)
                              return;
                            self->onChanged(header, changes, askedAt);
                            done();
                          });
  };
  // The entry's lasting watch handles failures, and the next call tries again.
  hooks.Ended = [](const edge::KvHeader &, uint64_t) {};
  *stop = Store.Watch("", edge::prefixEnd(""), State.SyncedRevision + 1,
                      std::move(hooks));
  StopReadingChanges = std::move(stop);
}

void KvServiceFollower::stopReadingChanges() {
  if (StopReadingChanges && *StopReadingChanges)
    std::exchange(*StopReadingChanges, nullptr)();
}

} // namespace daisytack::gateway
