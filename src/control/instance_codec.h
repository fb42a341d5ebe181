/// JSON encoding of instances (docs/PROTOCOL.md, "Instance list"), as used in
/// answers of the platform's instance list and in replicas.
#pragma once

#include "daisytack/error.h"
#include "daisytack/objects.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack::control {

/// One instance and the list version at which it last changed.
struct ListedMember {
  Member Instance;
  uint64_t Changed = 0;
  auto operator<=>(const ListedMember &) const = default;
};

/// The instances that changed after the requested version of the list.
struct InstanceDelta {
  uint64_t Version = 0; ///< Version of the list at its answer.
  std::vector<ListedMember> Members;
  bool operator==(const InstanceDelta &) const = default;
};

std::string encodeInstance(const ListedMember &instance);
/// The decoders return nullopt and set the reason when the text is invalid.
std::optional<ListedMember> decodeInstance(std::string_view json,
                                           Error &reason);
std::optional<InstanceDelta> decodeInstanceDelta(std::string_view json,
                                                 Error &reason);

} // namespace daisytack::control
