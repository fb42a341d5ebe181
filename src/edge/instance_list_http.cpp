#include "edge/instance_list_http.h"

#include <utility>

namespace daisytack::edge {

namespace {

constexpr unsigned StatusOk = 200;

InstanceListResult resultOf(const Error &error,
                            const net::HttpResponse &response) {
  InstanceListResult out;
  if (error) {
    out.Reason = {ErrorKind::ServiceUnavailable,
                  "instance list: " + error.Detail};
    return out;
  }
  if (response.Status != StatusOk) {
    out.Reason = {ErrorKind::ServiceUnavailable,
                  "instance list: status " + std::to_string(response.Status)};
    return out;
  }
  if (auto delta = control::decodeInstanceDelta(response.Body, out.Reason))
    out.Delta = std::move(*delta);
  return out;
}

} // namespace

InstanceList makeHttpInstanceList(net::HttpClient &client, Endpoint endpoint) {
  InstanceList out;
  out.Poll = [&client, endpoint = std::move(endpoint)](
                 uint64_t since, Duration timeout, auto done) {
    net::HttpRequest request;
    request.Method = "GET";
    request.Path = "/instances";
    if (since != 0)
      request.Query = "since=" + std::to_string(since);
    client.fetch(endpoint, std::move(request), timeout,
                 [done = std::move(done)](const Error &error,
                                          const net::HttpResponse &response) {
                   done(resultOf(error, response));
                 });
  };
  return out;
}

} // namespace daisytack::edge
