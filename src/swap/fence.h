/// Fencing numbers of orders to one backend server. The number is the revision
/// at which the key-value service created the holder's load slot, so it grows
/// with every holder. A server that checks it refuses an older one by itself;
/// for one that doesn't, this guard in its agent is the only check.
#pragma once

#include "daisytack/error.h"

#include <cstdint>
#include <string>

namespace daisytack::swap {

/// Not thread-safe; one per agent.
class FenceGuard {
public:
  /// Whether an order under this number may be sent; Conflict otherwise. The
  /// number counts as sent from now on.
  bool admit(uint64_t fence, Error &reason);
  /// The server's status or its refusal of an order named a number.
  void observe(uint64_t fence);
  /// The highest number seen.
  uint64_t highest() const { return Highest; }

  /// What the server should be running after our last order was done. A server
  /// that says otherwise without a newer order from here was given one by
  /// another process, for instance by a predecessor that woke up.
  void expect(std::string version, std::string adapter);
  bool isUnexpected(const std::string &version,
                    const std::string &adapter) const;

private:
  uint64_t Highest = 0;
  bool HasExpectation = false;
  std::string ExpectedVersion;
  std::string ExpectedAdapter;
};

} // namespace daisytack::swap
