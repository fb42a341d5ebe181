#include "control/instance_codec.h"

#include <boost/json.hpp>

#include <array>

namespace daisytack::control {

namespace json = boost::json;

namespace {

constexpr uint32_t NestingLimit = 8;
constexpr size_t MaxTextBytes = 128;
constexpr std::array<std::string_view, 2> RoleNames{"entry", "agent"};
constexpr std::array<std::string_view, 3> StateNames{"live", "leaving", "gone"};

template <class Enum, size_t N>
bool readEnum(const json::object &from, std::string_view name,
              const std::array<std::string_view, N> &names, Enum &out) {
  const json::value *value = from.if_contains(name);
  const json::string *text = value ? value->if_string() : nullptr;
  for (size_t i = 0; text && i < N; ++i)
    if (names[i] == std::string_view(*text)) {
      out = static_cast<Enum>(i);
      return true;
    }
  return false;
}

bool readText(const json::object &from, std::string_view name,
              std::string &out) {
  const json::value *value = from.if_contains(name);
  const json::string *text = value ? value->if_string() : nullptr;
  if (!text || text->size() > MaxTextBytes)
    return false;
  out = std::string_view(*text);
  return true;
}

bool readEndpoint(const json::object &from, std::string_view name,
                  Endpoint &out) {
  std::string text;
  if (!readText(from, name, text))
    return false;
  std::optional<Endpoint> parsed = parseEndpoint(text);
  if (parsed)
    out = *parsed;
  return parsed.has_value();
}

bool readNumber(const json::object &from, std::string_view name,
                uint64_t &out) {
  const json::value *value = from.if_contains(name);
  if (!value)
    return false;
  json::error_code ec;
  out = value->to_number<uint64_t>(ec);
  return !ec;
}

bool readInstance(const json::value &from, ListedMember &out) {
  const json::object *object = from.if_object();
  if (!object)
    return false;
  const json::value *service = object->if_contains("service");
  out.Instance.IsService = service && service->is_bool() && service->get_bool();
  Member &to = out.Instance;
  return readText(*object, "name", to.Name) && !to.Name.empty() &&
         readEnum(*object, "role", RoleNames, to.Role) &&
         readEnum(*object, "state", StateNames, to.State) &&
         readText(*object, "region", to.Region) &&
         readText(*object, "failure_domain", to.FailureDomain) &&
         readText(*object, "serves", to.Serves) &&
         readEndpoint(*object, "work", to.Work) &&
         readEndpoint(*object, "peer", to.Peer) &&
         readNumber(*object, "changed", out.Changed);
}

std::optional<json::value> parseText(std::string_view text) {
  json::error_code ec;
  json::parse_options options;
  options.max_depth = NestingLimit;
  json::value out = json::parse(text, ec, {}, options);
  if (ec)
    return std::nullopt;
  return out;
}

} // namespace

std::string encodeInstance(const ListedMember &instance) {
  const Member &from = instance.Instance;
  return json::serialize(
      json::object{{"name", from.Name},
                   {"role", RoleNames[static_cast<size_t>(from.Role)]},
                   {"state", StateNames[static_cast<size_t>(from.State)]},
                   {"region", from.Region},
                   {"failure_domain", from.FailureDomain},
                   {"serves", from.Serves},
                   {"service", from.IsService},
                   {"work", toString(from.Work)},
                   {"peer", toString(from.Peer)},
                   {"changed", instance.Changed}});
}

std::optional<ListedMember> decodeInstance(std::string_view text,
                                           Error &reason) {
  std::optional<json::value> value = parseText(text);
  ListedMember out;
  if (value && readInstance(*value, out))
    return out;
  reason = {ErrorKind::ProtocolError, "not an instance of the list"};
  return std::nullopt;
}

std::optional<InstanceDelta> decodeInstanceDelta(std::string_view text,
                                                 Error &reason) {
  std::optional<json::value> value = parseText(text);
  const json::object *object = value ? value->if_object() : nullptr;
  const json::value *list = object ? object->if_contains("instances") : nullptr;
  InstanceDelta out;
  bool ok =
      list && list->is_array() && readNumber(*object, "version", out.Version);
  for (size_t i = 0; ok && i < list->get_array().size(); ++i)
    ok = readInstance(list->get_array()[i], out.Members.emplace_back());
  if (ok)
    return out;
  reason = {ErrorKind::ProtocolError, "not an answer of the instance list"};
  return std::nullopt;
}

} // namespace daisytack::control
