/// Guards against messages that are read in another way, or end the process,
/// according to how their bytes are split.
#include "net/message_reader.h"
#include "net_http/http_fixture.h"

#include <boost/beast/http/string_body.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>

namespace daisytack::net {
namespace {

using namespace std::chrono_literals;

constexpr size_t HeadLimit = 4096;

struct Result {
  std::string Error;
  std::string Body;
  size_t Parsed = 0;
  auto operator<=>(const Result &) const = default;
};

/// Parses a request that arrives in pieces of the given size.
Result parse(const std::string &bytes, size_t piece) {
  using Reader = MessageReader<http::request_parser<http::string_body>>;
  InputBuffer input(HeadLimit);
  Reader reader(HeadLimit);
  ErrorCode ec = http::error::need_more;
  size_t received = 0;
  while (ec == http::error::need_more && received < bytes.size()) {
    size_t n = std::min(piece, bytes.size() - received);
    asio::mutable_buffer room = input.prepare(n);
    EXPECT_GT(room.size(), 0U);
    n = std::min(n, room.size());
    std::memcpy(room.data(), bytes.data() + received, n);
    input.commit(n);
    received += n;
    ec = reader.parser().is_header_done() ? reader.parseBody(input)
                                          : reader.parseHead(input);
    if (!ec && reader.parser().is_header_done())
      ec = reader.parseBody(input);
  }
  return {ec.message(), reader.parser().get().body(), received - input.size()};
}

std::string chunkedRequest(const std::string &body) {
  return "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
         body;
}

TEST(MessageReader, ParsesTheSameInAnyPieces) {
  const std::string tooLong(MaxChunkExtraBytes + 1, '0');
  for (const std::string &message :
       {std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
        std::string("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"),
        std::string("GET / HTTP/1.1\r\nHost: a\r\nA: b\r\n c\r\n\r\n"),
        std::string("GET / HTTP/1.1\r\nHost: a\r\nA: b\r\n\t\r\n\r\n"),
        chunkedRequest("0\r\n\r\n"), chunkedRequest("0\r\nA: b\r\n\r\n"),
        chunkedRequest("1\r\nx\r\n0\r\n\r\n"),
        chunkedRequest("1;a=b\r\nx\r\n0;c\r\nA: b\r\nC: d\r\n\r\n"),
        chunkedRequest("1\r\nxy\r\n0\r\n\r\n"), chunkedRequest("x\r\n\r\n"),
        chunkedRequest(tooLong + "1\r\nx\r\n0\r\n\r\n"),
        chunkedRequest("1;" + tooLong + "\r\nx\r\n0\r\n\r\n"),
        chunkedRequest("0;" + tooLong + "\r\n\r\n"),
        chunkedRequest("0\r\nA: " + tooLong + "\r\n\r\n")}) {
    Result whole = parse(message, message.size());
    for (size_t piece : {1U, 2U, 3U, 4U, 5U, 7U, 100U, 1000U}) {
      Result split = parse(message, piece);
      EXPECT_EQ(split.Error, whole.Error) << piece << ": " << message;
      if (whole.Error == ErrorCode().message()) {
        EXPECT_EQ(split, whole) << piece << ": " << message;
      }
    }
  }
}

/// Guards against a field being joined to the one before it.
TEST(MessageReader, RefusesContinuationLinesInAnyPieces) {
  const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
  for (const std::string line : {" Content-Length: 3", "\tb", " ", "\t"})
    for (const std::string rest : {"", "A: b\r\n"})
      for (size_t piece : {1U, 2U, 3U, 5U, 7U, 1000U}) {
        std::string message = head + line + "\r\n" + rest + "\r\n";
        EXPECT_EQ(parse(message, piece).Error,
                  ErrorCode(http::error::bad_value).message())
            << piece << ": " << message;
      }
}

/// The limit holds for a message, not for each of its lines.
TEST(MessageReader, LimitsAllExtensionsTogether) {
  std::string chunks;
  for (size_t i = 0; i < MaxChunkExtraBytes / 50; ++i)
    chunks += "1;" + std::string(100, 'a') + "\r\nx\r\n";
  EXPECT_EQ(parse(chunkedRequest(chunks), 1).Error,
            ErrorCode(http::error::buffer_overflow).message());
}

/// The HTTP library ended the process on an assertion when the end of an empty
/// body in chunks came in two pieces.
TEST(MessageReader, SplitEndOfAnEmptyBodyIsNoFault) {
  HttpFixture fixture(echo);
  for (const char *rest : {"\r", "A"}) {
    RawClient raw(fixture.Server.port());
    raw.send(chunkedRequest("0\r\n"));
    std::this_thread::sleep_for(50ms);
    raw.send(rest);
    std::this_thread::sleep_for(50ms);
    raw.send(*rest == 'A' ? ": b\r\n\r\n" : "\n");
    EXPECT_TRUE(raw.readUntil("POST").starts_with("HTTP/1.1 200 "));
  }
}

} // namespace
} // namespace daisytack::net
