#include "net/http_input.h"

#include <boost/beast/core/string.hpp>

#include <utility>

namespace daisytack::net {

namespace {

constexpr unsigned HttpVersion11 = 11;

bool isDigits(std::string_view text) {
  return !text.empty() &&
         text.find_first_not_of("0123456789") == std::string_view::npos;
}

} // namespace

bool isFramingValid(const http::request<http::string_body> &message) {
  size_t lengths = message.count(http::field::content_length);
  size_t codings = message.count(http::field::transfer_encoding);
  size_t hosts = message.count(http::field::host);
  bool isHttp11 = message.version() >= HttpVersion11;
  if (hosts > 1 || (isHttp11 && hosts == 0))
    return false;
  if (lengths > 1 || codings > 1 || (lengths == 1 && codings == 1))
    return false;
  if (lengths == 1)
    return isDigits(message[http::field::content_length]);
  if (codings == 0)
    return true;
  return isHttp11 && boost::beast::iequals(
                         message[http::field::transfer_encoding], "chunked");
}

HttpRequest toRequest(http::request<http::string_body> &&message) {
  HttpRequest out;
  out.Method = std::string(message.method_string());
  std::string_view target = message.target();
  out.Target = std::string(target);
  size_t mark = target.find('?');
  out.Path = std::string(target.substr(0, mark));
  if (mark != std::string_view::npos)
    out.Query = std::string(target.substr(mark + 1));
  for (const auto &field : message.base())
    out.Headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  out.Body = std::move(message.body());
  return out;
}

Error inputError(ErrorCode ec, bool timedOut) {
  if (timedOut)
    return {ErrorKind::RequestTimeout, "the request did not arrive in time"};
  if (ec == http::error::header_limit)
    return {ErrorKind::HeaderTooLarge, "the headers exceed the limit"};
  if (ec == http::error::buffer_overflow)
    return {ErrorKind::HeaderTooLarge,
            "the chunk extensions or trailer fields exceed the limit"};
  if (ec == http::error::body_limit)
    return {ErrorKind::BodyTooLarge, "the body exceeds the limit"};
  if (ec == http::error::partial_message || ec == asio::error::eof)
    return {ErrorKind::BadRequest, "the request ended before it was whole"};
  return {ErrorKind::BadRequest, "malformed HTTP: " + ec.message()};
}

} // namespace daisytack::net
