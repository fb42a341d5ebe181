#include "swap/lease.h"

#include <algorithm>

namespace daisytack::swap {

namespace {

constexpr int RenewalsPerTerm = 3;

} // namespace

void Lease::granted(uint64_t id, Duration timeLeft, TimePoint askedAt) {
  Id = id;
  extend(timeLeft, askedAt);
}

void Lease::renewed(uint64_t id, Duration timeLeft, TimePoint askedAt) {
  if (id == 0 || id != Id || timeLeft <= Duration(0)) {
    lost();
    return;
  }
  extend(timeLeft, askedAt);
}

void Lease::extend(Duration timeLeft, TimePoint askedAt) {
  Duration term = std::min(timeLeft, Init.TimeToLive);
  Duration drift(static_cast<Duration::rep>(static_cast<double>(term.count()) *
                                            Init.DriftShare));
  EndsAt = askedAt + term - drift;
  ActUntil = EndsAt - Init.PauseMargin;
  // At least two renewals while the holder may act, so that one answer may be
  // lost.
  Duration acting = std::max(ActUntil - askedAt, Duration(0));
  RenewAt = askedAt + std::min(term / RenewalsPerTerm, acting / 2);
}

std::optional<TimePoint> Lease::renewAt() const {
  if (Id == 0)
    return std::nullopt;
  return RenewAt;
}

std::optional<TimePoint> Lease::endsAt() const {
  if (Id == 0)
    return std::nullopt;
  return EndsAt;
}

} // namespace daisytack::swap
