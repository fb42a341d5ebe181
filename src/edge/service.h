/// A plain service beside an agent, as hooks.
#pragma once

#include "edge/engine.h"

namespace daisytack::edge {

/// Asynchronous; answers through the sink that the adapter was made with, by
/// RunText and RunDone with the service's status, whatever it is, or RunFailed.
struct Service {
  std::function<void(serve::StartRun)> Start;
  std::function<void(const serve::RunToken &)> Cancel;
};

/// Calls over HTTP/1.1: one call owns its connection until its answer ended, so
/// an answer can't be another call's. The client must outlive the hooks.
Service makeHttpService(net::HttpClient &client, Endpoint address,
                        InputSink sink);

} // namespace daisytack::edge
