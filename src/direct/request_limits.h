/// Limits on requests that backend servers name in their answers: so many a
/// second from all entries together, for as long as they say so.
///
/// A server's own answer is the only source. What is believed of one start of a
/// server never counts for another.
#pragma once

#include "direct/server_start.h"

#include "daisytack/types.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace daisytack::direct {

/// What one answer made of the belief.
enum class LimitChange : uint8_t { None, Named, Lifted };

/// Thread-safe.
class RequestLimits {
public:
  /// The server named a limit, in requests a second, or answered a request
  /// without naming one.
  LimitChange onAnswer(ServerRef server, std::optional<double> perSecond,
                       TimePoint now);
  /// Servers that are believed to have a limit.
  size_t limited() const;
  /// Forgets what was heard before.
  void forgetIdle(TimePoint heardBefore);

private:
  struct Belief {
    std::optional<double> PerSecond;
    TimePoint HeardAt;
  };

  mutable std::mutex Lock;
  std::unordered_map<uint64_t, Belief> Servers; ///< By ServerRef::key.
};

} // namespace daisytack::direct
