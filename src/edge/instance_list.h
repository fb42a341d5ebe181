/// The platform's list of instances, as a hook. It may be out of date; its
/// version orders all of its changes.
#pragma once

#include "control/instance_codec.h"

#include <functional>

namespace daisytack::edge {

struct InstanceListResult {
  Error Reason;                 ///< Kind None when the call succeeded.
  control::InstanceDelta Delta; ///< Changes after the requested version.
};

/// Asynchronous. The result arrives on an I/O thread, exactly once.
struct InstanceList {
  /// Polls changes after version since; 0: all instances.
  std::function<void(uint64_t since, Duration timeout,
                     std::function<void(InstanceListResult)>)>
      Poll;
};

} // namespace daisytack::edge
