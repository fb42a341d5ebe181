#include "net/http_server.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <utility>

namespace daisytack::net {

using boost::beast::iequals;

bool isCloseDelimited(const std::vector<HttpHeader> &headers) {
  return std::none_of(headers.begin(), headers.end(), [](const auto &it) {
    return iequals(it.Name, "Content-Length") ||
           iequals(it.Name, "Transfer-Encoding");
  });
}

std::string_view HttpRequest::header(std::string_view name) const {
  for (const HttpHeader &h : Headers)
    if (iequals(h.Name, name))
      return h.Value;
  return {};
}

std::shared_ptr<const std::string> takeBody(HttpRequest &request) {
  struct Held {
    std::string Body;
    std::shared_ptr<BodyReservation> Reservation;
  };
  auto held = std::make_shared<Held>(
      Held{std::move(request.Body), std::move(request.Reservation)});
  return {held, &held->Body};
}

} // namespace daisytack::net
