/// A command as the parser returns it: typed, with names and fields checked for
/// their form.
#pragma once

#include "control/object_codec.h"
#include "query/rows.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisytack::query {

/// drain, undrain and admit server: whether the server receives new work.
struct DrainServer {
  std::string Server;
  bool Drained = true;
  bool operator==(const DrainServer &) const = default;
};

/// swap: the weight version that a model's servers converge on.
struct SwapModel {
  std::string Model;
  std::string Version;
  std::optional<std::string> Adapter; ///< Empty text: none; absent: unchanged.
  bool operator==(const SwapModel &) const = default;
};

/// stop: cancels requests that are waiting or running now.
struct StopRequests {
  StopTarget Target;
  bool operator==(const StopRequests &) const = default;
};

/// set, and admit for an object that must not exist yet.
struct SetObject {
  control::ObjectKey Key;
  std::vector<control::FieldText> Fields;
  bool MustBeNew = false;
  bool operator==(const SetObject &) const = default;
};

struct DeleteObject {
  control::ObjectKey Key;
  bool operator==(const DeleteObject &) const = default;
};

/// release: when a class's held answers are let go.
struct ReleaseClass {
  enum class When : uint8_t { At, In, Now, Never };
  std::string Class;
  When Kind = When::Now;
  WallTime At;
  Duration In{0};
  bool operator==(const ReleaseClass &) const = default;
};

/// purge: an organisation's kept context can't be named any more.
struct PurgeContext {
  std::string Organisation;
  bool operator==(const PurgeContext &) const = default;
};

using OperatorCommand =
    std::variant<DrainServer, SwapModel, StopRequests, SetObject, DeleteObject,
                 ReleaseClass, PurgeContext>;

/// The least role that may give the command.
OperatorRole roleFor(const OperatorCommand &command);

} // namespace daisytack::query
