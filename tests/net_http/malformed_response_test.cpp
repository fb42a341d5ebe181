/// Tests that no call takes what is not a valid response for one.
#include "net_http/http_fixture.h"
#include "net_http/scripted_server.h"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

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

} // namespace
} // namespace daisytack::net
