/// Tests that no call takes what is not a valid response for one.
#include "net_http/http_fixture.h"
#include "net_http/scripted_server.h"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <cctype>
#include <cstdio>
#include <string>
#include <vector>

namespace daisytack::net {
namespace {

/// Calls a server that sends each of the responses, one a connection, and then
/// closes it; returns what the calls got.
std::vector<HttpFixture::Fetched>
fetchEach(const std::vector<std::string> &responses) {
  std::vector<ScriptedServer::Step> steps;
  for (const std::string &response : responses)
    steps.emplace_back([response](tcp::socket &s) {
      readRequest(s);
      ErrorCode ignored;
      asio::write(s, asio::buffer(response), ignored);
    });
  ScriptedServer server(std::move(steps));
  HttpFixture fixture(echo);
  std::vector<HttpFixture::Fetched> out;
  for (size_t i = 0; i < responses.size(); ++i)
    out.push_back(fixture.fetch(server.endpoint(), {"POST", "/", "", {}, ""},
                                Duration(0)));
  return out;
}

/// A response whose body has a length, and whose connection closes after it.
std::string responseWith(const std::string &statusLine,
                         const std::string &field = "A: b") {
  return statusLine + "\r\n" + field +
         "\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody";
}

/// Expects that a call gets the response whole.
void expectAccepted(const HttpFixture::Fetched &got, const std::string &name) {
  EXPECT_FALSE(got.Reason) << name << ": " << got.Reason.Detail;
  EXPECT_EQ(got.Response.Body, "body") << name;
}

/// Expects that a call fails, with an error that doesn't rule out that the
/// request has run.
void expectRejected(const HttpFixture::Fetched &got, const std::string &name) {
  EXPECT_EQ(got.Reason.Kind, ErrorKind::ProtocolError)
      << name << ": " << got.Reason.Detail;
}

/// A character of a token (RFC 9110, 5.6.2), such as the name of a field.
bool isTokenChar(unsigned char c) {
  constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
  bool isAlphanumeric = c < 0x80 && std::isalnum(c) != 0;
  return isAlphanumeric ||
         Others.find(static_cast<char>(c)) != std::string_view::npos;
}

/// A character of a field's value or a reason phrase (RFC 9110, 5.5; RFC 9112,
/// 4).
bool isTextChar(unsigned char c) {
  return c == '\t' || (c >= 0x20 && c != 0x7f);
}

/// A line with the character before, between and after others.
std::vector<std::string> withCharAt(const std::string &before, char c,
                                    const std::string &after) {
  return {before + c + "ab" + after, before + "a" + c + "b" + after,
          before + "ab" + c + after};
}

std::string hexOf(unsigned char c) {
  std::array<char, 8> out{};
  std::snprintf(out.data(), out.size(), "0x%02x", c);
  return out.data();
}

/// Guards against a status that is none, such as 000, reaching a caller as an
/// answer, and against a request that is said not to have run for its sake.
TEST(MalformedResponse, StatusOutsideTheDefinedRangeIsAnError) {
  std::vector<std::string> responses;
  std::vector<unsigned> statuses;
  for (unsigned status = 0; status < 1000; ++status) {
    bool hasBody = status >= 200 && status != 204 && status != 304;
    if (status >= 100 && status < 600 && !hasBody)
      continue; // InterimResponse, and statuses without a body.
    statuses.push_back(status);
    std::string digits = std::to_string(1000 + status).substr(1);
    responses.push_back(responseWith("HTTP/1.1 " + digits + " X"));
  }
  std::vector<HttpFixture::Fetched> got = fetchEach(responses);
  for (size_t i = 0; i < got.size(); ++i) {
    unsigned status = statuses[i];
    if (status < 100 || status > 599) {
      expectRejected(got[i], std::to_string(status));
      continue;
    }
    expectAccepted(got[i], std::to_string(status));
    EXPECT_EQ(got[i].Response.Status, status);
  }
}

TEST(MalformedResponse, StatusLineThatIsNoneIsAnError) {
  std::vector<std::string> lines{
      "HTTP/1.1 20 X",      "HTTP/1.1 2000 X", "HTTP/1.1 -20 X",
      "HTTP/1.1 2x0 X",     "HTTP/1.1  200 X", " HTTP/1.1 200 X",
      "HTTP/1.1\t200 X",    "http/1.1 200 X",  "HTTP/2.0 200 X",
      "HTTP/0.9 200 X",     "HTTP/9.9 200 X",  "HTTP/1.1 200\x01X",
      "HTTP/1.1 2\r\n00 X", "ICY 200 X",       "HTTP/11 200 X"};
  std::vector<std::string> responses;
  for (const std::string &line : lines)
    responses.push_back(responseWith(line));
  std::vector<HttpFixture::Fetched> got = fetchEach(responses);
  for (size_t i = 0; i < got.size(); ++i)
    expectRejected(got[i], lines[i]);
}

/// Guards against a line whose name is none, for example with a blank or a
/// control byte, being passed on, or hiding where the body ends.
TEST(MalformedResponse, FieldNameThatIsNoTokenIsAnError) {
  for (const std::string name : {"", "Content-Length", "Transfer-Encoding"}) {
    std::vector<std::string> responses;
    std::vector<unsigned char> chars;
    for (unsigned c = 0; c <= 0xff; ++c) {
      if (c == ':')
        continue; // Ends the name.
      for (const std::string &line :
           withCharAt(name, static_cast<char>(c), ": 2")) {
        responses.push_back(responseWith("HTTP/1.1 200 X", line));
        chars.push_back(static_cast<unsigned char>(c));
      }
    }
    std::vector<HttpFixture::Fetched> got = fetchEach(responses);
    for (size_t i = 0; i < got.size(); ++i) {
      std::string what =
          name + " " + hexOf(chars[i]) + " at " + std::to_string(i % 3);
      if (isTokenChar(chars[i]))
        expectAccepted(got[i], what);
      else
        expectRejected(got[i], what);
    }
  }
}

TEST(MalformedResponse, FieldWithoutANameOrAColonIsAnError) {
  const std::vector<std::string> lines{": b",    "a",     "a b",    " a: b",
                                       "\ta: b", "a : b", "a\t: b", " "};
  std::vector<std::string> responses;
  for (const std::string &line : lines)
    responses.push_back(responseWith("HTTP/1.1 200 X", line));
  std::vector<HttpFixture::Fetched> got = fetchEach(responses);
  for (size_t i = 0; i < got.size(); ++i)
    expectRejected(got[i], lines[i]);
}

/// Guards against a field that frames the body being joined to the value of the
/// field before it, so that the body is another one than the server's.
TEST(MalformedResponse, ContinuationLineIsAnError) {
  std::vector<std::string> responses;
  for (const std::string line :
       {" Transfer-Encoding: chunked", "\tTransfer-Encoding: chunked",
        " Content-Length: 3", "\tContent-Length: 3", " ", "\t", "  b"})
    for (const std::string field : {"A: c", "A:", "Date: c", "Connection: c"})
      responses.push_back(
          responseWith("HTTP/1.1 200 X", field + "\r\n" + line));
  // The last line of the head, and the only framing.
  responses.emplace_back("HTTP/1.1 200 X\r\nA: b\r\n"
                         " Transfer-Encoding: chunked\r\n\r\n"
                         "4\r\nbody\r\n0\r\n\r\n");
  std::vector<HttpFixture::Fetched> got = fetchEach(responses);
  for (size_t i = 0; i < got.size(); ++i)
    expectRejected(got[i], responses[i]);
}

/// Guards against an answer whose end two implementations see in two places.
TEST(MalformedResponse, TransferCodingOfHttp10IsAnError) {
  expectRejected(fetchEach({"HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n"
                            "\r\n4\r\nbody\r\n0\r\n\r\n"})
                     .at(0),
                 "HTTP/1.0");
}

TEST(MalformedResponse, NameOfATrailerFieldThatIsNoTokenIsAnError) {
  std::vector<std::string> responses;
  const std::vector<std::string> names{"A b", " A", "A ", "A\x01", "\x7f", ""};
  for (const std::string &name : names)
    responses.push_back("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "4\r\nbody\r\n0\r\n" +
                        name + ": c\r\n\r\n");
  std::vector<HttpFixture::Fetched> got = fetchEach(responses);
  for (size_t i = 0; i < got.size(); ++i)
    expectRejected(got[i], names[i]);
}

TEST(MalformedResponse, ControlByteInAValueOrReasonIsAnError) {
  std::vector<std::string> responses;
  std::vector<unsigned char> chars;
  for (unsigned c = 0; c <= 0xff; ++c) {
    for (const std::string &line :
         withCharAt("A: ", static_cast<char>(c), "")) {
      responses.push_back(responseWith("HTTP/1.1 200 X", line));
      chars.push_back(static_cast<unsigned char>(c));
    }
    for (const std::string &line :
         withCharAt("HTTP/1.1 200 ", static_cast<char>(c), "")) {
      responses.push_back(responseWith(line));
      chars.push_back(static_cast<unsigned char>(c));
    }
  }
  std::vector<HttpFixture::Fetched> got = fetchEach(responses);
  for (size_t i = 0; i < got.size(); ++i) {
    std::string what = hexOf(chars[i]) + " at " + std::to_string(i % 6);
    if (isTextChar(chars[i]))
      expectAccepted(got[i], what);
    else
      expectRejected(got[i], what);
  }
}

} // namespace
} // namespace daisytack::net
