/// Adapter to the platform's instance list over HTTP.
#pragma once

#include "edge/instance_list.h"
#include "net/http_client.h"

namespace daisytack::edge {

/// Hooks over the client, which must outlive them.
InstanceList makeHttpInstanceList(net::HttpClient &client, Endpoint endpoint);

} // namespace daisytack::edge
