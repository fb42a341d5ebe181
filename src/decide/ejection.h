/// Outlier ejection: an entry temporarily sends no requests to a server that
/// fails or is slow. See docs/ROUTING.md.
#pragma once

#include "daisytack/types.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <unordered_map>

namespace daisytack {

struct EjectionSettings {
  /// Number of consecutive failures after which a server is ejected.
  uint32_t ConsecutiveFailures = 3;
  /// An answer counts as a failure if its first token takes more than this many
  /// times the predicted time.
  double SlowFactor = 4;
  /// Duration of a server's first ejection. It doubles with each further
  /// ejection until the server answers in time again.
  Duration BaseEjectionTime{5'000'000};
  /// Upper bound of an ejection's duration.
  Duration MaxEjectionTime{300'000'000};
  /// Length of the sliding window in which ejections are counted for the cap.
  Duration Window{60'000'000};
  /// Time for which the only server of a pool must have been failing before it
  /// may be ejected.
  Duration LastServerDelay{600'000'000};
  /// Whether ejections are limited to ejectionCap per pool and window, and by
  /// LastServerDelay.
  bool Capped = true;
  bool operator==(const EjectionSettings &) const = default;
};

enum class EjectionVerdict : uint8_t {
  None,       ///< The server is not ejected by this result.
  Ejected,    ///< The server is ejected from now on.
  CapReached, ///< The server should be ejected, but the pool's limit forbids
              ///< it.
};

/// Counts the failures of servers and ejects those that keep failing.
/// Thread-safe. The lock is taken for each result of an attempt, and for
/// queries only while a server is ejected.
class Ejector {
public:
  explicit Ejector(EjectionSettings settings);

  /// Records an answer by its predicted and measured time to the first token. A
  /// slow answer counts as a failure. Any other answer of a server that is not
  /// ejected resets its failure count and ejection duration.
  EjectionVerdict onAnswer(uint64_t pool, size_t poolSize, uint64_t server,
                           Duration predicted, Duration measured,
                           TimePoint now);
  /// Records a failed attempt. The pool is identified by a hash and has
  /// poolSize servers; the server is identified by the hash of its name.
  EjectionVerdict onFailure(uint64_t pool, size_t poolSize, uint64_t server,
                            TimePoint now);
  bool isEjected(uint64_t server, TimePoint now) const;
  /// Drops the state of a server that is no longer a member.
  void forget(uint64_t server);

private:
  struct ServerState {
    uint32_t Failures = 0;  ///< Consecutive, since the last ejection.
    uint32_t Ejections = 0; ///< Since the last answer in time.
    TimePoint FailingSince; ///< First of the consecutive failures.
    TimePoint EjectedUntil; ///< End of the latest ejection.
  };
  struct PoolState {
    /// Times of the ejections in the window.
    std::deque<TimePoint> RecentEjections;
    uint32_t EjectedCount = 0; ///< Unused.
  };

  /// Whether the cap allows to eject the server now. Drops expired ejections
  /// from pool.
  bool mayEject(PoolState &pool, size_t poolSize, const ServerState &server,
                TimePoint now) const;

  EjectionSettings Settings;
  mutable std::mutex Lock;
  std::unordered_map<uint64_t, ServerState> Servers;
  std::unordered_map<uint64_t, PoolState> Pools;
  /// Latest end of any ejection, in microseconds. Lets isEjected skip the lock.
  std::atomic<int64_t> LatestEjectionEnd{INT64_MIN};
};

/// Number of ejections allowed per window in a pool of the size:
/// max(floor(poolSize / 3), 1).
size_t ejectionCap(size_t poolSize);

} // namespace daisytack
