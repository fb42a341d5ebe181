#include "edge/json_fields.h"

#include <boost/json.hpp>

#include <utility>

namespace daisytack::edge {

namespace json = boost::json;

std::optional<json::object> parseObject(std::string_view text,
                                        json::storage_ptr memory) {
  boost::system::error_code ec;
  json::value value = json::parse(text, ec, std::move(memory));
  if (ec || !value.is_object())
    return std::nullopt;
  return std::move(value.get_object());
}

std::string textOf(const json::object &object, std::string_view key) {
  const json::value *value = object.if_contains(key);
  if (!value || !value->is_string())
    return {};
  return std::string(value->get_string());
}

uint64_t countOf(const json::object &object, std::string_view key) {
  const json::value *value = object.if_contains(key);
  if (!value || !value->is_number())
    return 0;
  boost::system::error_code ec;
  auto out = value->to_number<uint64_t>(ec);
  return ec ? 0 : out;
}

} // namespace daisytack::edge
