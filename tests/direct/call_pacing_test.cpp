/// Many processes share the few slots of a store's feed of changes.

#include "direct/call_pacing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace daisytack::direct {
namespace {

constexpr uint32_t Slots = 12;

TEST(CallPacing, FewProcessesUseLongCalls) {
  CallPacing pacing({});
  EXPECT_GE(pacing.wait(4, Slots), Duration(900'000));
  EXPECT_LE(pacing.wait(4, Slots), Duration(1'000'000));
}

TEST(CallPacing, ManyProcessesUseShortCallsAndLongPauses) {
  CallPacing pacing({});
  EXPECT_EQ(pacing.wait(26, Slots), Duration(200'000));
  uint64_t noJitter = 512;
  EXPECT_GT(pacing.pauseAfter(Duration(200'000), 26, Slots, noJitter),
            Duration(600'000));
  // A call that a change ended at once has hardly used a slot.
  EXPECT_LT(pacing.pauseAfter(Duration(3'000), 26, Slots, noJitter),
            Duration(450'000));
}

TEST(CallPacing, PausesVaryWithTheRandomNumber) {
  CallPacing pacing({});
  EXPECT_LT(pacing.pauseAfter(Duration(0), 4, Slots, 0),
            pacing.pauseAfter(Duration(0), 4, Slots, 1023));
}

TEST(CallPacing, HandlesZeroProcessesAndSlots) {
  CallPacing pacing({});
  EXPECT_GT(pacing.wait(0, 0), Duration::zero());
  EXPECT_GT(pacing.pauseAfter(Duration(1), 0, 0, 7), Duration::zero());
}

/// Fetches of kept context must stay possible from one answer to the next.
RC_GTEST_PROP(CallPacing, NoIntervalExceedsTheMaximum, ()) {
  auto processes = *rc::gen::inRange<size_t>(0, 2000);
  auto slots = *rc::gen::inRange<uint32_t>(0, 64);
  CallPacing pacing({});
  Duration wait = pacing.wait(processes, slots);
  Duration call(*rc::gen::inRange<int64_t>(0, wait.count() + 1));
  auto random = *rc::gen::arbitrary<uint64_t>();
  RC_ASSERT(call + pacing.pauseAfter(call, processes, slots, random) <=
            pacing.maxInterval(processes, slots));
}

/// The average number of open calls stays below the number of slots, whatever
/// the number of processes, even when no call ends early.
RC_GTEST_PROP(CallPacing, OpenCallsStayBelowSlots, ()) {
  auto processes = *rc::gen::inRange<size_t>(1, 2000);
  auto slots = *rc::gen::inRange<uint32_t>(2, 64);
  CallPacing pacing({});
  Duration wait = pacing.wait(processes, slots);
  double open = 0;
  for (uint64_t random : {0, 256, 512, 768, 1023}) {
    Duration pause = pacing.pauseAfter(wait, processes, slots, random);
    double cycle = static_cast<double>((wait + pause).count());
    open += static_cast<double>(processes) * static_cast<double>(wait.count()) /
            cycle / 5;
  }
  RC_ASSERT(open < slots);
}

} // namespace
} // namespace daisytack::direct
