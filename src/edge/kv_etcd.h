/// HTTP adapter to etcd's v3 JSON gateway.
#pragma once

#include "edge/kv.h"
#include "net/http_client.h"

#include <vector>

namespace daisytack::edge {

/// Returns hooks that use the client, which must outlive them. After a call
/// that got no complete response, the next call uses the next endpoint in turn.
KvStore makeEtcdStore(net::HttpClient &client, std::vector<Endpoint> endpoints);

} // namespace daisytack::edge
