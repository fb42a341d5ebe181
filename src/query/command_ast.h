/// Syntax tree of a command. The parser has checked the syntax of names and
/// field values; whether the named objects exist is checked by planCommand.
#pragma once

#include "control/object_codec.h"
#include "query/rows.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisytack::query {

/// "drain", "undrain" and "admit server": sets whether a backend server
/// receives new requests.
struct DrainServer {
  std::string Server;
  bool Drained = true;
  bool operator==(const DrainServer &) const = default;
};

/// "swap": sets the desired weight version of a model's backend servers.
struct SwapModel {
  std::string Model;
  std::string Version;
  std::optional<std::string> Adapter; ///< Empty: none; unset: unchanged.
  bool operator==(const SwapModel &) const = default;
};

/// "stop": cancels requests that are currently waiting or running.
struct StopRequests {
  StopTarget Target;
  bool operator==(const StopRequests &) const = default;
};

/// "set", and "admit" with MustBeNew: changes or creates an object.
struct SetObject {
  control::ObjectKey Key;
  std::vector<control::FieldText> Fields;
  bool MustBeNew = false; ///< Fail when the object exists.
  bool operator==(const SetObject &) const = default;
};

/// "delete": deletes an object.
struct DeleteObject {
  control::ObjectKey Key;
  bool operator==(const DeleteObject &) const = default;
};

/// "release": sets the time at which the held answers of a class are released.
struct ReleaseClass {
  enum class When : uint8_t { At, In, Now, Never };
  std::string Class;
  When Kind = When::Now;
  WallTime At;    ///< Used with When::At.
  Duration In{0}; ///< Used with When::In, from the time of the command.
  bool operator==(const ReleaseClass &) const = default;
};

/// "purge": makes all kept context of an organisation unusable by raising the
/// epoch of its reuse policies.
struct PurgeContext {
  std::string Organisation;
  bool operator==(const PurgeContext &) const = default;
};

using OperatorCommand =
    std::variant<DrainServer, SwapModel, StopRequests, SetObject, DeleteObject,
                 ReleaseClass, PurgeContext>;

/// Returns the lowest role that is authorised to run the command.
OperatorRole roleFor(const OperatorCommand &command);

} // namespace daisytack::query
