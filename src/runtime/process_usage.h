/// What the operating system says this process uses.
#pragma once

#include "base/standard_metrics.h"

namespace daisytack::runtime {

/// Zero where the system doesn't tell.
ProcessUsage processUsage();

} // namespace daisytack::runtime
