/// The platform's list of instances, as a hook. It lags behind the truth; its
/// version orders all of its changes.
#pragma once

#include "control/instance_codec.h"

#include <functional>

namespace daisytack::edge {

struct InstanceListResult {
  Error Reason;                 ///< Kind None when the list answered.
  control::InstanceDelta Delta; ///< After the version asked for.
};

/// Asynchronous; the result arrives on an I/O thread, exactly once.
struct InstanceList {
  /// Since 0: all instances.
  std::function<void(uint64_t since, Duration timeout,
                     std::function<void(InstanceListResult)>)>
      Poll;
};

} // namespace daisytack::edge
