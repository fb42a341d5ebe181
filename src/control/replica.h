/// A process's copy of data that the platform orders by one counter:
/// configuration by the key-value service's revision, instances by the version
/// of the instance list.
///
/// A replica is complete through its watermark: it has the latest state of
/// every key that changed at or below it. It merges by the highest revision per
/// key, so an older image never replaces a newer one, independent of its
/// sender.
#pragma once

#include "daisytack/types.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisytack::control {

/// The state of one key at one revision.
struct ReplicaEntry {
  std::string Key;
  std::string Value;
  uint64_t Revision = 0;
  bool Deleted = false; ///< A tombstone; Value may name the operator.
  auto operator<=>(const ReplicaEntry &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Key, Value, Revision, Deleted);
  }
};

/// All entries whose latest change is after From, complete through Through. A
/// delta with From 0 is an image: it contains every existing key, and keys that
/// are not in it were deleted.
struct ReplicaDelta {
  uint64_t From = 0;
  uint64_t Through = 0;
  std::vector<ReplicaEntry> Entries; ///< Ordered by revision.
  bool operator==(const ReplicaDelta &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(From, Through, Entries);
  }
};

/// Merges deltas and creates them for peers. Not thread-safe; its owner
/// serialises access.
class Replica {
public:
  /// Keeps the newest maxTombstones tombstones, so that deletions are part of
  /// deltas. Older ones are dropped, and peers that need them receive an image.
  explicit Replica(size_t maxTombstones);

  /// Result of a merge.
  struct MergeResult {
    std::vector<std::string> Changed; ///< Keys whose state changed.
    bool Gap = false; ///< The delta starts above the watermark: its entries
                      ///< were merged, but the watermark is unchanged, and the
                      ///< changes in between must be fetched.
  };
  MergeResult merge(const ReplicaDelta &delta);

  /// The replica is complete through this revision; 0 before the first image.
  uint64_t watermark() const { return Watermark; }
  /// Revision of the latest change at or below the watermark. Replicas where it
  /// is equal differ at most in their watermarks.
  uint64_t lastChange() const { return lastChangeAt(Watermark); }
  /// All changes after the revision, or an image if tombstones after it were
  /// dropped. From is the lowest revision that gives the same entries.
  ReplicaDelta deltaAfter(uint64_t revision) const;
  /// The entry or tombstone of the key, or null if there is none. The pointer
  /// is valid until the next merge.
  const ReplicaEntry *find(std::string_view key) const;
  /// Number of existing keys, without tombstones.
  size_t size() const { return Entries.size() - Tombstones.size(); }
  const std::map<std::string, ReplicaEntry, std::less<>> &entries() const {
    return Entries;
  }

private:
  using RevisionKey = std::pair<uint64_t, std::string_view>;

  uint64_t lastChangeAt(uint64_t revision) const;
  bool mergeEntry(const ReplicaEntry &entry);
  void dropAbsent(const ReplicaDelta &image, std::vector<std::string> &changed);
  void erase(std::string_view key);
  void trimTombstones();

  size_t MaxTombstones;
  uint64_t Watermark = 0;
  uint64_t DroppedThrough = 0; ///< Highest revision of a dropped tombstone.
  std::map<std::string, ReplicaEntry, std::less<>> Entries;
  std::set<RevisionKey> ByRevision; ///< Views of the keys in Entries.
  std::set<RevisionKey> Tombstones; ///< The subset that is deleted.
};

} // namespace daisytack::control
