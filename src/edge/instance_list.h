/// The platform's list of instances, as a hook. It lags behind the truth; its
/// version orders all of its changes.
#pragma once

#include "daisytack/error.h"
#include "daisytack/objects.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace daisytack::edge {

/// One instance, and the version at which the list last changed it.
struct ListedMember {
  Member Instance;
  uint64_t Changed = 0;
  auto operator<=>(const ListedMember &) const = default;
};

struct InstanceListResult {
  Error Reason; ///< Kind None when the list answered.
  uint64_t Version = 0;
  std::vector<ListedMember> Members; ///< Changed after the version asked for.
};

/// Asynchronous; the result arrives on an I/O thread, exactly once.
struct InstanceList {
  /// Since 0: all instances.
  std::function<void(uint64_t since, Duration timeout,
                     std::function<void(InstanceListResult)>)>
      Poll;
};

/// JSON of one instance (docs/PROTOCOL.md, "Instance list").
std::string encodeInstance(const ListedMember &instance);
/// Sets the reason and returns nothing when the text is not one instance.
std::optional<ListedMember> decodeInstance(std::string_view json,
                                           Error &reason);
/// The whole answer of the list.
std::optional<InstanceListResult> decodeInstances(std::string_view json,
                                                  Error &reason);

} // namespace daisytack::edge
