#include "balancing/prefill_rate.h"

#include <gtest/gtest.h>

namespace daisytack::balancing {
namespace {

using namespace std::chrono_literals;

TEST(PrefillRate, FollowsTheFasterObservations) {
  PrefillRate rates{{}};
  EXPECT_EQ(rates.tokensPerMs("engines"), 112);
  // Engines of 55 tokens per millisecond. Every second prompt has another delay
  // of up to a second.
  for (int i = 0; i < 60; ++i) {
    auto otherDelay = i % 2 ? 0ms : std::chrono::milliseconds(17 * i);
    rates.observe("engines", 11'000, 0, 250ms + otherDelay);
  }
  EXPECT_NEAR(rates.tokensPerMs("engines"), 55, 6);
  EXPECT_EQ(rates.tokensPerMs("others"), 112);
}

TEST(PrefillRate, CorrectsAWrongInitialEstimateWithinAFewPrompts) {
  PrefillRate rates{{}};
  for (int i = 0; i < 14; ++i)
    rates.observe("engines", 11'000, 0, 250ms);
  EXPECT_NEAR(rates.tokensPerMs("engines"), 55, 8);
}

TEST(PrefillRate, CountsQueuedTokensAndIgnoresShortPrompts) {
  PrefillRate rates{{}};
  for (int i = 0; i < 100; ++i) {
    rates.observe("engines", 11'000, 11'000, 450ms);
    rates.observe("engines", 500, 0, 450ms);
    rates.observe("engines", 0, 0, 450ms);
    rates.observe("engines", 11'000, 0, 10ms); // Less than BaseMs.
  }
  EXPECT_NEAR(rates.tokensPerMs("engines"), 55, 3);
}

} // namespace
} // namespace daisytack::balancing
