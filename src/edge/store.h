/// The stores of kept context, as a set of hooks.
#pragma once

#include "edge/engine.h"

#include <vector>

namespace daisytack::edge {

/// Asynchronous. Every CallStore results in exactly one StoreAnswer through the
/// sink that the adapter was created with.
struct Stores {
  std::function<void(serve::CallStore)> Call;
  std::function<void(serve::CancelStoreCall)> Stop;
};

/// HTTP adapter to stores, see docs/PROTOCOL.md, "Store of kept context". The
/// client must outlive the hooks.
Stores makeHttpStores(net::HttpClient &client, std::vector<Endpoint> addresses,
                      InputSink sink);

} // namespace daisytack::edge
