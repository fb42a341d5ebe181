/// Translates a parsed command into changes of configuration objects.
#pragma once

#include "control/command.h"
#include "control/snapshot.h"
#include "query/command_ast.h"

namespace daisytack::query {

/// Operator and time of a command.
struct CommandContext {
  std::string Operator; ///< Account name.
  WallTime Now;
  RandomSource Random; ///< Source of command identifiers.
};

/// Returns the changes of a command, to be proposed one after the other.
/// Returns nothing and sets the reason when the command isn't valid for the
/// snapshot, for instance because an object doesn't exist. StopRequests changes
/// no object and has an empty list.
std::optional<std::vector<control::Command>>
planCommand(const OperatorCommand &command, const Snapshot &snapshot,
            const CommandContext &context, Error &reason);

} // namespace daisytack::query
