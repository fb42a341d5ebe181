/// Counts the bytes that this test binary allocates by operator new.
#pragma once

#include <cstddef>

namespace daisytack::test {

/// Bytes that this thread has requested from operator new since the last reset.
size_t allocatedBytes();
void resetAllocatedBytes();

} // namespace daisytack::test
