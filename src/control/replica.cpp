#include "control/replica.h"

#include <algorithm>
#include <iterator>

namespace daisytack::control {

Replica::Replica(size_t maxTombstones) : MaxTombstones(maxTombstones) {}

Replica::MergeResult Replica::merge(const ReplicaDelta &delta) {
  MergeResult out;
  for (const ReplicaEntry &entry : delta.Entries)
    if (mergeEntry(entry))
      out.Changed.push_back(entry.Key);
  if (delta.From > Watermark) {
    out.Gap = true;
    return out;
  }
  if (delta.From == 0 && delta.Through >= Watermark)
    dropAbsent(delta, out.Changed);
  Watermark = std::max(Watermark, delta.Through);
  trimTombstones();
  return out;
}

bool Replica::mergeEntry(const ReplicaEntry &entry) {
  auto it = Entries.find(entry.Key);
  if (it == Entries.end()) {
    // The replica is complete through the watermark, so a missing key at or
    // below it was deleted and its tombstone dropped.
    if (entry.Revision <= Watermark)
      return false;
  } else {
    if (entry.Revision <= it->second.Revision)
      return false;
    erase(entry.Key);
  }
  it = Entries.emplace(entry.Key, entry).first;
  RevisionKey key(entry.Revision, it->first);
  ByRevision.insert(key);
  if (entry.Deleted)
    Tombstones.insert(key);
  return true;
}

void Replica::dropAbsent(const ReplicaDelta &image,
                         std::vector<std::string> &changed) {
  std::set<std::string_view> present;
  for (const ReplicaEntry &entry : image.Entries)
    present.insert(entry.Key);
  std::vector<std::string> absent;
  for (const RevisionKey &key : ByRevision)
    if (key.first <= image.Through && !present.contains(key.second))
      absent.emplace_back(key.second);
  for (std::string &key : absent) {
    const ReplicaEntry &entry = Entries.find(key)->second;
    DroppedThrough = std::max(DroppedThrough, image.Through);
    bool existed = !entry.Deleted;
    erase(key);
    if (existed)
      changed.push_back(std::move(key));
  }
}

void Replica::erase(std::string_view key) {
  auto it = Entries.find(key);
  RevisionKey position(it->second.Revision, it->first);
  ByRevision.erase(position);
  Tombstones.erase(position);
  Entries.erase(it);
}

void Replica::trimTombstones() {
  while (Tombstones.size() > MaxTombstones) {
    RevisionKey oldest = *Tombstones.begin();
    // A tombstone above the watermark may still be needed to reject the key in
    // an older image.
    if (oldest.first > Watermark)
      return;
    DroppedThrough = std::max(DroppedThrough, oldest.first);
    erase(oldest.second);
  }
}

ReplicaDelta Replica::deltaAfter(uint64_t revision) const {
  ReplicaDelta out;
  out.From = revision < DroppedThrough ? 0 : lastChangeAt(revision);
  out.Through = Watermark;
  auto it = ByRevision.lower_bound({out.From + 1, std::string_view()});
  for (; it != ByRevision.end(); ++it)
    out.Entries.push_back(Entries.find(it->second)->second);
  return out;
}

uint64_t Replica::lastChangeAt(uint64_t revision) const {
  auto it = ByRevision.lower_bound({revision + 1, std::string_view()});
  uint64_t latest = it != ByRevision.begin() ? std::prev(it)->first : 0;
  return DroppedThrough <= revision ? std::max(latest, DroppedThrough) : latest;
}

const ReplicaEntry *Replica::find(std::string_view key) const {
  auto it = Entries.find(key);
  return it != Entries.end() ? &it->second : nullptr;
}

} // namespace daisytack::control
