/// A budget that refills at a constant rate, up to a burst.
#pragma once

#include "daisytack/types.h"

#include <algorithm>

namespace daisytack::control {

/// Not thread-safe. Time that goes back refills nothing.
class TokenBucket {
public:
  TokenBucket(double perSecond, double burst)
      : PerSecond(perSecond), Burst(burst), Tokens(burst) {}

  /// Takes n when that leaves at least the reserve.
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
