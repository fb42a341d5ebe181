/// Runs the state machine of a command against the key-value service.
#pragma once

#include "control/command_run.h"
#include "runtime/service_reader.h"

namespace daisytack::runtime {

using CommandDone = std::function<void(control::CommandResult)>;

/// Runs the command to its end. Calls done once, on the strand. Must be called
/// on the strand. Base is the object's state that is in force in this process,
/// if it has one.
void runCommand(const Strand &strand, const edge::KvStore &kv,
                control::Command command,
                std::optional<control::ReplicaEntry> base, Duration callTimeout,
                Duration commandTimeout, CommandDone done);

} // namespace daisytack::runtime
