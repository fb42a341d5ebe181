/// The plain service that an agent manages, as a set of hooks.
#pragma once

#include "edge/engine.h"

namespace daisytack::edge {

/// Asynchronous. Results arrive through the sink that the adapter was created
/// with: RunText and then RunDone with the service's status, whatever it is, or
/// RunFailed.
struct Service {
  std::function<void(serve::StartRun)> Start;
  std::function<void(const serve::RunToken &)> Cancel;
};

/// Adapter over HTTP/1.1. A call owns its connection until its response has
/// ended, so a response cannot be assigned to another call. The client must
/// outlive the hooks.
Service makeHttpService(net::HttpClient &client, Endpoint address,
                        InputSink sink);

} // namespace daisytack::edge
