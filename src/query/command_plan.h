/// Turns a parsed command into changes of configuration objects.
#pragma once

#include "control/command.h"
#include "control/snapshot.h"
#include "query/command_ast.h"

namespace daisytack::query {

/// Who gives a command, and when.
struct CommandContext {
  std::string Operator;
  WallTime Now;
  RandomSource Random; ///< For command ids.
};

/// The changes, to be proposed one after the other; nothing with the reason set
/// when the snapshot shows that the command can't be done. StopRequests has
/// none.
std::optional<std::vector<control::Command>>
planCommand(const OperatorCommand &command, const Snapshot &snapshot,
            const CommandContext &context, Error &reason);

} // namespace daisytack::query
