#include "control/control_state.h"

#include <algorithm>
#include <utility>

namespace daisytack::control {

namespace {

Event makeEvent(EventKind kind, ErrorKind why, std::string subject) {
  Event out;
  out.Kind = kind;
  out.Reason = why;
  out.Subject = std::move(subject);
  return out;
}

/// Whether the value of a key is a tombstone. The text search avoids decoding
/// most values.
bool isTombstone(const std::string &key, const std::string &value) {
  if (value.find("\"deleted\"") == std::string::npos)
    return false;
  Error reason;
  std::optional<ObjectKey> parsed = parseObjectKey(key, reason);
  std::optional<StoredObject> stored;
  if (parsed)
    stored = decodeStored(*parsed, value, reason);
  return stored && !stored->Object;
}

ReplicaEntry toReplicaEntry(edge::KvEntry entry) {
  bool deleted = isTombstone(entry.Key, entry.Value);
  return {std::move(entry.Key), std::move(entry.Value), entry.ModRevision,
          deleted};
}

void sortByRevision(std::vector<ReplicaEntry> &entries) {
  std::sort(entries.begin(), entries.end(),
            [](const ReplicaEntry &a, const ReplicaEntry &b) {
              return a.Revision < b.Revision;
            });
}

} // namespace

ControlState::ControlState(ControlStateInit init, EventSink events)
    : Events(std::move(events)), Config(init.MaxTombstones),
      Members(init.MaxTombstones),
      Signals(init.SignalLifetime, init.ObservationLifetime) {}

bool ControlState::mergeConfig(const ReplicaDelta &delta) {
  Replica::MergeResult result = Config.merge(delta);
  for (const std::string &key : result.Changed)
    applyConfig(key);
  return !result.Changed.empty();
}

bool ControlState::mergeMembers(const ReplicaDelta &delta) {
  Replica::MergeResult result = Members.merge(delta);
  for (const std::string &name : result.Changed)
    applyMember(name);
  return !result.Changed.empty();
}

bool ControlState::mergeSignal(const AgedSignal &signal, TimePoint now) {
  if (!Signals.merge(signal, now))
    return false;
  applyMember(signal.Message.Instance);
  return true;
}

void ControlState::observeLeaving(const std::string &instance, TimePoint now) {
  Signals.observeLeaving(instance, now);
  applyMember(instance);
}

bool ControlState::expire(TimePoint now) {
  std::vector<std::string> names = Signals.expire(now);
  for (const std::string &name : names)
    applyMember(name);
  return !names.empty();
}

bool ControlState::acceptService(const edge::KvHeader &header, uint64_t atLeast,
                                 Error &reason) {
  if (!acceptPeer(header.ClusterId, reason))
    return false;
  if (header.Revision >= atLeast)
    return true;
  reason = {ErrorKind::Conflict,
            "key-value service went back from revision " +
                std::to_string(atLeast) + " to " +
                std::to_string(header.Revision) +
                ": it was restored from an older copy; raise control.lineage "
                "and replace all processes to go on from that copy"};
  return false;
}

bool ControlState::acceptPeer(uint64_t clusterId, Error &reason) {
  if (Cluster == 0)
    Cluster = clusterId;
  if (clusterId == Cluster || clusterId == 0)
    return true;
  reason = {ErrorKind::Conflict,
            "configuration of key-value service " + std::to_string(clusterId) +
                ", this process follows " + std::to_string(Cluster) +
                ": raise control.lineage and replace all processes to move"};
  return false;
}

void ControlState::applyConfig(const std::string &key) {
  const ReplicaEntry *entry = Config.find(key);
  bool exists = entry && !entry->Deleted;
  Error reason;
  Dirty = true;
  if (Builder.applyConfig(key, exists ? entry->Value : std::string_view(),
                          reason)) {
    RejectedConfig.erase(key);
    Events(makeEvent(EventKind::ConfigApplied, ErrorKind::None, key));
    return;
  }
  RejectedConfig[key] = reason.Detail;
  Events(makeEvent(EventKind::ConfigApplied, reason.Kind, key));
}

void ControlState::applyMember(const std::string &name) {
  const ReplicaEntry *entry = Members.find(name);
  if (!entry || entry->Deleted) {
    Dirty |= Builder.removeMember(name);
    return;
  }
  Error reason;
  std::optional<ListedMember> listed = decodeInstance(entry->Value, reason);
  if (!listed)
    return;
  Member &member = listed->Instance;
  member.State = std::max(member.State, Signals.stateOf(name));
  if (!Builder.applyMember(member))
    return;
  Dirty = true;
  Events(makeEvent(EventKind::MemberChanged, ErrorKind::None, name));
}

std::shared_ptr<const Snapshot> ControlState::takeSnapshot() {
  bool advanced = Config.watermark() != TakenRevision ||
                  Members.watermark() != TakenVersion;
  if (!Dirty && !advanced)
    return nullptr;
  Dirty = false;
  TakenRevision = Config.watermark();
  TakenVersion = Members.watermark();
  return Builder.build(TakenRevision, TakenVersion);
}

ReplicaDelta toDelta(uint64_t from, uint64_t through,
                     std::vector<edge::KvEntry> entries) {
  ReplicaDelta out{from, through, {}};
  for (edge::KvEntry &entry : entries)
    out.Entries.push_back(toReplicaEntry(std::move(entry)));
  sortByRevision(out.Entries);
  return out;
}

ReplicaDelta toDelta(uint64_t from, uint64_t through,
                     const std::vector<edge::KvChange> &changes) {
  ReplicaDelta out{from, through, {}};
  for (const edge::KvChange &change : changes) {
    out.Entries.push_back(toReplicaEntry(change.Entry));
    out.Entries.back().Deleted |= change.Deleted;
  }
  return out;
}

ReplicaDelta toDelta(uint64_t since, const InstanceDelta &list) {
  ReplicaDelta out;
  out.From = since;
  out.Through = list.Version;
  for (const ListedMember &listed : list.Members)
    out.Entries.push_back({listed.Instance.Name, encodeInstance(listed),
                           listed.Changed,
                           listed.Instance.State == MemberState::Gone});
  sortByRevision(out.Entries);
  return out;
}

} // namespace daisytack::control
