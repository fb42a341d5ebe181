/// Builds snapshots for request handling from replicated values. Each value is
/// decoded once; build() copies the decoded tables.
#pragma once

#include "control/object_codec.h"
#include "control/snapshot.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace daisytack::control {

/// Keeps the decoded objects and members between snapshots. Not thread-safe;
/// its owner serialises access.
class SnapshotBuilder {
public:
  /// Applies the value of a configuration key; an empty value or a tombstone
  /// removes the object. If the value can't be decoded, returns false, sets the
  /// reason and keeps the last valid object.
  bool applyConfig(std::string_view key, std::string_view json, Error &reason);
  /// Applies a member whose state is merged from the instance list and signals.
  /// Returns whether anything changed.
  bool applyMember(const Member &member);
  bool removeMember(const std::string &name);

  const std::map<std::string, Member> &members() const { return Members; }

  /// Builds a snapshot and calls finish() on it.
  std::shared_ptr<const Snapshot> build(uint64_t configRevision,
                                        uint64_t memberVersion) const;

private:
  static void applyOverride(const ServerOverride &setting, Snapshot &to);

  std::map<ObjectKey, ConfigObject> Objects;
  std::map<std::string, Member> Members;
};

} // namespace daisytack::control
