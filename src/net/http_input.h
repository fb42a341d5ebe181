/// Checks and conversion of the requests that a server reads.
#pragma once

#include "net/http_server.h"
#include "net/http_socket.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace daisytack::net {

namespace http = boost::beast::http;

/// Whether the length of the message is unambiguous (RFC 9112, 6.3) and it has
/// exactly one Host header (3.2; optional in HTTP/1.0). Otherwise two
/// implementations could read different requests from the same bytes (request
/// smuggling).
bool isFramingValid(const http::request<http::string_body> &message);

/// Converts a request that was read whole.
HttpRequest toRequest(http::request<http::string_body> &&message);

/// Why a request could not be read.
Error inputError(ErrorCode ec, bool timedOut);

} // namespace daisytack::net
