/// Arithmetic on durations.
#pragma once

#include "daisytack/types.h"

namespace daisytack {

/// The duration multiplied by the factor, truncated to whole microseconds.
inline Duration scaled(Duration value, double factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(value.count()) * factor));
}

/// The duration in milliseconds, including fractions.
inline double millisecondsOf(Duration value) {
  return static_cast<double>(value.count()) / 1000;
}

} // namespace daisytack
