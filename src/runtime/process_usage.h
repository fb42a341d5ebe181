/// CPU time and memory of this process, as the operating system reports them.
#pragma once

#include "base/standard_metrics.h"

namespace daisytack::runtime {

/// Fields are zero if the system does not report them.
ProcessUsage processUsage();

} // namespace daisytack::runtime
