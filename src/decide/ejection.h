/// Which servers an entry leaves alone for a while because they fail or are
/// slow. See docs/ROUTING.md.
#pragma once

#include "daisytack/types.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <unordered_map>

namespace daisytack {

struct EjectionSettings {
  uint32_t Failures = 3; ///< Consecutive ones that eject.
  double SlowFactor = 4; ///< Measured over predicted first token that counts
                         ///< as a failure.
  Duration FirstTime{5'000'000}; ///< Doubled by each ejection soon after.
  Duration LongestTime{300'000'000};
  Duration Window{60'000'000};
  Duration LastServerDelay{600'000'000}; ///< Before the last server of a pool
                                         ///< may be ejected.
  bool Capped = true; ///< At most max(floor(n / 3), 1) of n per window.
  bool operator==(const EjectionSettings &) const = default;
};

enum class EjectionVerdict : uint8_t {
  None, ///< Not enough failures.
  Ejected,
  HeldBack, ///< Would be ejected, but for the cap.
};

/// Thread-safe. The lock is taken for failures, and for queries only while
/// something is ejected.
class Ejector {
public:
  explicit Ejector(EjectionSettings settings);

  /// An attempt was answered after so long, and was predicted to take the given
  /// time to its first token.
  EjectionVerdict onAnswer(uint64_t pool, size_t poolSize, uint64_t server,
                           Duration predicted, Duration measured,
                           TimePoint now);
  EjectionVerdict onFailure(uint64_t pool, size_t poolSize, uint64_t server,
                            TimePoint now);
  bool isEjected(uint64_t server, TimePoint now) const;
  /// Forgets a server that has left.
  void forget(uint64_t server);

private:
  struct ServerState {
    uint32_t Failures = 0;
    uint32_t Ejections = 0;
    TimePoint FailingSince;
    TimePoint Until;
  };
  struct PoolState {
    std::deque<TimePoint> Recent; ///< Ejections in the window.
    uint32_t Out = 0;             ///< Ejected now, as last counted.
  };

  bool isAllowed(PoolState &pool, size_t poolSize, const ServerState &server,
                 TimePoint now) const;

  EjectionSettings Settings;
  mutable std::mutex Lock;
  std::unordered_map<uint64_t, ServerState> Servers;
  std::unordered_map<uint64_t, PoolState> Pools;
  std::atomic<int64_t> LatestReturn{INT64_MIN};
};

/// Ejections that the rule allows to a pool of so many servers in one window.
size_t ejectionCap(size_t poolSize);

} // namespace daisytack
