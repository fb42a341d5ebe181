/// A process's copy of what the platform orders by one counter: configuration
/// by the key-value service's revision, instances by the list's version.
///
/// A replica is complete through its watermark: it holds the latest state of
/// every key that changed at or below it. It merges by highest revision per
/// key, so an older image never replaces a newer one, whoever brings it.
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
  bool Deleted = false; ///< A tombstone; Value may still say who deleted it.
  auto operator<=>(const ReplicaEntry &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Key, Value, Revision, Deleted);
  }
};

/// All entries whose latest change lies above From, complete through Through.
/// An image (From 0) lists every key that exists: those it leaves out are gone.
struct ReplicaDelta {
  uint64_t From = 0;
  uint64_t Through = 0;
  std::vector<ReplicaEntry> Entries; ///< In order of revision.
  bool operator==(const ReplicaDelta &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(From, Through, Entries);
  }
};

/// Not thread-safe; its owner serialises access.
class Replica {
public:
  /// The newest tombstones are kept, so that a deletion spreads as a delta;
  /// older ones are dropped and peers further behind receive an image.
  explicit Replica(size_t maxTombstones);

  /// What a merge did.
  struct MergeResult {
    std::vector<std::string> Changed; ///< Keys whose state is now another one.
    bool Gap = false; ///< The delta starts above the watermark: entries were
                      ///< merged, but the watermark stands, and what lies
                      ///< between must be fetched.
  };
  MergeResult merge(const ReplicaDelta &delta);

  /// Complete through this revision; 0 before the first image.
  uint64_t watermark() const { return Watermark; }
  /// Revision of the latest change at or below the watermark. Two replicas with
  /// the same content differ at most in how far they know it to be complete.
  uint64_t lastChange() const { return lastChangeAt(Watermark); }
  /// Everything after the revision, or an image when tombstones after it were
  /// already dropped. From is the lowest one that costs no further entry.
  ReplicaDelta deltaAfter(uint64_t revision) const;
  /// Nothing when the key was never seen. The pointer holds until the next
  /// merge.
  const ReplicaEntry *find(std::string_view key) const;
  /// Existing keys, tombstones left out.
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
  std::set<RevisionKey> ByRevision; ///< Views into the keys of Entries.
  std::set<RevisionKey> Tombstones; ///< The deleted ones among them.
};

} // namespace daisytack::control
