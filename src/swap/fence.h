/// Fencing tokens of orders to one backend server. The token is the revision at
/// which the key-value service created the holder's load slot, so it grows with
/// every holder. A server that checks tokens refuses outdated ones itself; for
/// a server that doesn't, the FenceGuard of its agent is the only check.
#pragma once

#include "daisytack/error.h"

#include <cstdint>
#include <string>

namespace daisytack::swap {

/// Tracks the highest fencing token and the expected version of one server. Not
/// thread-safe; one per agent.
class FenceGuard {
public:
  /// Whether an order with this token may be sent. If so, the token counts as
  /// sent; otherwise sets the reason to Conflict.
  bool admit(uint64_t fence, Error &reason);
  /// Records a token that the server named in its status or in a refusal.
  void observe(uint64_t fence);
  /// The highest token sent or observed; 0 if there was none.
  uint64_t highest() const { return Highest; }

  /// Sets the version that the server should run after this agent's last order.
  /// If the server reports another one without a newer order of this agent,
  /// another process sent an order, for instance an earlier agent process that
  /// resumed after a pause.
  void expect(std::string version, std::string adapter);
  /// Whether the version differs from the expected one; false if none is set.
  bool isUnexpected(const std::string &version,
                    const std::string &adapter) const;

private:
  uint64_t Highest = 0;
  bool HasExpectation = false;
  std::string ExpectedVersion;
  std::string ExpectedAdapter;
};

} // namespace daisytack::swap
