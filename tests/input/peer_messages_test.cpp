/// Guards against entries that end, take memory without bound or stop following
/// because of odd numbers in other entries' messages.
#include "direct/crash_suspects.h"

#include <gtest/gtest.h>

#include <limits>

namespace daisytack {
namespace {

using namespace std::chrono_literals;

const TimePoint Now{Duration(1'000'000'000)};
const Id128 Signature{1, 2};

/// Guards against an entry that allocates memory for each of the incidents that
/// a datagram claims, 34 GB for the greatest number.
TEST(OddPeerMessage, ClaimedIncidentsTakeNoMemory) {
  direct::CrashSuspects suspects({});
  suspects.onPeerReports({{{Signature, UINT32_MAX, {{7, 0}}, 0}}, {}, {}, {}},
                         Now);
  EXPECT_GE(suspects.incidents(Signature), 2U);
  EXPECT_LE(suspects.incidents(Signature), 64U);
}

/// Guards against a quarantine that ends before it began, whose remaining time
/// overflows.
TEST(OddPeerMessage, NegativeTimeQuarantinesNothing) {
  for (int64_t left : {int64_t{-1}, std::numeric_limits<int64_t>::min()}) {
    direct::CrashSuspects suspects({});
    EXPECT_TRUE(
        suspects
            .onPeerReports({{{Signature, 3, {{7, 0}}, left}}, {}, {}, {}}, Now)
            .empty())
        << left;
    EXPECT_TRUE(suspects.quarantined(Now).empty());
  }
}

} // namespace
} // namespace daisytack
