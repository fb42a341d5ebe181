/// Turns replicated texts into the snapshot that the path of a request reads.
/// Decodes each text once; building copies tables.
#pragma once

#include "control/object_codec.h"
#include "control/snapshot.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace daisytack::control {

/// Not thread-safe; its owner serialises access.
class SnapshotBuilder {
public:
  /// Takes the text under a configuration key; an empty one or a tombstone
  /// removes the object. Sets the reason and returns false when the text can't
  /// be acted on: the last understood object then stays.
  bool applyConfig(std::string_view key, std::string_view json, Error &reason);
  /// Takes a member with its state merged from list and signals; returns
  /// whether that changes anything.
  bool applyMember(const Member &member);
  bool removeMember(const std::string &name);

  const std::map<std::string, Member> &members() const { return Members; }

  /// A finished snapshot.
  std::shared_ptr<const Snapshot> build(uint64_t configRevision,
                                        uint64_t memberVersion) const;

private:
  static void applyOverride(const ServerOverride &setting, Snapshot &to);

  std::map<ObjectKey, ConfigObject> Objects;
  std::map<std::string, Member> Members;
};

} // namespace daisytack::control
