/// libFuzzer entry point for a single fuzz target. scripts/fuzz builds it with
/// clang and sets DAISYTACK_FUZZ_TARGET to the name of the target.
#include "targets.h"

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  static const daisytack::fuzz::Target *Chosen =
      daisytack::fuzz::findTarget(DAISYTACK_FUZZ_TARGET);
  Chosen->Run({reinterpret_cast<const char *>(data), size});
  return 0;
}
