/// Adapter to etcd's v3 JSON gateway over HTTP.
#pragma once

#include "edge/kv.h"
#include "net/http_client.h"

#include <vector>

namespace daisytack::edge {

/// Hooks over the client, which must outlive them. The endpoints are tried in
/// turn: a call that can't reach one makes the next call go to the next.
KvStore makeEtcdStore(net::HttpClient &client, std::vector<Endpoint> endpoints);

} // namespace daisytack::edge
