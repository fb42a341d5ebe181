/// The fault matrix of streams on the direct path: every point of a stream at
/// which its server can end it, and every way in which the connection can end,
/// with servers of two software versions. Prints a table of the outcomes.
#include "direct/flow_harness.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <string>
#include <vector>

namespace daisytack::direct {
namespace {

/// A point of the stream at which its first server ends it.
struct Point {
  const char *Name;
  std::string Sent; ///< What the server has sent by then.
  size_t Events;    ///< Complete events in it.
};

struct End {
  const char *Name;
  bool IsCloseDelimited;
  Error Reason; ///< None: the connection or the framing ended in order.
};

const std::string Stream = "id: 1\n\nid: 2\n\nid: 3\n\n";
constexpr size_t StreamEvents = 3;

std::vector<Point> points() {
  return {{"before the first byte", "", 0},
          {"inside the first event", "id: 1\n", 0},
          {"after the first event", "id: 1\n\n", 1},
          {"inside a later event", "id: 1\n\nid: 2", 1},
          {"inside the last event", "id: 1\n\nid: 2\n\nid: 3\n", 2},
          {"after the last event", Stream, 3}};
}

std::vector<End> ends() {
  const Error lost{ErrorKind::ServerLost, "lost"};
  return {{"framing ends", false, {}},
          {"framed, reset", false, lost},
          {"unframed, closed", true, {}},
          {"unframed, reset", true, lost},
          {"timeout", true, {ErrorKind::DeadlinePassed, "late"}},
          {"without end", false, {ErrorKind::ProtocolError, "too large"}}};
}

/// What the caller has at the end.
struct Outcome {
  std::string Text;
  bool IsComplete = false;
  bool IsMixed = false; ///< Events of two software versions.
  size_t Sends = 0;
};

/// Servers s1 and s3 have version v1, and s2 and s4 version v2. Each further
/// server answers whole, from the event after the one that the attempt names.
Outcome run(const Route &route, const Point &point, const End &end) {
  FlowHarness it(route, 4);
  it.Versions = {{"s2", "v2"}, {"s4", "v2"}};
  it.Flow.start(FlowStart);
  ServerHead head = headOf(200);
  head.IsCloseDelimited = end.IsCloseDelimited;
  it.Flow.onHead(1, head, FlowStart);
  if (!point.Sent.empty())
    it.Flow.onData(1, point.Sent, FlowStart);
  it.Flow.onDone(1, end.Reason, false, FlowStart);
  Outcome out;
  while (!it.Flow.isEnded()) {
    const AttemptOrder &order = it.SentOrders.back();
    out.IsMixed |= order.LastEventId && order.SoftwareVersion != "v1";
    size_t from = order.LastEventId ? std::stoul(*order.LastEventId) : 0;
    it.answer(it.Flow.attempts(), headOf(200), Stream.substr(from * 7));
  }
  for (const std::string &line : it.Log) {
    if (line.starts_with("write "))
      out.Text += line.substr(6);
    if (line.starts_with("answer 200 "))
      out.Text += line.substr(11);
  }
  out.IsComplete = it.hasLogged("end") || it.FinalStatus == 200;
  out.Sends = it.SentOrders.size();
  return out;
}

std::string cellText(const Outcome &outcome) {
  if (outcome.IsComplete)
    return outcome.Sends > 1 ? "resumed" : "whole";
  return outcome.Text.empty() ? "502" : "aborted";
}

/// Guards against answers that end as complete without being it, events that
/// come twice or from two software versions, and requests that are sent again
/// although they may run only once.
class StreamMatrix : public testing::TestWithParam<bool> {};

TEST_P(StreamMatrix, EveryEndAtEveryPoint) {
  Route route = routeFor(RouteKind::Stream, 3);
  route.IsResumable = GetParam();
  std::printf("%s\n%-24s", route.IsResumable ? "resumable" : "not resumable",
              "");
  for (const End &end : ends())
    std::printf("%-18s", end.Name);
  for (const Point &point : points()) {
    std::printf("\n%-24s", point.Name);
    for (const End &end : ends()) {
      Outcome out = run(route, point, end);
      std::string cell = std::string(point.Name) + ", " + end.Name;
      std::printf("%-18s", cellText(out).c_str());
      EXPECT_TRUE(Stream.starts_with(out.Text)) << cell << ": " << out.Text;
      EXPECT_FALSE(out.IsMixed) << cell;
      // Only a server that ends its stream between events can end it early
      // without anyone noticing.
      bool isInside = point.Sent.size() != point.Events * 7;
      bool isEndless = end.IsCloseDelimited && point.Sent.empty();
      bool canLookWhole = !end.Reason && !isInside && !isEndless;
      if (out.IsComplete && !canLookWhole) {
        EXPECT_EQ(out.Text, Stream) << cell;
      }
      if (!route.IsResumable) {
        EXPECT_EQ(out.Sends, 1U) << cell;
      }
      if (route.IsResumable && !canLookWhole) {
        EXPECT_TRUE(out.IsComplete) << cell;
      }
      if (point.Events == StreamEvents && !end.Reason) {
        EXPECT_EQ(out.Text, Stream) << cell;
      }
    }
  }
  std::printf("\n");
}

INSTANTIATE_TEST_SUITE_P(, StreamMatrix, testing::Bool());

} // namespace
} // namespace daisytack::direct
