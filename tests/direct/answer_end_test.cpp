/// Tests of answers whose connection ends: whether what has arrived is whole.
#include "direct/flow_harness.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisytack::direct {
namespace {

using Lines = std::vector<std::string>;

ServerHead closeDelimited(unsigned status = 200) {
  ServerHead out = headOf(status);
  out.IsCloseDelimited = true;
  return out;
}

Route streamRoute(bool isResumable, uint32_t attempts = 2) {
  Route out = routeFor(RouteKind::Stream, attempts);
  out.IsResumable = isResumable;
  return out;
}

/// Guards against a stream that broke off inside its first event reaching the
/// caller as a complete answer.
TEST(AnswerEnd, StreamEndingInsideItsFirstEventIsNoAnswer) {
  FlowHarness it(streamRoute(false));
  it.Flow.start(FlowStart);
  it.answer(1, closeDelimited(), "id: 1\ndata: a");
  EXPECT_EQ(it.Log, (Lines{"send s1", "error 502", "ended"}));
  EXPECT_NE(it.Results.at(0), AttemptResult::Answered);
}

/// Guards against a stream that broke off inside a later event ending as
/// complete.
TEST(AnswerEnd, StreamEndingInsideALaterEventIsAborted) {
  FlowHarness it(streamRoute(false));
  it.Flow.start(FlowStart);
  it.answer(1, closeDelimited(), "id: 1\n\nid: 2\ndata");
  EXPECT_EQ(it.Log, (Lines{"send s1", "begin 200", "write id: 1\n\n", "break",
                           "ended"}));
  EXPECT_NE(it.Results.at(0), AttemptResult::Answered);
}

/// Guards against a resumable stream that broke off inside an event neither
/// being resumed nor aborted.
TEST(AnswerEnd, ResumableStreamEndingInsideAnEventIsResumed) {
  FlowHarness it(streamRoute(true));
  it.Flow.start(FlowStart);
  it.answer(1, closeDelimited(), "id: 1\n\nid: 2\ndata");
  ASSERT_EQ(it.SentOrders.size(), 2);
  EXPECT_EQ(it.SentOrders[1].LastEventId, "1");
  it.answer(2, closeDelimited(), "id: 2\n\n");
  EXPECT_EQ(it.Log, (Lines{"send s1", "begin 200", "write id: 1\n\n", "send s2",
                           "write id: 2\n\n", "end", "ended"}));
}

/// Guards against a missing empty line being taken for the end of an event.
TEST(AnswerEnd, StreamWithoutItsLastEmptyLineIsBrokenOff) {
  for (const char *text : {"id: 1\r\n", "id: 1\n", "id: 1\r", "id: 1\r\n\r"}) {
    FlowHarness it(streamRoute(false));
    it.Flow.start(FlowStart);
    it.answer(1, closeDelimited(), text);
    EXPECT_TRUE(it.hasLogged("error 502")) << text;
  }
}

/// Guards against an event that is forwarded in pieces hiding that the stream
/// broke off inside it, and against a resumption that would repeat its pieces.
TEST(AnswerEnd, StreamEndingInsideAnEventForwardedInPiecesIsAborted) {
  FlowHarness it(streamRoute(true, 3));
  it.Flow.start(FlowStart);
  it.Flow.onHead(1, closeDelimited(), FlowStart);
  it.Flow.onData(1, "id: 1\n\n", FlowStart);
  it.Flow.onData(
      1, "id: 2\ndata: " + std::string(EventSplitter::MaxBufferedBytes, 'x'),
      FlowStart);
  it.Flow.onDone(1, {}, false, FlowStart);
  EXPECT_EQ(it.SentOrders.size(), 1);
  EXPECT_TRUE(it.hasLogged("break"));
  EXPECT_FALSE(it.hasLogged("end"));
}

/// Guards against an answer that broke off before its first byte ending as an
/// empty stream. One that is framed as empty is complete.
TEST(AnswerEnd, OnlyAFramedStreamMayBeEmpty) {
  FlowHarness closed(streamRoute(false));
  closed.Flow.start(FlowStart);
  closed.answer(1, closeDelimited());
  EXPECT_TRUE(closed.hasLogged("error 502"));
  FlowHarness framed(streamRoute(false));
  framed.Flow.start(FlowStart);
  framed.answer(1, headOf(200));
  EXPECT_TRUE(framed.hasLogged("answer 200 "));
}

/// Guards against a stream ending as complete since the server that was to
/// resume it answered with something else.
TEST(AnswerEnd, StreamResumedWithAnotherContentTypeIsNotComplete) {
  ServerHead other = headOf(200);
  other.IsEventStream = false;
  FlowHarness it(streamRoute(true, 3));
  it.Flow.start(FlowStart);
  it.answer(1, headOf(200), "id: 1\n\nid: 2");
  it.answer(2, other, "{}");
  ASSERT_EQ(it.SentOrders.size(), 3);
  EXPECT_EQ(it.SentOrders[2].LastEventId, "1");
  it.answer(3, other, std::string(300'000, 'x'));
  EXPECT_EQ(it.Log, (Lines{"send s1", "begin 200", "write id: 1\n\n", "send s2",
                           "send s3", "cancel 3", "break", "ended"}));
}

/// Guards against complete answers without a length being refused: the end of
/// the connection is all that tells how long they are.
TEST(AnswerEnd, CloseDelimitedAnswerOfAnotherKindIsComplete) {
  FlowHarness it(routeFor(RouteKind::NonIdempotent, 1));
  it.Flow.start(FlowStart);
  it.answer(1, closeDelimited(), "id: 1\ndata");
  EXPECT_TRUE(it.hasLogged("answer 200 id: 1\ndata"));
}

/// Guards against a stream that may run only once being sent again after it
/// broke off.
TEST(AnswerEnd, NonIdempotentStreamIsNotSentAgain) {
  for (const char *text : {"id: 1\nda", "id: 1\n\nid: 2"}) {
    FlowHarness it(streamRoute(false, 3));
    it.Flow.start(FlowStart);
    it.answer(1, closeDelimited(), text);
    EXPECT_EQ(it.SentOrders.size(), 1) << text;
    EXPECT_FALSE(it.hasLogged("end")) << text;
  }
}

/// Whatever the line ends and wherever the connection ends, the caller's answer
/// ends as complete only between two events, and holds whole events only.
RC_GTEST_PROP(AnswerEnd, IsCompleteOnlyBetweenEvents, ()) {
  auto n = *rc::gen::inRange(1, 6);
  std::string stream;
  std::vector<size_t> boundaries;
  auto lineEnd = *rc::gen::element<std::string>("\n", "\r\n", "\r");
  for (int i = 1; i <= n; ++i) {
    stream +=
        "id: " + std::to_string(i) + lineEnd + "data: x" + lineEnd + lineEnd;
    boundaries.push_back(stream.size());
  }
  auto cut = *rc::gen::inRange<size_t>(1, stream.size() + 1);
  bool isBoundary =
      std::find(boundaries.begin(), boundaries.end(), cut) != boundaries.end();
  FlowHarness it(streamRoute(false));
  it.Flow.start(FlowStart);
  it.Flow.onHead(1, *rc::gen::element(closeDelimited(), headOf(200)),
                 FlowStart);
  for (size_t at = 0; at < cut;) {
    auto step = std::min(*rc::gen::inRange<size_t>(1, 30), cut - at);
    it.Flow.onData(1, stream.substr(at, step), FlowStart);
    at += step;
  }
  it.Flow.onDone(1, {}, false, FlowStart);
  bool isComplete = it.hasLogged("end") || it.FinalStatus == 200;
  RC_ASSERT(isComplete == isBoundary);
  std::string got;
  for (const std::string &line : it.Log)
    if (line.starts_with("write "))
      got += line.substr(6);
  size_t whole = 0;
  for (size_t end : boundaries)
    whole = end <= cut ? end : whole;
  RC_ASSERT(got == stream.substr(0, whole));
}

} // namespace
} // namespace daisytack::direct
