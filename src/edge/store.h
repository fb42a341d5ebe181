/// The stores of kept context, as hooks.
#pragma once

#include "edge/engine.h"

#include <vector>

namespace daisytack::edge {

/// Asynchronous; every CallStore is answered by exactly one StoreAnswer through
/// the sink that the adapter was made with.
struct Stores {
  std::function<void(serve::CallStore)> Call;
  std::function<void(serve::CancelStoreCall)> Stop;
};

/// docs/PROTOCOL.md, "Store of kept context". The client must outlive the
/// hooks.
Stores makeHttpStores(net::HttpClient &client, std::vector<Endpoint> addresses,
                      InputSink sink);

} // namespace daisytack::edge
