/// Guards against events that sort in the wrong order: without the timestamp of
/// a message, an agent whose clock is behind records an effect with an earlier
/// time than its cause.
#include "wire/stamped.h"

#include "base/event_ring.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisytack::wire {

namespace {

HybridClockHooks hooksOf(EventRing &ring) {
  return {[&ring] { return ring.stamp(); },
          [&ring](const HybridTime &at) { ring.observe(at); }};
}

HybridTime lastOf(const EventRing &ring) {
  return ring.read(0, 9).Events[0].At;
}

} // namespace

TEST(Stamped, AnEffectSortsAfterItsCauseThoughClocksDiffer) {
  EventRing entry(4, [] { return WallTime(Duration(9'000'000)); });
  EventRing agent(4, [] { return WallTime(Duration(1'000'000)); });
  entry.record({});
  std::string bytes = prependTimestamp(hooksOf(entry), "offer");
  Error reason;
  EXPECT_EQ(stripTimestamp(hooksOf(agent), bytes, reason), "offer");
  agent.record({});
  EXPECT_GT(lastOf(agent), lastOf(entry));
}

RC_GTEST_PROP(Stamped, RoundTripsAnyTimeAndMessage,
              (uint64_t wall, uint32_t logical, const std::string &message)) {
  HybridTime sent{wall, logical};
  HybridTime seen;
  HybridClockHooks hooks{[&] { return sent; },
                         [&](const HybridTime &at) { seen = at; }};
  Error reason;
  std::string bytes = prependTimestamp(hooks, message);
  RC_ASSERT(stripTimestamp(hooks, bytes, reason) == std::string_view(message));
  RC_ASSERT(seen == sent);
}

TEST(Stamped, RefusesTooFewBytes) {
  Error reason;
  EXPECT_FALSE(stripTimestamp({}, "elevenbytes", reason));
  EXPECT_EQ(reason.Kind, ErrorKind::ProtocolError);
  EXPECT_EQ(stripTimestamp({}, prependTimestamp({}, ""), reason), "");
}

} // namespace daisytack::wire
