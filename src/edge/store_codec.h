/// Encoding and decoding of the stores' HTTP and JSON protocol. Pure functions.
#pragma once

#include "net/http_server.h"
#include "serve/agent_messages.h"

namespace daisytack::edge {

net::HttpRequest storeRequest(const serve::StoreRequest &request);

/// Decodes the response to a request. A response that does not match the
/// request becomes an Error: NotFound, RecordFull when the store is full,
/// ServerFailed or ProtocolError.
serve::StoreResult storeResult(const serve::StoreRequest &request,
                               net::HttpResponse response);

} // namespace daisytack::edge
