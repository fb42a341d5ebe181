/// Instances of the platform's list as JSON (docs/PROTOCOL.md, "Instance
/// list"): as the list answers them, and as replicas carry them.
#pragma once

#include "daisytack/error.h"
#include "daisytack/objects.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack::control {

/// One instance, and the version at which the list last changed it.
struct ListedMember {
  Member Instance;
  uint64_t Changed = 0;
  auto operator<=>(const ListedMember &) const = default;
};

/// What changed in the list after some version.
struct InstanceDelta {
  uint64_t Version = 0; ///< Of the list when it answered.
  std::vector<ListedMember> Members;
  bool operator==(const InstanceDelta &) const = default;
};

std::string encodeInstance(const ListedMember &instance);
/// Each sets the reason and returns nothing when the text is no such thing.
std::optional<ListedMember> decodeInstance(std::string_view json,
                                           Error &reason);
std::optional<InstanceDelta> decodeInstanceDelta(std::string_view json,
                                                 Error &reason);

} // namespace daisytack::control
