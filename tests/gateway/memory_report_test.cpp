// Guards against a process that is ended for its memory without a line before.
#include "gateway/memory_report.h"

#include <gtest/gtest.h>

#include <vector>

namespace daisytack::gateway {

namespace {

constexpr uint64_t Limit = 100'000'000;
constexpr uint64_t Percent = Limit / 100;

} // namespace

TEST(MemoryThresholds, TellEachPassageOnce) {
  MemoryThresholds thresholds(Limit);
  EXPECT_EQ(thresholds.onUsage(79 * Percent), std::nullopt);
  EXPECT_EQ(thresholds.onUsage(80 * Percent), (MemoryChange{80, true}));
  EXPECT_EQ(thresholds.onUsage(94 * Percent), std::nullopt);
  EXPECT_EQ(thresholds.onUsage(95 * Percent), (MemoryChange{95, true}));
  EXPECT_EQ(thresholds.onUsage(120 * Percent), std::nullopt);
  EXPECT_EQ(thresholds.onUsage(90 * Percent), std::nullopt);
  EXPECT_EQ(thresholds.onUsage(89 * Percent), (MemoryChange{95, false}));
  EXPECT_EQ(thresholds.onUsage(75 * Percent), std::nullopt);
  EXPECT_EQ(thresholds.onUsage(74 * Percent), (MemoryChange{80, false}));
  EXPECT_EQ(thresholds.onUsage(0), std::nullopt);
}

TEST(MemoryThresholds, TellOneOfSeveralThresholdsPassedAtOnce) {
  MemoryThresholds thresholds(Limit);
  EXPECT_EQ(thresholds.onUsage(97 * Percent), (MemoryChange{95, true}));
  EXPECT_EQ(thresholds.onUsage(10 * Percent), (MemoryChange{80, false}));
  EXPECT_EQ(thresholds.onUsage(97 * Percent), (MemoryChange{95, true}));
}

TEST(MemoryReport, WritesLinesAndMetrics) {
  Metrics metrics;
  std::string lines;
  ProcessUsage usage;
  DecisionLog log(
      {}, "entry",
      [&](std::string_view block) {
        lines += block;
        return block.size();
      },
      metrics);
  MemoryReport report(
      Limit,
      [] {
        return DecisionLog::Fields{{"connections", 7}};
      },
      metrics, log);
  for (uint64_t percent : {10, 96, 97, 20}) {
    usage.ResidentBytes = percent * Percent;
    usage.PeakResidentBytes =
        std::max(usage.PeakResidentBytes, usage.ResidentBytes);
    report.onUsage(usage, TimePoint{});
  }
  log.flush(TimePoint{});
  auto count = [&](const std::string &text) {
    size_t n = 0;
    for (size_t at = 0; (at = lines.find(text, at)) != std::string::npos; ++at)
      ++n;
    return n;
  };
  EXPECT_EQ(count("\"event\":\"memory_high\",\"connections\":7,\"percent\":95,"
                  "\"resident_mb\":96,\"peak_mb\":96,\"limit_mb\":100"),
            1U)
      << lines;
  EXPECT_EQ(count("\"event\":\"memory_fell\",\"connections\":7,\"percent\":80,"
                  "\"resident_mb\":20,\"peak_mb\":97,\"limit_mb\":100"),
            1U)
      << lines;
  EXPECT_EQ(count("\n"), 2U) << lines;
  std::string text = metrics.prometheusText();
  for (const char *line : {"daisytack_process_resident_bytes 20000000\n",
                           "daisytack_process_peak_resident_bytes 97000000\n",
                           "daisytack_process_memory_limit_bytes 100000000\n"})
    EXPECT_NE(text.find(line), std::string::npos) << line << text;
}

} // namespace daisytack::gateway
