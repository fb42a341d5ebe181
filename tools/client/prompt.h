/// Interactive prompt: reads statements until the end of input. On a terminal,
/// lines can be edited and earlier ones come back with the arrow keys.
#pragma once

#include "client_options.h"
#include "connection.h"

namespace daisytack::client {

/// The exit code of the last statement.
ExitCode runPrompt(const Options &options, Connection &connection);

} // namespace daisytack::client
