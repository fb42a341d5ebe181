#include "base/event_ring.h"
#include "base/metrics.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <thread>

namespace daisytack {

namespace {

WallTime at(int64_t micros) { return WallTime(Duration(micros)); }

Event named(const std::string &subject) {
  Event out;
  out.Subject = subject;
  return out;
}

} // namespace

TEST(Events, EveryKindHasAName) {
  for (int i = 0; i <= static_cast<int>(EventKind::CommandRefused); ++i) {
    auto kind = static_cast<EventKind>(i);
    EXPECT_EQ(parseEventKind(eventName(kind)), kind);
  }
  EXPECT_EQ(eventName(EventKind::OfferAccepted), "offer_accepted");
  EXPECT_EQ(eventName(EventKind::PeerRejected), "peer_rejected");
  EXPECT_FALSE(parseEventKind("none_such"));
}

TEST(EventRing, OverwritesTheOldestAndShowsTheGap) {
  int64_t now = 100;
  EventRing ring(3, [&] { return at(now++); });
  for (int i = 0; i < 5; ++i)
    ring.record(named(std::to_string(i)));
  auto page = ring.read(0, 2);
  EXPECT_EQ(page.FirstSequence, 2U);
  EXPECT_EQ(page.NextSequence, 4U);
  ASSERT_EQ(page.Events.size(), 2U);
  EXPECT_EQ(page.Events[0].Subject, "2");
  EXPECT_EQ(ring.read(page.NextSequence, 10).Events.size(), 1U);
  EXPECT_TRUE(ring.read(99, 10).Events.empty());
  EXPECT_EQ(ring.read(99, 10).NextSequence, 5U);
}

TEST(HybridClock, EffectSortsAfterCauseDespiteClockSkew) {
  HybridClock ahead;
  HybridClock behind;
  HybridTime cause = ahead.tick(at(5'000'000));
  behind.observe(cause, at(1'000'000));
  EXPECT_GT(behind.tick(at(1'000'001)), cause);
}

TEST(HybridClock, IncreasesWhenTheWallClockStepsBack) {
  HybridClock it;
  HybridTime first = it.tick(at(1000));
  HybridTime second = it.tick(at(10));
  EXPECT_GT(second, first);
  EXPECT_GT(it.tick(at(1000)), second);
}

TEST(HybridClock, IgnoresARemoteTimeTooFarAhead) {
  HybridClock it;
  it.observe({UINT64_MAX, 0}, at(1000));
  EXPECT_EQ(it.tick(at(2000)).Wall, 2000U);
}

TEST(Distribution, CountsEveryValueOnce) {
  Distribution it(Distribution::Unit::Seconds);
  for (double value : {0.0, -1.0, 1e-6, 0.1, 999.0, 1e9})
    it.observe(value);
  EXPECT_EQ(it.count(), 6U);
  EXPECT_EQ(it.buckets().back().second, 6U);
  EXPECT_TRUE(std::isinf(it.buckets().back().first));
  EXPECT_EQ(it.buckets().front().second, 3U);
}

TEST(Distribution, QuantileIsWithinOneBin) {
  Distribution it(Distribution::Unit::Seconds);
  for (int i = 1; i <= 1000; ++i)
    it.observe(Duration(i * 1000));
  EXPECT_NEAR(it.quantile(0.5), 0.5, 0.5 * 0.6);
  EXPECT_GE(it.quantile(0.5), 0.5);
  EXPECT_EQ(Distribution(Distribution::Unit::Share).quantile(0.5), 0);
}

TEST(Distribution, ShareIncludesBothBounds) {
  Distribution it(Distribution::Unit::Share);
  it.observe(0.0);
  it.observe(1.0);
  EXPECT_EQ(it.buckets().size(), 21U);
  EXPECT_EQ(it.buckets().front().second, 1U);
  EXPECT_EQ(it.buckets()[19].second, 2U);
  EXPECT_EQ(it.sum(), 1.0);
}

TEST(Distribution, CountsAllObservationsAcrossThreads) {
  Distribution it(Distribution::Unit::Seconds);
  {
    std::vector<std::jthread> threads;
    for (int i = 0; i < 4; ++i)
      threads.emplace_back([&] {
        for (int n = 0; n < 10'000; ++n)
          it.observe(0.5);
      });
  }
  EXPECT_EQ(it.count(), 40'000U);
  EXPECT_EQ(it.sum(), 20'000.0);
}

TEST(Metrics, WritesPrometheusText) {
  Metrics it;
  it.counter("a_total", "All a.", {{"kind", "x\"y"}}).add(3);
  it.gauge("b", "Some b.").set(-2);
  it.distribution("c_seconds", "Time.", Distribution::Unit::Seconds)
      .observe(Duration(1));
  std::string text = it.prometheusText();
  for (const char *line :
       {"# TYPE a_total counter\n", "a_total{kind=\"x\\\"y\"} 3\n",
        "# HELP b Some b.\n", "b -2\n", "c_seconds_bucket{le=\"1e-05\"} 1\n",
        "c_seconds_bucket{le=\"+Inf\"} 1\n", "c_seconds_sum 1e-06\n",
        "c_seconds_count 1\n"})
    EXPECT_NE(text.find(line), std::string::npos) << line << text;
}

TEST(Metrics, TheSameNameIsTheSameSeries) {
  Metrics it;
  it.counter("a_total", "All a.").add();
  it.counter("a_total", "All a.").add();
  EXPECT_EQ(it.counter("a_total", "All a.").get(), 2U);
}

} // namespace daisytack
