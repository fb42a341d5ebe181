#include "query/measures.h"
#include "query/schema.h"
#include "query/table_text.h"
#include "query/timeline_page.h"

#include "base/standard_metrics.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace daisytack::query {

namespace {

const RequestId Id{0xabcdef0000000000ULL, 1};

Event eventAt(uint64_t wall, uint32_t logical, EventKind kind,
              const std::string &subject = "") {
  Event out;
  out.At = {wall, logical};
  out.Kind = kind;
  out.Request = Id;
  out.AttemptNumber = 1;
  out.Subject = subject;
  return out;
}

Answer page(const std::string &instance, const std::vector<Event> &events) {
  Answer out;
  out.Rows = eventTable(instance, 0, events);
  return out;
}

/// Events of an entry and of an agent that interleave in time.
Timeline sample() {
  Answer entry =
      page("entry-1", {eventAt(100, 0, EventKind::RequestReceived),
                       eventAt(100, 1, EventKind::RequestOffered, "agent-1"),
                       eventAt(900, 0, EventKind::RequestAnswered)});
  Answer agent = page("agent-1", {eventAt(100, 2, EventKind::RunQueued),
                                  eventAt(300, 0, EventKind::RunStarted),
                                  eventAt(800, 0, EventKind::RunFinished)});
  agent.Gaps = {{"agent-1", 7, WallTime(Duration(100))}};
  agent.Failures = {{"agent-2", "timeout <b>"}};
  return timelineOf({agent, entry}, WallTime(Duration(50)));
}

size_t countOf(std::string_view text, std::string_view part) {
  size_t out = 0;
  for (size_t at = text.find(part); at != std::string_view::npos;
       at = text.find(part, at + 1))
    ++out;
  return out;
}

} // namespace

TEST(Timeline, OrdersByHybridTimeOverProcesses) {
  std::vector<std::string> names;
  for (const TimelineEvent &it : sample().Events)
    names.push_back(it.Name);
  EXPECT_EQ(names, (std::vector<std::string>{
                       "request_received", "request_offered", "run_queued",
                       "run_started", "run_finished", "request_answered"}));
}

TEST(Timeline, FindsFinishedAndOpenSpans) {
  Timeline it = sample();
  auto spans = spansOf(it);
  ASSERT_EQ(spans.size(), 3U);
  EXPECT_EQ(spans[0].Name, "wait");
  EXPECT_EQ(spans[0].End - spans[0].Start, Duration(200));
  EXPECT_EQ(spans[1].Name, "request");
  EXPECT_EQ(spans[2].End - spans[2].Start, Duration(500));
  it.Events.pop_back();
  EXPECT_TRUE(spansOf(it)[1].IsOpen);
}

// An entry has no run_started event. Unless the first token ended the wait, it
// would last until run_finished and include the run.
TEST(Timeline, EntryWaitEndsAtFirstToken) {
  auto spans = spansOf(
      timelineOf({page("entry-1", {eventAt(100, 0, EventKind::OfferAccepted),
                                   eventAt(700, 0, EventKind::FirstToken),
                                   eventAt(900, 0, EventKind::RunFinished)})},
                 WallTime()));
  ASSERT_EQ(spans.size(), 1U);
  EXPECT_EQ(spans[0].Name, "wait");
  EXPECT_EQ(spans[0].End - spans[0].Start, Duration(600));
}

TEST(Timeline, LeavesOutGapsBeforeTheWindow) {
  Answer old;
  old.Gaps = {{"agent-1", 7, WallTime(Duration(10))}};
  EXPECT_TRUE(timelineOf({old}, WallTime(Duration(50))).Gaps.empty());
}

TEST(Timeline, TextShowsGapsAndFailedQueries) {
  std::string text = timelineText(sample(), false);
  EXPECT_NE(text.find("gap: 7 earlier events"), std::string::npos) << text;
  EXPECT_NE(text.find("silent: agent-2"), std::string::npos);
  EXPECT_EQ(countOf(text, "\n"), 8U);
  EXPECT_EQ(text.find('\033'), std::string::npos);
}

TEST(Timeline, ChromeTraceIsWellFormed) {
  auto trace = boost::json::parse(timelineChrome(sample()));
  std::map<std::string, int> phases;
  for (const auto &it : trace.at("traceEvents").as_array()) {
    ++phases[std::string(std::string_view(it.at("ph").as_string()))];
    EXPECT_TRUE(it.at("pid").is_int64());
  }
  EXPECT_EQ(phases, (std::map<std::string, int>{
                        {"M", 2}, {"i", 7}, {"b", 3}, {"e", 3}}));
}

// Names from other processes must not inject HTML, and the page must not load
// anything from the network.
TEST(TimelinePage, IsSelfContainedAndEscaped) {
  Measures measures;
  measures.add("daisytack_link_bytes_total{direction=\"<x>\"} "
               "5\n");
  std::string html = timelinePage(sample(), measures, "a <title>");
  EXPECT_EQ(html.find("<x>"), std::string::npos);
  EXPECT_EQ(html.find("<b>"), std::string::npos);
  for (const char *outside : {"<script", "http:", "https:", "src=", "@import"})
    EXPECT_EQ(html.find(outside), std::string::npos) << outside;
  EXPECT_EQ(countOf(html, "<rect class=\"span"), 3U);
  EXPECT_EQ(countOf(html, "<circle"), 6U);
  EXPECT_FALSE(timelinePage({}, {}, "empty").empty());
}

TEST(Measures, SumsMetricsOfAllProcesses) {
  Metrics first;
  Metrics second;
  for (Metrics *it : {&first, &second}) {
    ServingMetrics serving(*it);
    auto series = serving.of("m", "bul\"letin");
    series.FirstToken.observe(0.5);
    series.PromptTokens.add(1000);
    series.RecomputedTokens.add(250);
    LinkMetrics::bytes(*it, "fetch").add(10);
  }
  Measures out;
  out.add(first.prometheusText());
  out.add(second.prometheusText());
  const ServingMeasure &it = out.Serving.at({"m", "bul\"letin"});
  EXPECT_EQ(it.requests(), 2U);
  EXPECT_EQ(it.recomputedShare(), 0.25);
  EXPECT_NEAR(it.firstTokenQuantile(0.95), 0.5, 0.3);
  EXPECT_EQ((out.LinkBytes.at("fetch")), 20U);
  EXPECT_EQ(ServingMeasure{}.firstTokenQuantile(0.5), 0);
}

// Class names beyond the maximum must share one series, or the number of series
// grows without bound.
TEST(ServingMetrics, BoundsModelClassPairs) {
  Metrics metrics;
  ServingMetrics serving(metrics);
  for (size_t i = 0; i < ServingMetrics::MaxPairs + 10; ++i)
    serving.of("m", std::to_string(i)).PromptTokens.add();
  EXPECT_EQ(serving.of("other", "other").PromptTokens.get(), 10U);
  EXPECT_EQ(serving.of("m", "0").PromptTokens.get(), 1U);
}

TEST(TableText, AlignsColumnsAndListsMissingInstances) {
  Answer it;
  it.Rows.Columns = {{"name", CellType::Text}, {"n", CellType::Integer}};
  it.Rows.Rows = {{std::string("a\033[2J"), int64_t{100}}, {{}, int64_t{7}}};
  it.Queried = 3;
  it.Answered = 2;
  it.Failures = {{"agent-2", "timeout"}};
  it.Next = "agent-1";
  EXPECT_EQ(renderAnswer(it, false), "name     n\n"
                                     "a?[2J  100\n"
                                     "-        7\n"
                                     "more instances: add 'after agent-1'\n"
                                     "1 of 3 instances did not answer:\n"
                                     "  agent-2: timeout\n");
}

} // namespace daisytack::query
