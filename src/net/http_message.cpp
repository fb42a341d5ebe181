#include "net/http_server.h"

#include <boost/beast/core/string.hpp>

namespace daisytack::net {

std::string_view HttpRequest::header(std::string_view name) const {
  for (const HttpHeader &h : Headers)
    if (boost::beast::iequals(h.Name, name))
      return h.Value;
  return {};
}

} // namespace daisytack::net
