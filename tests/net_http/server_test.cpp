#include "net_http/http_fixture.h"

#include <gtest/gtest.h>

#include <atomic>

namespace daisytack::net {
namespace {

constexpr size_t SmallHeaderLimit = 1024;
constexpr size_t SmallBodyLimit = 4096;

HttpServerInit smallLimits() {
  HttpServerInit init;
  init.MaxHeaderBytes = SmallHeaderLimit;
  init.MaxBodyBytes = SmallBodyLimit;
  init.ReadTimeout = Duration(200'000);
  return init;
}

struct BadInput {
  const char *Name;
  std::string Bytes;
  bool EndSending;
  const char *Status;
  const char *Kind;
};

class HttpServerBadInput : public testing::TestWithParam<BadInput> {};

TEST_P(HttpServerBadInput, IsRejectedWithoutAffectingOthers) {
  HttpFixture fixture(echo, smallLimits());
  const BadInput &in = GetParam();
  RawClient raw(fixture.Server.port());
  raw.send(in.Bytes);
  if (in.EndSending)
    raw.endSending();
  std::string answer = raw.readAll();
  EXPECT_TRUE(answer.starts_with(std::string("HTTP/1.1 ") + in.Status))
      << answer;
  EXPECT_NE(answer.find("application/problem+json"), std::string::npos);
  EXPECT_NE(answer.find(std::string("\"kind\":\"") + in.Kind + "\""),
            std::string::npos)
      << answer;
  EXPECT_NE(answer.find("\"outcome\":\"not_run\""), std::string::npos);
  EXPECT_EQ(fixture.fetch({"POST", "/a", "", {}, "x"}).Response.Body,
            "POST  x");
}

INSTANTIATE_TEST_SUITE_P(
    Table, HttpServerBadInput,
    testing::Values(
        BadInput{"Garbage", "this is not HTTP\r\n\r\n", false, "400",
                 "bad_request"},
        BadInput{"BadLength",
                 "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
                 false, "400", "bad_request"},
        BadInput{"BadChunk",
                 "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
                 "chunked\r\n\r\nzz\r\n",
                 false, "400", "bad_request"},
        BadInput{"LongHeader",
                 "GET / HTTP/1.1\r\nX: " +
                     std::string(4 * SmallHeaderLimit, 'h') + "\r\n\r\n",
                 false, "431", "header_too_large"},
        BadInput{"EndlessHeader",
                 "GET / HTTP/1.1\r\nX: " +
                     std::string(2 * SmallHeaderLimit, 'h'),
                 false, "431", "header_too_large"},
        BadInput{
            "AnnouncedBody",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\nabc",
            false, "413", "body_too_large"},
        BadInput{"ChunkedBody",
                 "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
                 "chunked\r\n\r\n2000\r\n" +
                     std::string(0x2000, 'b') + "\r\n0\r\n\r\n",
                 false, "413", "body_too_large"},
        BadInput{"NoHost", "GET / HTTP/1.1\r\n\r\n", false, "400",
                 "bad_request"},
        BadInput{"TwoHosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
                 false, "400", "bad_request"},
        BadInput{"FoldedLine",
                 "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n 2\r\n\r\n", false,
                 "400", "bad_request"},
        BadInput{
            "FoldedLength",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\t3\r\n\r\nabc",
            false, "400", "bad_request"},
        BadInput{"SignedLength",
                 "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc",
                 false, "400", "bad_request"},
        BadInput{"TwoLengths",
                 "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                 "Content-Length: 4\r\n\r\nabcd",
                 false, "400", "bad_request"},
        BadInput{
            "ListOfLengths",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\nabc",
            false, "400", "bad_request"},
        BadInput{"LengthAndChunks",
                 "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                 false, "400", "bad_request"},
        BadInput{
            "IdentityCoding",
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity\r\n\r\n"
            "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n",
            false, "400", "bad_request"},
        BadInput{
            "UnknownCoding",
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n"
            "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n",
            false, "400", "bad_request"},
        BadInput{"ChunkedNotLast",
                 "POST / HTTP/1.1\r\nHost: a\r\n"
                 "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
                 false, "400", "bad_request"},
        BadInput{"TwoCodings",
                 "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                 false, "400", "bad_request"},
        BadInput{"Http10Chunked",
                 "POST / HTTP/1.0\r\nHost: a\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                 false, "400", "bad_request"},
        BadInput{"SpaceBeforeColon",
                 "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc",
                 false, "400", "bad_request"},
        BadInput{"SlowHeader", "GET / HTTP/1.1\r\nHo", false, "408",
                 "request_timeout"},
        BadInput{"SlowBody",
                 "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc",
                 false, "408", "request_timeout"},
        BadInput{"HalfHeader", "GET / HTTP/1.1\r\nHo", true, "400",
                 "bad_request"},
        BadInput{"HalfBody",
                 "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc",
                 true, "400", "bad_request"}),
    [](const auto &row) { return row.param.Name; });

TEST(HttpServer, AnswersPipelinedRequestsInOrder) {
  HttpFixture fixture(echo);
  RawClient raw(fixture.Server.port());
  std::string many;
  for (int i = 0; i < 50; ++i)
    many += "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n" +
            std::to_string(10 + i);
  many += "GET /last?q=1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  raw.send(many);
  std::string answer = raw.readAll();
  size_t at = 0;
  for (int i = 0; i < 50; ++i) {
    at = answer.find("POST  " + std::to_string(10 + i), at);
    ASSERT_NE(at, std::string::npos) << i;
  }
  EXPECT_NE(answer.find("GET q=1 ", at), std::string::npos);
}

TEST(HttpServer, ContinuesWhenExpected) {
  HttpFixture fixture(echo);
  RawClient raw(fixture.Server.port());
  raw.send(
      "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: "
      "2\r\nConnection: close\r\n\r\n");
  EXPECT_NE(raw.readUntil("\r\n\r\n").find("100 Continue"), std::string::npos);
  raw.send("ab");
  EXPECT_NE(raw.readAll().find("POST  ab"), std::string::npos);
}

/// Holds the exchange and reports when its caller disconnects.
struct Holder {
  std::promise<std::shared_ptr<HttpExchange>> Arrived;
  std::promise<void> Closed;
  std::atomic<int> ClosedCalls{0};

  HttpHandler handler() {
    return [this](const HttpRequest &,
                  const std::shared_ptr<HttpExchange> &exchange) {
      exchange->onClosed([this] {
        if (ClosedCalls.fetch_add(1) == 0)
          Closed.set_value();
      });
      Arrived.set_value(exchange);
    };
  }
};

TEST(HttpServer, DetectsDisconnectWhileResponseIsPending) {
  Holder holder;
  HttpFixture fixture(holder.handler());
  RawClient raw(fixture.Server.port());
  raw.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  auto exchange = holder.Arrived.get_future().get();
  raw.close();
  EXPECT_EQ(holder.Closed.get_future().wait_for(WaitLimit),
            std::future_status::ready);
  exchange->respond({});
  EXPECT_EQ(holder.ClosedCalls, 1);
}

/// Guards against servers that work on for callers who have left: the end of
/// the connection was not noticed behind input that was sent ahead.
TEST(HttpServer, NoticesTheEndOfAConnectionBehindInputSentAhead) {
  for (size_t ahead : {1, 5000, 16000}) {
    Holder holder;
    HttpFixture fixture(holder.handler());
    std::shared_ptr<HttpExchange> exchange;
    {
      RawClient raw(fixture.Server.port());
      raw.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
      exchange = holder.Arrived.get_future().get();
      raw.send(std::string(ahead, 'x'));
    }
    auto end = std::chrono::steady_clock::now() + WaitLimit;
    while (holder.ClosedCalls == 0 && std::chrono::steady_clock::now() < end)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    EXPECT_EQ(holder.ClosedCalls, 1) << ahead;
  }
}

TEST(HttpServer, SendsHalfClosedCallerACancelledProblem) {
  Holder holder;
  HttpFixture fixture(holder.handler());
  RawClient raw(fixture.Server.port());
  raw.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  auto exchange = holder.Arrived.get_future().get();
  raw.endSending();
  std::string answer = raw.readAll();
  EXPECT_NE(answer.find("\"kind\":\"cancelled\""), std::string::npos) << answer;
  EXPECT_EQ(holder.ClosedCalls, 1);
}

TEST(HttpServer, StreamsChunksAndEnds) {
  HttpFixture fixture(
      [](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        exchange->beginStream(200, {{"Content-Type", "text/plain"}});
        for (int i = 0; i < 100; ++i)
          exchange->write(std::to_string(i) + ";");
        exchange->endStream();
      });
  auto got = fixture.fetch({"GET", "/", "", {}, ""});
  EXPECT_FALSE(got.Reason);
  EXPECT_TRUE(got.Response.Body.starts_with("0;1;2;"));
  EXPECT_TRUE(got.Response.Body.ends_with(";98;99;"));
}

TEST(HttpServer, StreamForHttp10ClientEndsByClose) {
  HttpFixture fixture(
      [](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        exchange->beginStream(200, {});
        exchange->write("plain");
        exchange->endStream();
      });
  RawClient raw(fixture.Server.port());
  raw.send("GET / HTTP/1.0\r\n\r\n");
  std::string answer = raw.readAll();
  EXPECT_TRUE(answer.ends_with("\r\n\r\nplain")) << answer;
}

TEST(HttpServer, AbortedStreamIsIncomplete) {
  HttpFixture fixture(
      [](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        exchange->beginStream(200, {});
        exchange->write("part");
        exchange->abort();
      });
  EXPECT_EQ(fixture.fetch({"GET", "/", "", {}, ""}).Reason.Kind,
            ErrorKind::ServerLost);
  RawClient raw(fixture.Server.port());
  raw.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(raw.readAll().ends_with("\r\n\r\n4\r\npart\r\n"));
}

/// Guards against an aborted stream that looks complete to a caller of
/// HTTP/1.0, for which the end of the connection ends the stream.
TEST(HttpServer, AbortedStreamForHttp10ClientIsReset) {
  HttpFixture fixture(
      [](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        exchange->beginStream(200, {});
        exchange->write("part");
        exchange->abort();
      });
  RawClient raw(fixture.Server.port());
  raw.send("GET / HTTP/1.0\r\n\r\n");
  EXPECT_EQ(raw.readToEnd(), asio::error::connection_reset);
}

/// Guards against a stream for a caller of HTTP/1.0 that the server closes
/// without an end, as the caller reads too slowly, looking complete.
TEST(HttpServer, ClosedStreamForHttp10ClientIsReset) {
  HttpServerInit init;
  init.MaxPendingBytes = 1U << 16;
  Holder holder;
  HttpFixture fixture(holder.handler(), init);
  RawClient raw(fixture.Server.port());
  raw.send("GET / HTTP/1.0\r\n\r\n");
  auto exchange = holder.Arrived.get_future().get();
  exchange->beginStream(200, {});
  for (int i = 0; i < 2000; ++i)
    exchange->write(std::string(1U << 14, 'x'));
  EXPECT_EQ(raw.readToEnd(), asio::error::connection_reset);
}

TEST(HttpServer, ClosesConnectionOfSlowReader) {
  HttpServerInit init;
  init.MaxPendingBytes = 1U << 16;
  Holder holder;
  HttpFixture fixture(holder.handler(), init);
  RawClient raw(fixture.Server.port());
  raw.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  auto exchange = holder.Arrived.get_future().get();
  auto closed = holder.Closed.get_future();
  exchange->beginStream(200, {});
  size_t written = 0;
  while (closed.wait_for(std::chrono::seconds(0)) !=
             std::future_status::ready &&
         written < (1U << 28)) {
    exchange->write(std::string(1U << 14, 'x'));
    written += 1U << 14;
  }
  EXPECT_EQ(closed.wait_for(WaitLimit), std::future_status::ready);
}

TEST(HttpServer, ExchangeDroppedByItsHandlerGetsStatus500) {
  HttpFixture fixture(
      [](const HttpRequest &, const std::shared_ptr<HttpExchange> &) {});
  EXPECT_EQ(fixture.fetch({"GET", "/", "", {}, ""}).Response.Status, 500U);
}

TEST(HttpServer, StopAcceptingFinishesRunningResponses) {
  Holder holder;
  HttpFixture fixture(holder.handler());
  RawClient raw(fixture.Server.port());
  raw.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  auto exchange = holder.Arrived.get_future().get();
  fixture.Server.stopAccepting();
  EXPECT_EQ(fixture.Server.unsentResponses(), 1U);
  exchange->respond({200, {}, "whole"});
  std::string answer = raw.readAll();
  EXPECT_EQ(fixture.Server.unsentResponses(), 0U);
  EXPECT_TRUE(answer.ends_with("whole")) << answer;
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}

TEST(HttpServer, HeadersCantBeInjected) {
  HttpFixture fixture(
      [](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        exchange->respond({200, {{"X-A", "1\r\nX-Evil: 2"}}, ""});
      });
  auto got = fixture.fetch({"GET", "/", "", {}, ""});
  for (const HttpHeader &header : got.Response.Headers)
    EXPECT_NE(header.Name, "X-Evil");
}

} // namespace
} // namespace daisytack::net
