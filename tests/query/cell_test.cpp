#include "query/cell.h"

#include "base/request_id.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisytack::query {

TEST(Time, RoundTripsAndRejectsInvalidText) {
  EXPECT_EQ(timeText(*parseTime("2026-12-02T16:00:00Z")),
            "2026-12-02T16:00:00.000000Z");
  EXPECT_EQ(*parseTime("1970-01-01T00:00:01.5Z"),
            WallTime(Duration(1'500'000)));
  for (const char *bad :
       {"", "2026-12-02", "2026-12-02T16:00:00", "2026-02-30T00:00:00Z",
        "2026-12-02T24:00:00Z", "2026-12-02 16:00:00Z", "x026-12-02T16:00:00Z",
        "2026-12-02T16:00:00.Z", "2026-12-02T16:00:00.1234567Z"})
    EXPECT_FALSE(parseTime(bad)) << bad;
}

RC_GTEST_PROP(Time, EveryTimeOfACenturyRoundTrips, ()) {
  constexpr int64_t Century = 3'155'760'000'000'000;
  WallTime time(Duration(*rc::gen::inRange<int64_t>(0, Century)));
  RC_ASSERT(parseTime(timeText(time)) == time);
}

RC_GTEST_PROP(Cells, ParsedCellRoundTripsForAnyText,
              (const std::string &text)) {
  for (int i = 0; i <= static_cast<int>(CellType::Duration); ++i) {
    auto type = static_cast<CellType>(i);
    auto cell = parseCell(type, text);
    if (cell)
      RC_ASSERT(parseCell(type, cellText(*cell, type)) == cell);
  }
}

// If an identifier didn't identify its entry, queries about one request would
// go to the wrong process. A random source of zeros must still yield a valid
// one.
TEST(RequestIds, IdentifyIssuingEntry) {
  uint64_t seed = 7;
  RandomSource random = [&] {
    return seed = seed * 6364136223846793005ULL + 1;
  };
  RequestId id = makeRequestId("entry-1", random);
  EXPECT_TRUE(isMintedBy(id, "entry-1"));
  EXPECT_FALSE(isMintedBy(id, "entry-2"));
  EXPECT_NE(makeRequestId("entry-1", random), id);
  EXPECT_TRUE(makeRequestId("entry-1", [] { return 0; }).isValid());
}

} // namespace daisytack::query
