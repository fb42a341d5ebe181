/// The timeline command: fetches events, and for HTML the metrics of the
/// processes, and prints them.
#pragma once

#include "client_options.h"
#include "connection.h"

namespace daisytack::client {

ExitCode runTimeline(const Options &options, Connection &connection,
                     WallTime now);

} // namespace daisytack::client
