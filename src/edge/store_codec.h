/// HTTP and JSON of the stores' protocol. Pure.
#pragma once

#include "net/http_server.h"
#include "serve/agent_messages.h"

namespace daisytack::edge {

net::HttpRequest storeRequest(const serve::StoreRequest &request);

/// Reads the answer to the request; an answer that does not fit it becomes an
/// Error: NotFound, RecordFull when the store is full, ServerFailed or
/// ProtocolError.
serve::StoreResult storeResult(const serve::StoreRequest &request,
                               net::HttpResponse response);

} // namespace daisytack::edge
