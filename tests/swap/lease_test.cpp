#include "swap/fence.h"
#include "swap/lease.h"

#include <gtest/gtest.h>

namespace daisytack::swap {

namespace {

constexpr Duration Second{1'000'000};

TimePoint at(double seconds) {
  return TimePoint(Duration(static_cast<int64_t>(seconds * 1e6)));
}

Lease granted() {
  Lease out(LeaseInit{});
  out.granted(7, 10 * Second, at(100));
  return out;
}

} // namespace

TEST(Lease, CountsFromTheRequestTimeMinusMargins) {
  Lease lease = granted();
  EXPECT_TRUE(lease.mayAct(at(108.49)));
  EXPECT_FALSE(lease.mayAct(at(108.5)));
  EXPECT_FALSE(lease.hasLapsed(at(109.49)));
  EXPECT_TRUE(lease.hasLapsed(at(109.5)));
  EXPECT_EQ(lease.renewAt(), at(100) + 10 * Second / 3);
}

TEST(Lease, MayNotActAfterALongPause) {
  Lease lease = granted();
  EXPECT_FALSE(lease.mayAct(at(3600)));
  // A renewal that was requested before the pause doesn't cover the time after
  // it.
  lease.renewed(7, 10 * Second, at(103));
  EXPECT_FALSE(lease.mayAct(at(3600)));
}

TEST(Lease, RenewalExtendsOrEndsTheLease) {
  Lease lease = granted();
  lease.renewed(7, 10 * Second, at(104));
  EXPECT_TRUE(lease.mayAct(at(112)));
  lease.renewed(7, Duration(0), at(105));
  EXPECT_EQ(lease.id(), 0U);
  lease = granted();
  lease.renewed(8, 10 * Second, at(104));
  EXPECT_TRUE(lease.hasLapsed(at(104)));
}

TEST(Lease, NeverExceedsTheGrantedTime) {
  Lease lease(LeaseInit{});
  lease.granted(7, 2 * Second, at(0));
  EXPECT_TRUE(lease.hasLapsed(at(2)));
  lease.granted(7, 3600 * Second, at(0));
  EXPECT_TRUE(lease.hasLapsed(at(10)));
}

TEST(FenceGuard, RefusesLowerTokens) {
  FenceGuard guard;
  Error reason;
  EXPECT_FALSE(guard.admit(0, reason));
  EXPECT_TRUE(guard.admit(5, reason));
  EXPECT_TRUE(guard.admit(5, reason));
  guard.observe(9);
  EXPECT_FALSE(guard.admit(8, reason));
  EXPECT_EQ(reason.Kind, ErrorKind::Conflict);
  EXPECT_TRUE(guard.admit(10, reason));
}

TEST(FenceGuard, DetectsAVersionThatWasNotOrdered) {
  FenceGuard guard;
  EXPECT_FALSE(guard.isUnexpected("v1", ""));
  guard.expect("v2", "a");
  EXPECT_FALSE(guard.isUnexpected("v2", "a"));
  EXPECT_TRUE(guard.isUnexpected("v1", "a"));
  EXPECT_TRUE(guard.isUnexpected("v2", ""));
}

} // namespace daisytack::swap
