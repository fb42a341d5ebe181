/// Interactive prompt: runs statements until the end of input. On a terminal,
/// lines can be edited and the arrow keys recall earlier ones.
#pragma once

#include "client_options.h"
#include "connection.h"

namespace daisytack::client {

/// Returns the exit code of the last statement.
ExitCode runPrompt(const Options &options, Connection &connection);

} // namespace daisytack::client
