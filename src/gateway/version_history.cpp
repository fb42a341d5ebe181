#include "gateway/version_history.h"

#include "base/clock.h"
#include "direct/revision.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace daisytack::gateway {

namespace {

constexpr Duration ReadTimeout{1'500'000};

/// Whether the changes include every revision after `from`, up to `to`. A
/// service that reports only the latest change of each key leaves some out.
bool areComplete(const std::vector<edge::KvChange> &changes, uint64_t from,
                 uint64_t to) {
  std::set<uint64_t> revisions;
  for (const edge::KvChange &it : changes)
    if (it.Entry.ModRevision > from && it.Entry.ModRevision <= to)
      revisions.insert(it.Entry.ModRevision);
  return revisions.size() == to - from;
}

/// What is known before the first change of a service that still has its whole
/// history: no entry had begun a stream.
direct::SoftwareVersionsRecord emptyRecord(uint64_t era, Duration maxAge) {
  direct::SoftwareVersionsRecord out;
  out.Revision = direct::monotonicRevision(era, direct::EmptyRevisionCount);
  out.HistoryMs = maxAge.count() / 1000;
  return out;
}

} // namespace

VersionHistory::VersionHistory(GatewayState &state, Strand strand,
                               edge::KvStore store,
                               std::shared_ptr<HolderRecord> record,
                               VersionHistorySettings settings)
    : State(state), Executor(std::move(strand)), Store(std::move(store)),
      Record(std::move(record)), Settings(settings) {}

void VersionHistory::stop() {
  if (StopReading && *StopReading)
    std::exchange(*StopReading, nullptr)();
}

void VersionHistory::onSnapshot(const edge::KvRangeResult &snapshot) {
  stop();
  const std::string &key = State.WireProtocol.SoftwareVersionsKey;
  auto entry = std::find_if(snapshot.Entries.begin(), snapshot.Entries.end(),
                            [&](const auto &it) { return it.Key == key; });
  uint64_t revision = snapshot.Header.Revision;
  uint64_t era = direct::eraOf(revision);
  std::optional<direct::SoftwareVersionsRecord> record;
  if (entry != snapshot.Entries.end())
    record = State.WireProtocol.DecodeSoftwareVersions(entry->Value);
  else if (era <= direct::FirstEra)
    record = emptyRecord(era, State.Options.StreamMaxAge);
  bool isUsable = record && record->Revision <= revision &&
                  direct::eraOf(record->Revision) == era &&
                  revision - record->Revision <= Settings.MaxChanges;
  if (!isUsable) {
    State.Log.write(LogPriority::Notable, "software_versions_read",
                    {{"revision", record ? record->Revision : 0},
                     {"changes", 0},
                     {"history_ms", record ? record->HistoryMs : 0},
                     {"complete", false}},
                    monotonicNow());
    return;
  }
  auto stop = std::make_shared<edge::KvCancel>();
  edge::KvWatchHooks hooks;
  hooks.Changed = [self = shared_from_this(), stop, record = *record, revision,
                   history = State.Software.historyCount()](
                      const edge::KvHeader &,
                      std::vector<edge::KvChange> changes) {
    boost::asio::dispatch(
        self->Executor,
        [self, stop, record, revision, history, changes = std::move(changes)] {
          if (!*stop)
            return;
          std::exchange(*stop, nullptr)();
          self->onChanges(record, revision, history, changes);
        });
  };
  hooks.Ended = [](const edge::KvHeader &, uint64_t) {};
  // The record itself, or whatever was written first, came after its revision,
  // so that there is a change and the service answers at once.
  *stop = Store.Watch("", edge::prefixEnd(""), record->Revision + 1,
                      std::move(hooks));
  StopReading = std::move(stop);
}

void VersionHistory::onChanges(const direct::SoftwareVersionsRecord &record,
                               uint64_t snapshotRevision, uint64_t history,
                               const std::vector<edge::KvChange> &changes) {
  TimePoint now = monotonicNow();
  bool isComplete = areComplete(changes, record.Revision, snapshotRevision);
  State.Log.write(LogPriority::Notable, "software_versions_read",
                  {{"revision", record.Revision},
                   {"changes", changes.size()},
                   {"history_ms", record.HistoryMs},
                   {"complete", isComplete}},
                  now);
  if (!isComplete)
    return;
  for (const edge::KvChange &it : changes) {
    if (it.Deleted || State.WireProtocol.SubjectOf(it.Entry.Key).Kind !=
                          direct::RecordKind::Server)
      continue;
    Error reason;
    auto value = State.WireProtocol.DecodeRecord(
        {it.Entry.Key, it.Entry.Value, it.Entry.ModRevision, false}, reason);
    if (const auto *server =
            value ? std::get_if<direct::BackendServer>(&*value) : nullptr)
      State.Software.onShortLived(*server, now);
  }
  State.Software.inherit(record, history, now);
}

void VersionHistory::onTimer(TimePoint now) {
  if (!Record->mayWrite(now))
    return;
  direct::SoftwareVersionsRecord record = State.Software.record(now);
  bool isUseful =
      std::chrono::milliseconds(record.HistoryMs) >= State.Options.StreamMaxAge;
  if (!isUseful)
    return;
  record.Revision = State.SyncedRevision;
  Record->write(State.WireProtocol.EncodeSoftwareVersions(record),
                State.VersionsRecordRevision, now,
                [self = shared_from_this()](const edge::KvHeader &header) {
                  if (header.Status == edge::KvStatus::CompareFailed)
                    self->readRevision();
                });
}

void VersionHistory::readRevision() {
  const std::string &key = State.WireProtocol.SoftwareVersionsKey;
  Store.Range(
      {key, edge::prefixEnd(key), 0, 0}, ReadTimeout,
      [self = shared_from_this(), key](const edge::KvRangeResult &result) {
        if (result.Header.Status != edge::KvStatus::Ok)
          return;
        auto it = std::find_if(
            result.Entries.begin(), result.Entries.end(),
            [&](const edge::KvEntry &entry) { return entry.Key == key; });
        self->State.VersionsRecordRevision =
            it == result.Entries.end() ? 0 : it->ModRevision;
      });
}

} // namespace daisytack::gateway
