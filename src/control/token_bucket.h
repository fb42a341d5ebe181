/// Token bucket: refilled at a constant rate up to the burst size.
#pragma once

#include "daisytack/types.h"

#include <algorithm>

namespace daisytack::control {

/// Starts full. Not thread-safe. Times before the last call refill nothing.
class TokenBucket {
public:
  TokenBucket(double perSecond, double burst)
      : PerSecond(perSecond), Burst(burst), Tokens(burst) {}

  /// Takes n tokens and returns true if at least reserve tokens remain.
  bool take(double n, double reserve, TimePoint now) {
    refill(now);
    if (Tokens < n + reserve)
      return false;
    Tokens -= n;
    return true;
  }

private:
  void refill(TimePoint now) {
    if (now <= Last)
      return;
    double seconds = std::chrono::duration<double>(now - Last).count();
    Last = now;
    Tokens = std::min(Burst, Tokens + seconds * PerSecond);
  }

  double PerSecond;
  double Burst;
  double Tokens;
  TimePoint Last;
};

} // namespace daisytack::control
