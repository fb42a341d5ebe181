#include "swap/fence.h"

#include <algorithm>
#include <utility>

namespace daisytack::swap {

bool FenceGuard::admit(uint64_t fence, Error &reason) {
  if (fence < Highest || fence == 0) {
    reason = {ErrorKind::Conflict,
              "order under fencing number " + std::to_string(fence) +
                  ", but the server has seen " + std::to_string(Highest)};
    return false;
  }
  Highest = fence;
  return true;
}

void FenceGuard::observe(uint64_t fence) { Highest = std::max(Highest, fence); }

void FenceGuard::expect(std::string version, std::string adapter) {
  HasExpectation = true;
  ExpectedVersion = std::move(version);
  ExpectedAdapter = std::move(adapter);
}

bool FenceGuard::isUnexpected(const std::string &version,
                              const std::string &adapter) const {
  return HasExpectation &&
         (version != ExpectedVersion || adapter != ExpectedAdapter);
}

} // namespace daisytack::swap
