/// Calls the operators' HTTP interface of the entries, one call at a time.
#pragma once

#include "client_options.h"
#include "net/http_client.h"

#include <boost/asio/io_context.hpp>

namespace daisytack::client {

/// Not thread-safe: each call runs the I/O context until it has its response or
/// fails.
class Connection {
public:
  Connection(std::vector<Endpoint> entries, std::string key, Duration timeout);

  /// Sends the request to the entries in order, starting with the one that
  /// answered last, until one answers; otherwise std::nullopt and the reason. A
  /// call that may change state is not retried once it may have been sent, so
  /// that it is not applied twice.
  std::optional<net::HttpResponse> post(const std::string &path,
                                        const std::string &body, bool mayChange,
                                        Error &reason);
  /// Sends one request to one address, without the key; std::nullopt and the
  /// reason when there is no answer.
  std::optional<net::HttpResponse> get(const Endpoint &to,
                                       const std::string &path, Error &reason);

private:
  std::optional<net::HttpResponse>
  call(const Endpoint &to, net::HttpRequest request, Error &reason);

  boost::asio::io_context Io;
  net::HttpClient Client;
  std::vector<Endpoint> Entries;
  std::string Key;
  Duration Timeout;
  size_t PreferredIndex = 0; ///< Index of the entry that answered last.
};

} // namespace daisytack::client
