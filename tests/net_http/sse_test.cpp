#include "net/problem.h"
#include "net/sse.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisytack::net {
namespace {

std::vector<SseEvent> parse(std::string_view text, size_t step) {
  SseParser parser;
  std::vector<SseEvent> out;
  for (size_t i = 0; i < text.size(); i += step)
    parser.feed(text.substr(i, step),
                [&](SseEvent event) { out.push_back(std::move(event)); });
  return out;
}

TEST(Sse, ReadsFieldsCommentsAndAllLineEnds) {
  std::string text = ": comment\nevent: error\r\nid:7\rdata: a\ndata:  b\n\n"
                     "data\n\nretry: 5\n\ndata: last";
  std::vector<SseEvent> expected{{"error", "7", "a\n b"}, {"", "", ""}};
  for (size_t step = 1; step < text.size(); ++step)
    EXPECT_EQ(parse(text, step), expected) << step;
}

/// Guards against a stream that was cut inside an event counting as whole, and
/// against events of some line ends being noticed only with the next one.
TEST(Sse, ScannerTellsWhereEventsEnd) {
  for (const char *whole :
       {"", "a\n\n", "a\r\n\r\n", "a\r\r", "a\n\r", "a\n\r\n", "a\r\n\n", "\n",
        "\r\n", "a\n\n\n", "a\r\r\n"}) {
    SseScanner scanner;
    for (char c : std::string_view(whole))
      scanner.next(c);
    EXPECT_FALSE(scanner.isInsideEvent()) << whole;
  }
  for (const char *cut : {"a", "a\n", "a\r", "a\r\n", "a\r\n\r", "a\n\nb",
                          "a\r\rb\r", ": comment\n"}) {
    SseScanner scanner;
    for (char c : std::string_view(cut))
      scanner.next(c);
    EXPECT_TRUE(scanner.isInsideEvent()) << cut;
  }
}

TEST(Sse, TooLargeEventFails) {
  SseParser parser(16);
  EXPECT_TRUE(parser.feed("data: short\n\n", [](const SseEvent &) {}));
  EXPECT_FALSE(parser.feed("data: much too long for it",
                           [](const SseEvent &) { FAIL(); }));
  EXPECT_FALSE(parser.feed("\n\n", [](const SseEvent &) { FAIL(); }));
}

RC_GTEST_PROP(Sse, FormattedEventsParseBack, ()) {
  auto lines = *rc::gen::container<std::vector<std::string>>(
      rc::gen::container<std::string>(rc::gen::inRange(' ', '~')));
  SseEvent event{"e", "1.2", ""};
  for (const std::string &line : lines)
    event.Data += line + "\n";
  size_t step = *rc::gen::inRange<size_t>(1, 50);
  RC_ASSERT(parse(formatSse(event), step) == std::vector<SseEvent>{event});
}

TEST(Problem, CarriesKindOutcomeRemedyAndRetryAfter) {
  Error error{ErrorKind::Overloaded, "queue of 3 s", Duration(2'000'001)};
  RequestId id{1, 2};
  HttpResponse out = problemResponse(error, Outcome::NotRun, id);
  EXPECT_EQ(out.Status, 503U);
  EXPECT_EQ(out.Headers[0].Value, "application/problem+json");
  EXPECT_EQ(out.Headers[1], (HttpHeader{"Retry-After", "3"}));
  for (const char *part :
       {R"("type":"about:blank#overloaded")", R"("outcome":"not_run")",
        R"("remedy":")", R"("detail":"queue of 3 s")",
        R"("request_id":"00000000000000010000000000000002")"})
    EXPECT_NE(out.Body.find(part), std::string::npos) << part;
}

} // namespace
} // namespace daisytack::net
