/// Tests of interim (1xx) responses.
#include "net_http/http_fixture.h"
#include "net_http/scripted_server.h"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace daisytack::net {
namespace {

/// Calls a server that sends an interim response before its final one.
HttpFixture::Fetched callWithInterim(const std::string &interim) {
  ScriptedServer server({[&](tcp::socket &s) {
    readRequest(s);
    ErrorCode ignored;
    asio::write(s,
                asio::buffer("HTTP/1.1 " + interim +
                             " X\r\nLink: x\r\n\r\n"
                             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
                             "final"),
                ignored);
  }});
  HttpFixture fixture(echo);
  return fixture.fetch(server.endpoint(), {"GET", "/", "", {}, ""},
                       Duration(0));
}

/// Guards against a call that counts as answered while its server still works:
/// an interim response ended it.
TEST(InterimResponse, IsSkipped) {
  for (const std::string status : {"100", "102", "103", "199"}) {
    auto got = callWithInterim(status);
    EXPECT_EQ(got.Response.Status, 200U) << status;
    EXPECT_EQ(got.Response.Body, "final") << status;
  }
}

/// No call asks for another protocol, so that what follows can't be read.
TEST(InterimResponse, SwitchOfProtocolsIsAnError) {
  EXPECT_EQ(callWithInterim("101").Reason.Kind, ErrorKind::ProtocolError);
}

} // namespace
} // namespace daisytack::net
