#include "allocations.h"

#include <cstdlib>
#include <new>

namespace {

thread_local size_t Allocated = 0;

} // namespace

void *operator new(size_t n) {
  Allocated += n;
  if (void *out = std::malloc(n))
    return out;
  throw std::bad_alloc();
}
void operator delete(void *p) noexcept { std::free(p); }
void operator delete(void *p, size_t /*n*/) noexcept { std::free(p); }

namespace daisytack::test {

size_t allocatedBytes() { return Allocated; }
void resetAllocatedBytes() { Allocated = 0; }

} // namespace daisytack::test
