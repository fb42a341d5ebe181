/// Refusals to callers as application/problem+json (RFC 9457 layout).
#pragma once

#include "net/http_server.h"

namespace daisytack::net {

/// Body of a refusal: type, title, status, kind, outcome, detail, remedy and,
/// when it is valid, the request id. Also the data of a stream's error event.
std::string problemJson(const Error &error, Outcome outcome,
                        const RequestId &id);

/// The whole refusal, with Retry-After in seconds, rounded up, when the error
/// names a time.
HttpResponse problemResponse(const Error &error, Outcome outcome,
                             const RequestId &id);

} // namespace daisytack::net
