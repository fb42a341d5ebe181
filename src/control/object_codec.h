/// Validation of configuration objects and their encoding as JSON, one key
/// each.
///
/// Schema compatibility: a value contains "schema", the schema version of its
/// writer, and "needs", the lowest schema version that may use it. A reader
/// ignores fields that it does not know and writes them back unchanged when it
/// modifies the object. A reader with a version below "needs" keeps the last
/// value that it could decode and reports this. Unknown fields in a command are
/// rejected because they are typing errors.
#pragma once

#include "daisytack/error.h"
#include "daisytack/objects.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack::control {

/// Schema version that this build writes.
constexpr uint32_t SchemaVersion = 1;

/// Maximum number of commands recorded in a value.
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

/// The kind's name in keys and commands: "organisation", "model", "class",
/// "reuse", "service", "server" or "operator".
std::string_view objectKindName(ObjectKind kind);
std::optional<ObjectKind> parseObjectKind(std::string_view name);

/// Prefix of all configuration keys in the key-value service.
constexpr std::string_view ConfigPrefix = "/daisytack/config/";

/// Identifies one object.
struct ObjectKey {
  ObjectKind Kind = ObjectKind::Organisation;
  std::string Name; ///< "ORGANISATION:CLASS" for a reuse policy.
  auto operator<=>(const ObjectKey &) const = default;
};

/// Formats as "/daisytack/config/KIND/NAME".
std::string toText(const ObjectKey &key);
std::optional<ObjectKey> parseObjectKey(std::string_view text, Error &reason);
ObjectKey keyOf(const ConfigObject &object);
/// An object of the key's kind and name with default values in all fields.
ConfigObject defaultObject(const ObjectKey &key);

/// One change of an object: the command and the operator who issued it.
struct CommandStamp {
  Id128 Command;
  std::string Operator;
  auto operator<=>(const CommandStamp &) const = default;
};

/// The value of one key in the key-value service.
struct StoredObject {
  std::optional<ConfigObject> Object; ///< Empty for a tombstone.
  std::vector<CommandStamp> Trail;    ///< The latest commands, newest
                                      ///< first, up to MaxCommandTrail.
  uint32_t Schema = SchemaVersion;    ///< Schema version of the writer.
  uint32_t MinReaderSchema = 1; ///< Lowest schema version that may use it.
  std::string Unknown; ///< JSON object with the fields unknown to this build;
                       ///< empty if there are none.
  auto operator<=>(const StoredObject &) const = default;
};

std::string encodeStored(const StoredObject &stored);
/// Returns nullopt and sets the reason when the text is not a valid value of
/// the key or requires a newer schema version.
std::optional<StoredObject> decodeStored(const ObjectKey &key,
                                         std::string_view json, Error &reason);

/// Validation error of one field.
struct FieldError {
  std::string Field;
  std::string Value; ///< "(hidden)" for key hashes.
  std::string Remedy;
  auto operator<=>(const FieldError &) const = default;
};

/// Formats as "FIELD = VALUE: REMEDY".
std::string toString(const FieldError &error);

/// Returns all errors; empty when the object may be stored.
std::vector<FieldError> validate(const ConfigObject &object);
/// Whether a name has 1 to MaxNameBytes letters, digits, '.', '_' and '-'.
bool isValidName(std::string_view name);

/// Sets one field from the text in a command, such as "weight" and "3". For an
/// unknown field the error lists the fields, and for an invalid value it gives
/// the expected format.
bool setField(ConfigObject &object, std::string_view field,
              std::string_view text, FieldError &reason);

/// Name and value of one field as text, for tables.
struct FieldText {
  std::string Field;
  std::string Value;
  auto operator<=>(const FieldText &) const = default;
};
/// All fields in the order of visitFields, with values that setField accepts.
std::vector<FieldText> fieldsOf(const ConfigObject &object);

} // namespace daisytack::control
