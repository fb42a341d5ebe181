#include "base/decision_log.h"

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include <algorithm>

namespace daisytack {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{Duration(1'000'000'000)};

/// A pipe that accepts at most Room bytes.
struct Pipe {
  std::string Text;
  size_t Room = SIZE_MAX;

  DecisionLog::Sink sink() {
    return [this](std::string_view block) {
      size_t n = std::min(block.size(), Room);
      Room -= n;
      Text += block.substr(0, n);
      return n;
    };
  }
  size_t lines() const {
    return static_cast<size_t>(std::count(Text.begin(), Text.end(), '\n'));
  }
};

DecisionLogSettings smallLog() {
  DecisionLogSettings out;
  out.LinesPerSecond = 10;
  out.NotableReserve = 0.5;
  return out;
}

TEST(DecisionLog, WritesOneObjectALine) {
  Pipe pipe;
  Metrics metrics;
  DecisionLog log(smallLog(), "e1", pipe.sink(), metrics);
  log.write(LogPriority::Notable, "started", {{"text", "two\nlines"}}, Start);
  EXPECT_EQ(pipe.Text, "");
  log.flush(Start);
  ASSERT_EQ(pipe.lines(), 1);
  auto object = boost::json::parse(pipe.Text).as_object();
  EXPECT_EQ(object["event"], "started");
  EXPECT_EQ(object["process"], "e1");
  EXPECT_EQ(object["at_us"], 1'000'000'000);
  EXPECT_EQ(object["text"], "two\nlines");
}

TEST(DecisionLog, ReservesCapacityForNotableLinesAndReportsDrops) {
  Pipe pipe;
  Metrics metrics;
  DecisionLog log(smallLog(), "e1", pipe.sink(), metrics);
  for (int i = 0; i < 100; ++i)
    log.write(LogPriority::Routine, "routine", {}, Start);
  for (int i = 0; i < 100; ++i)
    log.write(LogPriority::Notable, "notable", {}, Start);
  log.flush(Start);
  EXPECT_EQ(pipe.lines(), 10);
  log.flush(Start + 1s);
  EXPECT_NE(pipe.Text.find("\"event\":\"log_lines_left_out\",\"lines\":190"),
            std::string::npos)
      << pipe.Text;
}

/// Guards against a line that takes as much memory as the text of a peer's or
/// a service's message, several times that when it is escaped: the limit on the
/// buffer was only checked before a line was added.
TEST(DecisionLog, LimitsTheTextsOfALine) {
  Pipe pipe;
  Metrics metrics;
  DecisionLog log(smallLog(), "e1", pipe.sink(), metrics);
  for (const char *part : {"\x01", "x", "\xE2\x82\xAC"}) {
    std::string text;
    while (text.size() < 1'000'000)
      text += part;
    log.write(LogPriority::Notable, "odd", {{"key", text}}, Start);
  }
  log.flush(Start);
  EXPECT_LE(pipe.Text.size(), 50'000U);
  ASSERT_EQ(pipe.lines(), 3);
  size_t last = pipe.Text.rfind('\n', pipe.Text.size() - 2) + 1;
  boost::json::value line = boost::json::parse(pipe.Text.substr(last));
  EXPECT_TRUE(line.at("key").as_string().ends_with("\xE2\x82\xAC..."));
}

/// Guards against incidents without an explanation: half of the requests that
/// began on weights past the rollout limit had no line, as failures had used up
/// the rate.
TEST(DecisionLog, KeepsAuditLinesWhenOthersUseUpTheRate) {
  Pipe pipe;
  Metrics metrics;
  DecisionLogSettings settings = smallLog();
  settings.AuditLinesPerSecond = 4;
  DecisionLog log(settings, "e1", pipe.sink(), metrics);
  for (int i = 0; i < 100; ++i)
    log.write(LogPriority::Notable, "notable", {}, Start);
  for (int i = 0; i < 5; ++i)
    log.write(LogPriority::Audit, "audit", {{"n", i}}, Start);
  log.flush(Start);
  EXPECT_EQ(pipe.lines(), 14);
  EXPECT_NE(pipe.Text.find("\"n\":3"), std::string::npos) << pipe.Text;
  EXPECT_EQ(pipe.Text.find("\"n\":4"), std::string::npos) << pipe.Text;
}

TEST(DecisionLog, LeavesTheRateToOthersWhenAuditLinesUseUpTheirOwn) {
  Pipe pipe;
  Metrics metrics;
  DecisionLogSettings settings = smallLog();
  settings.AuditLinesPerSecond = 4;
  DecisionLog log(settings, "e1", pipe.sink(), metrics);
  for (int i = 0; i < 100; ++i)
    log.write(LogPriority::Audit, "audit", {}, Start);
  for (int i = 0; i < 100; ++i)
    log.write(LogPriority::Routine, "routine", {}, Start);
  log.flush(Start);
  EXPECT_EQ(pipe.lines(), 9);
}

TEST(DecisionLog, FlushesBufferedLinesOnDestruction) {
  Pipe pipe;
  Metrics metrics;
  {
    DecisionLog log(smallLog(), "e1", pipe.sink(), metrics);
    log.write(LogPriority::Notable, "draining", {}, Start);
  }
  EXPECT_EQ(pipe.lines(), 1) << pipe.Text;
}

TEST(DecisionLog, DropsOnlyWholeLinesWhenThePipeIsFull) {
  Pipe pipe;
  pipe.Room = 100;
  Metrics metrics;
  DecisionLogSettings settings;
  settings.LinesPerSecond = 1'000'000;
  settings.BufferBytes = 4096;
  DecisionLog log(settings, "e1", pipe.sink(), metrics);
  for (int i = 0; i < 1000; ++i) {
    log.write(LogPriority::Notable, "event", {{"n", i}}, Start);
    log.flush(Start);
  }
  EXPECT_EQ(pipe.Text.size(), 100);
  pipe.Room = SIZE_MAX;
  log.flush(Start + 2s);
  log.flush(Start + 2s);
  // Buffered lines come out whole, continuing where the pipe stopped.
  size_t begin = 0;
  for (size_t end = pipe.Text.find('\n'); end != std::string::npos;
       end = pipe.Text.find('\n', begin)) {
    boost::system::error_code ec;
    boost::json::parse(pipe.Text.substr(begin, end - begin), ec);
    EXPECT_FALSE(ec) << pipe.Text.substr(begin, end - begin);
    begin = end + 1;
  }
  EXPECT_LE(pipe.Text.size(), 100 + settings.BufferBytes + 300);
  EXPECT_NE(pipe.Text.find("log_lines_left_out"), std::string::npos);
}

} // namespace
} // namespace daisytack
