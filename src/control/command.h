/// A change to one configuration object, written by compare-and-swap under a
/// unique command id, and the result of that write.
#pragma once

#include "control/object_codec.h"
#include "daisytack/error.h"

#include <functional>
#include <optional>
#include <string>

namespace daisytack::control {

/// Changes the object in place; resetting the optional deletes the object.
/// Returns false and sets the reason when the change must be refused.
using ObjectEdit =
    std::function<bool(std::optional<ConfigObject> &object, Error &reason)>;

/// A change requested by an operator.
struct Command {
  Id128 Id; ///< Random, unique per command.
  std::string Operator;
  ObjectKey Key;
  ObjectEdit Edit;
  /// Revision of the object on which the operator based the change; 0 when the
  /// object must not exist. Unset: the revision in force in this process.
  std::optional<uint64_t> ExpectedRevision;
};

enum class CommandOutcome : uint8_t {
  Applied,
  Unchanged,   ///< The object already had this value; nothing was written.
  Refused,     ///< The edit or validation failed; nothing was written.
  Conflict,    ///< Another change was written first; not applied.
  Unavailable, ///< The service can't be reached; not applied.
  Unknown,     ///< The service did not answer; it may still be applied.
};

/// Stable lower-case name, such as "applied".
std::string_view commandOutcomeName(CommandOutcome outcome);

/// Another writer's change to the same object: one that conflicted with the
/// command, or one that replaced its value afterwards.
struct OtherChange {
  CommandStamp Stamp; ///< The command id is invalid when no command wrote it.
  uint64_t Revision = 0;
  std::string Value; ///< JSON text; empty when the object was deleted.
  auto operator<=>(const OtherChange &) const = default;
};

struct CommandResult {
  CommandOutcome Outcome = CommandOutcome::Unknown;
  uint64_t Revision = 0; ///< When Applied; 0 if a later change replaced it.
  Error Reason;          ///< Cause and remedy unless Applied or Unchanged.
  /// With Conflict: the change that was written first. With Applied: a later
  /// change to the same object, if any.
  std::optional<OtherChange> Other;
};

} // namespace daisytack::control
