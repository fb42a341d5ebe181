#include "direct/store_links.h"

#include <gtest/gtest.h>

namespace daisytack::direct {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{Duration(1'000'000'000)};

TEST(StoreLinks, BlamesOnlyWhatOthersDoNotShare) {
  StoreLinks links{{}};
  Endpoint slow{"10.0.0.1", 1};
  Endpoint sound{"10.0.0.2", 1};
  for (int i = 0; i < 50; ++i) {
    links.observe(slow, 500, Start);
    links.observe(sound, 480, Start);
  }
  EXPECT_LT(links.excessMs(slow, Start), 50);
  for (int i = 0; i < 50; ++i)
    links.observe(sound, 20, Start);
  EXPECT_GT(links.excessMs(slow, Start), 400);
  EXPECT_EQ(links.excessMs(sound, Start), 0);
  EXPECT_LT(links.excessMs(slow, Start + 10s), 5); // It is tried again.
}

} // namespace
} // namespace daisytack::direct
