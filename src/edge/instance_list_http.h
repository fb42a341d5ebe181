/// HTTP adapter to the platform's instance list.
#pragma once

#include "edge/instance_list.h"
#include "net/http_client.h"

namespace daisytack::edge {

/// Returns hooks that use the client, which must outlive them.
InstanceList makeHttpInstanceList(net::HttpClient &client, Endpoint endpoint);

} // namespace daisytack::edge
