/// HTTP status codes used by this project (RFC 9110, RFC 6585).
#pragma once

namespace daisytack::net {

constexpr unsigned StatusSwitchingProtocols = 101;
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusAccepted = 202;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusRequestTimeout = 408;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusGone = 410;
constexpr unsigned StatusPreconditionFailed = 412;
constexpr unsigned StatusMisdirected = 421;
constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusGatewayTimeout = 504;

/// Whether a response may have the status (RFC 9110, 15). Any other status
/// makes the response malformed.
constexpr bool isDefinedStatus(unsigned status) {
  return status >= 100 && status < 600;
}
/// Whether the final response follows on the connection.
constexpr bool isInterim(unsigned status) {
  return status >= 100 && status < 200 && status != StatusSwitchingProtocols;
}
constexpr bool isSuccess(unsigned status) {
  return status >= 200 && status < 300;
}
constexpr bool isServerError(unsigned status) { return status >= 500; }
/// Whether the status says that the request was refused and had no effect. A
/// success or redirection that the caller doesn't expect doesn't say so, nor
/// does a server error other than 503.
constexpr bool isRefusal(unsigned status) {
  return (status >= 400 && status < 500) || status == StatusUnavailable;
}

} // namespace daisytack::net
