/// Arithmetic on durations.
#pragma once

#include "daisytack/types.h"

namespace daisytack {

/// The duration times the factor, cut to whole microseconds.
inline Duration scaled(Duration value, double factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(value.count()) * factor));
}

/// The duration in milliseconds, with fractions.
inline double millisecondsOf(Duration value) {
  return static_cast<double>(value.count()) / 1000;
}

} // namespace daisytack
