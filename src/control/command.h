/// A change of one configuration object as a compare-and-swap with a unique
/// command id, and what came of it.
#pragma once

#include "control/object_codec.h"
#include "daisytack/error.h"

#include <functional>
#include <optional>
#include <string>

namespace daisytack::control {

/// Changes the object in place; resetting it deletes the object. Returns false
/// with the reason to refuse.
using ObjectEdit =
    std::function<bool(std::optional<ConfigObject> &object, Error &reason)>;

/// What an operator asked for.
struct Command {
  Id128 Id; ///< Drawn at random per command.
  std::string Operator;
  ObjectKey Key;
  ObjectEdit Edit;
  /// Revision of the object that the operator saw; without one, the one in
  /// force in this process. 0: the object must not exist.
  std::optional<uint64_t> ExpectedRevision;
};

enum class CommandOutcome : uint8_t {
  Applied,
  Unchanged,   ///< The object already was as asked for; nothing was written.
  Refused,     ///< The edit or validation refused; nothing was written.
  Conflict,    ///< Another change came first; this one was not applied.
  Unavailable, ///< The service can't be reached; this one was not applied.
  Unknown,     ///< The service went silent; it may yet be applied.
};

/// Stable lower-case name: "applied".
std::string_view commandOutcomeName(CommandOutcome outcome);

/// The change that came first, or on top.
struct OtherChange {
  CommandStamp Stamp; ///< Invalid command id: not written by a command.
  uint64_t Revision = 0;
  std::string Value; ///< JSON text; empty when the object was deleted.
  auto operator<=>(const OtherChange &) const = default;
};

struct CommandResult {
  CommandOutcome Outcome = CommandOutcome::Unknown;
  uint64_t Revision = 0; ///< When Applied; 0 when a later change hides it.
  Error Reason;          ///< Unless Applied or Unchanged: what and the remedy.
  /// Conflict: the change that came first. Applied: one that came on top.
  std::optional<OtherChange> Other;
};

} // namespace daisytack::control
