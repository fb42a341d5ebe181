#include "admission/queue_limit.h"

#include <gtest/gtest.h>

namespace daisytack::admission {
namespace {

using namespace std::chrono_literals;

balancing::ServerLoadView waiting(uint64_t tokens, uint64_t urgent) {
  balancing::ServerLoadView out;
  out.WaitingTokens = tokens;
  out.UrgentTokens = urgent;
  return out;
}

/// Guards against refusing a request with a target of two seconds for a queue
/// of 300 ms, because another route of its service has a target of 500 ms.
TEST(QueueLimit, FollowsTheTargetOfTheRequest) {
  EXPECT_EQ(queueLimitMs({}, {2s, 500ms}, 1), 1200);
  EXPECT_EQ(queueLimitMs({}, {500ms, 500ms}, 1), 300);
  EXPECT_EQ(queueLimitMs({}, {500ms, 500ms}, 0), 450);
  EXPECT_EQ(queueLimitMs({}, {0ms, 500ms}, 1), 300);
  EXPECT_FALSE(queueLimitMs({}, {0ms, 0ms}, 1));
}

TEST(QueueLimit, FollowsTheLowestTargetOfTheServiceIfSwitchedOff) {
  QueueLimitSettings settings;
  settings.IsByTarget = false;
  EXPECT_EQ(queueLimitMs(settings, {2s, 500ms}, 1), 300);
  EXPECT_EQ(tokensAhead(settings, waiting(50'000, 1000), 0), 50'000);
}

/// Guards against refusing urgent requests for a queue of less urgent ones,
/// which engines serve after them.
TEST(QueueLimit, CountsOnlyWhatIsServedBefore) {
  EXPECT_EQ(tokensAhead({}, waiting(50'000, 1000), 1), 50'000);
  EXPECT_EQ(tokensAhead({}, waiting(50'000, 1000), 0), 5096);
  EXPECT_EQ(tokensAhead({}, waiting(1500, 1000), 0), 1500);
  EXPECT_EQ(tokensAhead({}, waiting(0, 0), 0), 0);
  EXPECT_EQ(tokensAhead({}, waiting(900, 1000), 0), 900); // Late reports.
}

} // namespace
} // namespace daisytack::admission
