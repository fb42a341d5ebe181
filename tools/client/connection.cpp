#include "connection.h"

namespace daisytack::client {

Connection::Connection(std::vector<Endpoint> entries, std::string key,
                       Duration timeout)
    : Client(Io, {}), Entries(std::move(entries)), Key(std::move(key)),
      Timeout(timeout) {}

std::optional<net::HttpResponse> Connection::post(const std::string &path,
                                                  const std::string &body,
                                                  bool mayChange,
                                                  Error &reason) {
  net::HttpRequest request;
  request.Method = "POST";
  request.Path = path;
  request.Headers = {{"Authorization", "Bearer " + Key},
                     {"Content-Type", "application/json"}};
  request.Body = body;
  reason = {ErrorKind::ServiceUnavailable,
            "no entry is given; use --entries or DAISYTACK_ENTRIES",
            {}};
  for (size_t i = 0; i < Entries.size(); ++i) {
    size_t index = (PreferredIndex + i) % Entries.size();
    auto out = call(Entries[index], request, reason);
    if (out) {
      PreferredIndex = index;
      return out;
    }
    bool wasSent = reason.Kind != ErrorKind::ServiceUnavailable;
    if (mayChange && wasSent)
      return std::nullopt;
  }
  return std::nullopt;
}

std::optional<net::HttpResponse>
Connection::get(const Endpoint &to, const std::string &path, Error &reason) {
  net::HttpRequest request;
  request.Method = "GET";
  request.Path = path;
  return call(to, std::move(request), reason);
}

std::optional<net::HttpResponse>
Connection::call(const Endpoint &to, net::HttpRequest request, Error &reason) {
  std::optional<net::HttpResponse> out;
  bool isDone = false;
  Client.fetch(to, std::move(request), Timeout,
               [&](const Error &error, net::HttpResponse response) {
                 isDone = true;
                 reason = error;
                 if (!error)
                   out = std::move(response);
               });
  Io.restart();
  while (!isDone && Io.run_one() > 0) {
  }
  if (reason)
    reason.Detail = toString(to) + ": " + reason.Detail;
  return out;
}

} // namespace daisytack::client
