/// Counts what this test binary allocates.
#pragma once

#include <cstddef>

namespace daisytack::test {

/// Bytes asked of operator new by this thread since the last reset.
size_t allocatedBytes();
void resetAllocatedBytes();

} // namespace daisytack::test
