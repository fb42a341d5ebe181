/// Configuration objects as JSON text under one key each, and their validation.
///
/// Schema rule. A value carries "schema", the version of its writer, and
/// "needs", the lowest version that may act on it. Fields that a reader does
/// not know are ignored when it acts and written back unchanged when it
/// modifies the object. A reader below "needs" goes on with the last value that
/// it understood and says so. Unknown fields in a command are refused: there
/// they are mistakes of typing.
#pragma once

#include "daisytack/error.h"
#include "daisytack/objects.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack::control {

/// Version of the fields that this build writes.
constexpr uint32_t SchemaVersion = 1;

/// Commands that a value remembers, newest first.
constexpr size_t MaxCommandTrail = 4;

/// In the order of ConfigObject's alternatives.
enum class ObjectKind : uint8_t {
  Organisation,
  Model,
  RequestClass,
  ReusePolicy,
  PlainService,
  ServerOverride,
  OperatorAccount,
};
constexpr size_t ObjectKinds = std::variant_size_v<ConfigObject>;

/// Name in keys and commands: "organisation", "model", "class", "reuse",
/// "service", "server", "operator".
std::string_view objectKindName(ObjectKind kind);
std::optional<ObjectKind> parseObjectKind(std::string_view name);

/// Prefix of all configuration keys in the key-value service.
constexpr std::string_view ConfigPrefix = "/daisytack/config/";

/// Names one object.
struct ObjectKey {
  ObjectKind Kind = ObjectKind::Organisation;
  std::string Name; ///< Of a reuse policy: "ORGANISATION:CLASS".
  auto operator<=>(const ObjectKey &) const = default;
};

/// "/daisytack/config/KIND/NAME".
std::string toText(const ObjectKey &key);
std::optional<ObjectKey> parseObjectKey(std::string_view text, Error &reason);
ObjectKey keyOf(const ConfigObject &object);
/// An object of the key's kind and name with the defaults of every field.
ConfigObject defaultObject(const ObjectKey &key);

/// Who changed an object last, and by which command.
struct CommandStamp {
  Id128 Command;
  std::string Operator;
  auto operator<=>(const CommandStamp &) const = default;
};

/// What the key-value service holds under one key.
struct StoredObject {
  std::optional<ConfigObject> Object; ///< Nothing: a tombstone.
  std::vector<CommandStamp> Trail;    ///< Newest first, at most
                                      ///< MaxCommandTrail.
  uint32_t Schema = SchemaVersion;    ///< Of its writer.
  uint32_t MinReaderSchema = 1;
  std::string Unknown; ///< JSON object of the fields that this build does not
                       ///< know; empty for none.
  auto operator<=>(const StoredObject &) const = default;
};

std::string encodeStored(const StoredObject &stored);
/// Sets the reason and returns nothing when the text is no value of that key,
/// or needs a newer build.
std::optional<StoredObject> decodeStored(const ObjectKey &key,
                                         std::string_view json, Error &reason);

/// One field's mistake.
struct FieldError {
  std::string Field;
  std::string Value; ///< "(hidden)" for key hashes.
  std::string Remedy;
  auto operator<=>(const FieldError &) const = default;
};

/// "FIELD = VALUE: REMEDY".
std::string toString(const FieldError &error);

/// Every mistake; empty when the object may be stored.
std::vector<FieldError> validate(const ConfigObject &object);
/// Letters, digits, '.', '_' and '-', 1..MaxNameBytes bytes.
bool isValidName(std::string_view name);

/// Sets one field from a command's text ("weight", "3"). Unknown fields and
/// texts that don't parse are errors that name the field's form.
bool setField(ConfigObject &object, std::string_view field,
              std::string_view text, FieldError &reason);

/// One field as text, for tables.
struct FieldText {
  std::string Field;
  std::string Value;
  auto operator<=>(const FieldText &) const = default;
};
/// All fields in their order of declaration, as setField takes them.
std::vector<FieldText> fieldsOf(const ConfigObject &object);

} // namespace daisytack::control
