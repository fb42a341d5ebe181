/// Many processes share the few places of a store's feed of changes.

#include "direct/call_pacing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace daisytack::direct {
namespace {

constexpr uint32_t Places = 12;

TEST(CallPacing, FewProcessesWaitLong) {
  CallPacing pacing({});
  EXPECT_GE(pacing.wait(4, Places), Duration(900'000));
  EXPECT_LE(pacing.wait(4, Places), Duration(1'000'000));
}

TEST(CallPacing, ManyProcessesWaitShortAndPauseLonger) {
  CallPacing pacing({});
  EXPECT_EQ(pacing.wait(26, Places), Duration(200'000));
  uint64_t middle = 512;
  EXPECT_GT(pacing.pauseAfter(Duration(200'000), 26, Places, middle),
            Duration(600'000));
  // A call that a change ended at once costs no place.
  EXPECT_LT(pacing.pauseAfter(Duration(3'000), 26, Places, middle),
            Duration(450'000));
}

TEST(CallPacing, PausesDiffer) {
  CallPacing pacing({});
  EXPECT_LT(pacing.pauseAfter(Duration(0), 4, Places, 0),
            pacing.pauseAfter(Duration(0), 4, Places, 1023));
}

TEST(CallPacing, NothingKnownIsNoDivisionByZero) {
  CallPacing pacing({});
  EXPECT_GT(pacing.wait(0, 0), Duration::zero());
  EXPECT_GT(pacing.pauseAfter(Duration(1), 0, 0, 7), Duration::zero());
}

/// The calls that all processes have open on average stay below the places,
/// however many there are, when every call is kept waiting to its end.
RC_GTEST_PROP(CallPacing, OpenCallsStayBelowPlaces, ()) {
  auto processes = *rc::gen::inRange<size_t>(1, 2000);
  auto places = *rc::gen::inRange<uint32_t>(2, 64);
  CallPacing pacing({});
  Duration wait = pacing.wait(processes, places);
  double open = 0;
  for (uint64_t random : {0, 256, 512, 768, 1023}) {
    Duration pause = pacing.pauseAfter(wait, processes, places, random);
    double cycle = static_cast<double>((wait + pause).count());
    open += static_cast<double>(processes) * static_cast<double>(wait.count()) /
            cycle / 5;
  }
  RC_ASSERT(open < places);
}

} // namespace
} // namespace daisytack::direct
