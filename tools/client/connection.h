/// Calls to the operators' HTTP of the entries, one after the other.
#pragma once

#include "client_options.h"
#include "net/http_client.h"

#include <boost/asio/io_context.hpp>

namespace daisytack::client {

/// Not thread-safe: each call runs the context until it is answered.
class Connection {
public:
  Connection(std::vector<Endpoint> entries, std::string key, Duration timeout);

  /// Tries the entries in turn until one answers. A call that may change
  /// something goes on to the next entry only when nothing was sent.
  std::optional<net::HttpResponse> post(const std::string &path,
                                        const std::string &body, bool mayChange,
                                        Error &reason);
  /// One call to one address.
  std::optional<net::HttpResponse> get(const Endpoint &to,
                                       const std::string &path, Error &reason);
  /// Lengthens the timeout of later calls.
  void extendTimeout(Duration extension) { Timeout += extension; }

private:
  std::optional<net::HttpResponse>
  call(const Endpoint &to, net::HttpRequest request, Error &reason);

  boost::asio::io_context Io;
  net::HttpClient Client;
  std::vector<Endpoint> Entries;
  std::string Key;
  Duration Timeout;
  size_t PreferredIndex = 0; ///< Entry that answered last.
};

} // namespace daisytack::client
