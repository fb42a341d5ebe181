#include "direct/event_splitter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisytack::direct {
namespace {

TEST(EventSplitter, BuffersAnEventUntilItIsComplete) {
  EventSplitter splitter;
  EXPECT_EQ(splitter.feed("id: 1\ndata: a"), "");
  EXPECT_FALSE(splitter.lastId());
  EXPECT_EQ(splitter.feed("\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(splitter.lastId(), "1");
  EXPECT_EQ(splitter.feed("ta: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(splitter.lastId(), "2");
  EXPECT_FALSE(splitter.isInsideEvent());
}

TEST(EventSplitter, AcceptsCrlfLineEndings) {
  EventSplitter splitter;
  EXPECT_EQ(splitter.feed("id:7\r\ndata: a\r\n\r\n"),
            "id:7\r\ndata: a\r\n\r\n");
  EXPECT_EQ(splitter.lastId(), "7");
}

TEST(EventSplitter, KeepsTheRestOfAStreamThatEndsWithoutABlankLine) {
  EventSplitter splitter;
  EXPECT_EQ(splitter.feed("data: a\n\ndata: b\n"), "data: a\n\n");
  EXPECT_TRUE(splitter.isInsideEvent());
  EXPECT_EQ(splitter.feed("\n"), "data: b\n\n");
  EXPECT_FALSE(splitter.isInsideEvent());
}

/// Guards against events of servers that end lines with CR, or mix line ends,
/// being held back until the stream ends.
TEST(EventSplitter, AcceptsCrLineEndingsAndMixedOnes) {
  EventSplitter splitter;
  EXPECT_EQ(splitter.feed("id:7\rdata: a\r\r"), "id:7\rdata: a\r\r");
  EXPECT_EQ(splitter.lastId(), "7");
  EXPECT_EQ(splitter.feed("id: 8\r\ndata\n\r"), "id: 8\r\ndata\n\r");
  EXPECT_EQ(splitter.feed("\n"), "\n");
  EXPECT_EQ(splitter.feed("id: 9\r\n\r"), "");
  EXPECT_TRUE(splitter.isInsideEvent());
  EXPECT_EQ(splitter.feed("id: 10"), "id: 9\r\n\r");
  EXPECT_EQ(splitter.lastId(), "9");
  EXPECT_TRUE(splitter.isInsideEvent());
}

TEST(EventSplitter, ReturnsAnEventThatIsTooLongToBuffer) {
  EventSplitter splitter;
  std::string text(EventSplitter::MaxBufferedBytes + 1, 'x');
  EXPECT_EQ(splitter.feed(text), text);
  EXPECT_TRUE(splitter.hasReturnedPart());
}

/// Guards against the id of an event counting as received while only part of
/// the event was, and against reading an id from the middle of a line.
TEST(EventSplitter, TellsOnlyTheIdsOfCompleteEvents) {
  EventSplitter splitter;
  std::string head = "id: 1\ndata: ";
  std::string text(EventSplitter::MaxBufferedBytes, 'x');
  EXPECT_EQ(splitter.feed(head + text), head + text);
  EXPECT_FALSE(splitter.lastId());
  EXPECT_EQ(splitter.feed("id: 5\n\n"), "id: 5\n\n");
  EXPECT_EQ(splitter.lastId(), "1");
  EXPECT_FALSE(splitter.hasReturnedPart());
}

RC_GTEST_PROP(EventSplitter, LosesNoByteHoweverTheStreamIsFragmented, ()) {
  std::string stream;
  auto n = *rc::gen::inRange(0, 6);
  auto end = [] { return *rc::gen::element<std::string>("\n", "\r\n"); };
  for (int i = 1; i <= n; ++i)
    stream += "id: " + std::to_string(i) + end() + "data: x" + end() + end();
  EventSplitter splitter;
  std::string out;
  size_t at = 0;
  while (at < stream.size()) {
    auto step = *rc::gen::inRange<size_t>(1, 20);
    out += splitter.feed(stream.substr(at, step));
    at += step;
  }
  RC_ASSERT(out == stream);
  RC_ASSERT(!splitter.isInsideEvent());
  if (n > 0)
    RC_ASSERT(splitter.lastId() == std::to_string(n));
}

} // namespace
} // namespace daisytack::direct
