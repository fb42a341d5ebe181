/// The client's timeline command: gathers events, and metrics for the page.
#pragma once

#include "client_options.h"
#include "connection.h"

namespace daisytack::client {

ExitCode runTimeline(const Options &options, Connection &connection,
                     WallTime now);

} // namespace daisytack::client
