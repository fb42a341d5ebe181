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
  EXPECT_EQ(splitter.takeRest(), "");
}

TEST(EventSplitter, AcceptsCrlfLineEndings) {
  EventSplitter splitter;
  EXPECT_EQ(splitter.feed("id:7\r\ndata: a\r\n\r\n"),
            "id:7\r\ndata: a\r\n\r\n");
  EXPECT_EQ(splitter.lastId(), "7");
}

TEST(EventSplitter, ReturnsTheRestOfAStreamThatEndsWithoutABlankLine) {
  EventSplitter splitter;
  EXPECT_EQ(splitter.feed("data: a\n\ndata: b\n"), "data: a\n\n");
  EXPECT_EQ(splitter.takeRest(), "data: b\n");
}

TEST(EventSplitter, ReturnsAnEventThatIsTooLongToBuffer) {
  EventSplitter splitter;
  std::string text(EventSplitter::MaxBufferedBytes + 1, 'x');
  EXPECT_EQ(splitter.feed(text), text);
}

RC_GTEST_PROP(EventSplitter, LosesNoByteHoweverTheStreamIsFragmented, ()) {
  std::string stream;
  auto n = *rc::gen::inRange(0, 6);
  for (int i = 1; i <= n; ++i)
    stream += "id: " + std::to_string(i) + "\ndata: x\n\n";
  EventSplitter splitter;
  std::string out;
  size_t at = 0;
  while (at < stream.size()) {
    auto step = *rc::gen::inRange<size_t>(1, 20);
    out += splitter.feed(stream.substr(at, step));
    at += step;
  }
  out += splitter.takeRest();
  RC_ASSERT(out == stream);
  if (n > 0)
    RC_ASSERT(splitter.lastId() == std::to_string(n));
}

} // namespace
} // namespace daisytack::direct
