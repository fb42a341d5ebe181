/// The only place where a process reads its clocks. Decision code receives the
/// result as an argument.
#pragma once

#include "daisytack/types.h"

namespace daisytack {

/// Monotonic time since an unspecified start.
TimePoint monotonicNow();
/// Wall-clock time since the Unix epoch.
WallTime wallNow();

} // namespace daisytack
