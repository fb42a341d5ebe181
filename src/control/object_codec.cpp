#include "control/object_codec.h"

#include "control/field_text.h"
#include "control/object_fields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace daisytack::control {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, ObjectKinds> KindNames{
    "organisation", "model", "class", "reuse", "service", "server", "operator"};
constexpr std::string_view AnyClass = "*";
constexpr uint32_t NestingLimit = 8;

/// Names of the fields that every value has besides those of its object.
constexpr std::string_view DeletedField = "deleted";
constexpr std::string_view SchemaField = "schema";
constexpr std::string_view NeedsField = "needs";
constexpr std::string_view CommandsField = "commands";
constexpr std::string_view CommandIdField = "id";
constexpr std::string_view OperatorField = "operator";

Error badValue(std::string detail) {
  return {ErrorKind::BadValue, std::move(detail)};
}

/// Numbers and booleans use the JSON types; all other fields are strings.
json::value toJson(bool value) { return value; }
json::value toJson(uint32_t value) { return value; }
json::value toJson(uint64_t value) { return value; }
json::value toJson(double value) { return value; }
template <class T> json::value toJson(const T &value) {
  return json::value(fieldText(value));
}

bool fromJson(const json::value &in, bool &value) {
  if (in.is_bool())
    value = in.get_bool();
  return in.is_bool();
}

bool fromJson(const json::value &in, double &value) {
  if (!in.is_number())
    return false;
  value = in.to_number<double>();
  return true;
}

template <class T>
requires std::is_integral_v<T>
bool fromJson(const json::value &in, T &value) {
  json::error_code ec;
  T n = in.to_number<T>(ec);
  if (!ec)
    value = n;
  return !ec;
}

template <class T>
requires(!std::is_arithmetic_v<T>) bool fromJson(const json::value &in,
                                                 T &value) {
  return in.is_string() && parseField(std::string_view(in.get_string()), value);
}

json::array trailToJson(const std::vector<CommandStamp> &trail) {
  json::array out;
  for (const CommandStamp &stamp : trail)
    out.push_back(json::object{{CommandIdField, toHex(stamp.Command)},
                               {OperatorField, stamp.Operator}});
  return out;
}

bool readStamp(const json::value &in, CommandStamp &stamp) {
  const json::object *object = in.if_object();
  if (!object)
    return false;
  const json::value *id = object->if_contains(CommandIdField);
  const json::value *name = object->if_contains(OperatorField);
  if (!id || !id->is_string() || !name || !name->is_string())
    return false;
  std::optional<Id128> parsed = parseId128(std::string_view(id->get_string()));
  if (!parsed)
    return false;
  stamp = {*parsed, std::string(std::string_view(name->get_string()))};
  return true;
}

bool readTrail(const json::value &in, std::vector<CommandStamp> &trail) {
  const json::array *list = in.if_array();
  if (!list || list->size() > MaxCommandTrail)
    return false;
  for (const json::value &element : *list)
    if (!readStamp(element, trail.emplace_back()))
      return false;
  return true;
}

/// Decodes and removes the fields that every value has. The remaining ones
/// belong to the object.
bool extractCommonFields(json::object &fields, StoredObject &out,
                         bool &deleted) {
  auto take = [&](std::string_view name, auto read) {
    auto it = fields.find(name);
    if (it == fields.end())
      return true;
    bool ok = read(it->value());
    fields.erase(it);
    return ok;
  };
  return take(DeletedField,
              [&](const json::value &v) { return fromJson(v, deleted); }) &&
         take(SchemaField,
              [&](const json::value &v) { return fromJson(v, out.Schema); }) &&
         take(NeedsField,
              [&](const json::value &v) {
                return fromJson(v, out.MinReaderSchema);
              }) &&
         take(CommandsField,
              [&](const json::value &v) { return readTrail(v, out.Trail); });
}

/// Decodes and removes the object's own fields. Returns the name of the first
/// invalid one, or an empty string.
std::string extractFields(json::object &fields, ConfigObject &object) {
  std::string bad;
  auto take = [&](std::string_view name, auto &member) {
    auto it = fields.find(name);
    if (it == fields.end())
      return;
    if (!fromJson(it->value(), member) && bad.empty())
      bad = name;
    fields.erase(it);
  };
  std::visit([&](auto &o) { visitFields(o, take); }, object);
  return bad;
}

bool splitPolicyName(const std::string &name, ReusePolicy &policy) {
  size_t colon = name.find(':');
  if (colon == std::string::npos)
    return false;
  policy.Organisation = name.substr(0, colon);
  policy.Class = name.substr(colon + 1);
  return isValidName(policy.Organisation) &&
         (policy.Class == AnyClass || isValidName(policy.Class));
}

bool isValidObjectName(const ObjectKey &key) {
  ReusePolicy policy;
  return key.Kind == ObjectKind::ReusePolicy ? splitPolicyName(key.Name, policy)
                                             : isValidName(key.Name);
}

template <size_t I = 0> ConfigObject defaultOfKind(size_t kind) {
  if constexpr (I + 1 < ObjectKinds)
    if (kind != I)
      return defaultOfKind<I + 1>(kind);
  return std::variant_alternative_t<I, ConfigObject>{};
}

} // namespace

std::string_view objectKindName(ObjectKind kind) {
  return KindNames[static_cast<size_t>(kind)];
}

std::optional<ObjectKind> parseObjectKind(std::string_view name) {
  auto it = std::find(KindNames.begin(), KindNames.end(), name);
  if (it == KindNames.end())
    return std::nullopt;
  return static_cast<ObjectKind>(it - KindNames.begin());
}

std::string toText(const ObjectKey &key) {
  std::string out(ConfigPrefix);
  out += objectKindName(key.Kind);
  out += '/';
  return out += key.Name;
}

std::optional<ObjectKey> parseObjectKey(std::string_view text, Error &reason) {
  if (!text.starts_with(ConfigPrefix)) {
    reason = badValue("key outside " + std::string(ConfigPrefix));
    return std::nullopt;
  }
  std::string_view rest = text.substr(ConfigPrefix.size());
  size_t slash = rest.find('/');
  std::optional<ObjectKind> kind = parseObjectKind(rest.substr(0, slash));
  if (!kind || slash == std::string_view::npos) {
    reason = badValue("unknown kind of object in key " + std::string(text));
    return std::nullopt;
  }
  ObjectKey out{*kind, std::string(rest.substr(slash + 1))};
  if (!isValidObjectName(out)) {
    reason = badValue("name in key " + std::string(text));
    return std::nullopt;
  }
  return out;
}

ObjectKey keyOf(const ConfigObject &object) {
  auto kind = static_cast<ObjectKind>(object.index());
  if (const auto *policy = std::get_if<ReusePolicy>(&object))
    return {kind, policy->Organisation + ":" + policy->Class};
  return std::visit(
      [&](const auto &o) -> ObjectKey {
        if constexpr (requires { o.Name; })
          return {kind, o.Name};
        else
          return {kind, {}};
      },
      object);
}

ConfigObject defaultObject(const ObjectKey &key) {
  ConfigObject out = defaultOfKind(static_cast<size_t>(key.Kind));
  std::visit(
      [&](auto &o) {
        if constexpr (requires { o.Name; })
          o.Name = key.Name;
        else
          splitPolicyName(key.Name, o);
      },
      out);
  return out;
}

std::string encodeStored(const StoredObject &stored) {
  json::object out;
  if (!stored.Unknown.empty())
    out = json::parse(stored.Unknown).as_object();
  out[SchemaField] = stored.Schema;
  out[NeedsField] = stored.MinReaderSchema;
  out[CommandsField] = trailToJson(stored.Trail);
  if (!stored.Object) {
    out[DeletedField] = true;
    return json::serialize(out);
  }
  std::visit(
      [&](const auto &o) {
        visitFields(o, [&](std::string_view name, const auto &member) {
          out[name] = toJson(member);
        });
      },
      *stored.Object);
  return json::serialize(out);
}

std::optional<StoredObject> decodeStored(const ObjectKey &key,
                                         std::string_view text, Error &reason) {
  if (text.size() > MaxValueBytes) {
    reason = badValue("value of " + std::to_string(text.size()) + " bytes");
    return std::nullopt;
  }
  json::error_code ec;
  json::parse_options options;
  options.max_depth = NestingLimit;
  json::value parsed = json::parse(text, ec, {}, options);
  if (ec || !parsed.is_object()) {
    reason = badValue("value of " + toText(key) + " is no JSON object");
    return std::nullopt;
  }
  json::object &fields = parsed.get_object();
  StoredObject out;
  bool deleted = false;
  if (!extractCommonFields(fields, out, deleted)) {
    reason = badValue("bad common field in the value of " + toText(key));
    return std::nullopt;
  }
  if (out.MinReaderSchema > SchemaVersion) {
    reason = badValue("value of " + toText(key) + " needs schema " +
                      std::to_string(out.MinReaderSchema) +
                      ", this build has " + std::to_string(SchemaVersion));
    return std::nullopt;
  }
  ConfigObject object = defaultObject(key);
  std::string bad = extractFields(fields, object);
  if (!bad.empty()) {
    reason = badValue("field " + bad + " in the value of " + toText(key));
    return std::nullopt;
  }
  if (!fields.empty())
    out.Unknown = json::serialize(fields);
  if (!deleted)
    out.Object = std::move(object);
  return out;
}

bool setField(ConfigObject &object, std::string_view field,
              std::string_view text, FieldError &reason) {
  bool known = false;
  bool parsed = false;
  std::string names;
  std::string_view format;
  auto set = [&](std::string_view name, auto &member) {
    names += (names.empty() ? "" : ", ") + std::string(name);
    if (name != field)
      return;
    known = true;
    format = fieldFormat(member);
    parsed = parseField(text, member);
  };
  std::visit([&](auto &o) { visitFields(o, set); }, object);
  if (known && parsed)
    return true;
  reason.Field = field;
  reason.Value = field == "key_hash" ? "(hidden)" : std::string(text);
  reason.Remedy = known ? "write it as " + std::string(format)
                        : "no such field: use one of " + names;
  return false;
}

std::vector<FieldText> fieldsOf(const ConfigObject &object) {
  std::vector<FieldText> out;
  std::visit(
      [&](const auto &o) {
        visitFields(o, [&](std::string_view name, const auto &member) {
          out.push_back({std::string(name), fieldText(member)});
        });
      },
      object);
  return out;
}

} // namespace daisytack::control
