/// Error responses as application/problem+json, in the layout of RFC 9457.
#pragma once

#include "net/http_server.h"

namespace daisytack::net {

/// Body of an error response: type, title, status, kind, outcome, detail,
/// remedy and, if it is valid, the request id. Also used as the data of the
/// error event in a stream.
std::string problemJson(const Error &error, Outcome outcome,
                        const RequestId &id);

/// Complete error response. Has a Retry-After header, in seconds rounded up, if
/// the error has a retry delay.
HttpResponse problemResponse(const Error &error, Outcome outcome,
                             const RequestId &id);

} // namespace daisytack::net
