/// Tests of responses that a server sends while it is still being sent the
/// request's body.
#include "net_http/http_fixture.h"
#include "net_http/scripted_server.h"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace daisytack::net {
namespace {

constexpr size_t LongBodyBytes = 8U << 20;

/// Sends a long body to the server.
HttpFixture::Fetched upload(const ScriptedServer &server,
                            Duration timeout = Duration(20'000'000)) {
  HttpFixture fixture(echo);
  return fixture.fetch(server.endpoint(),
                       {"POST", "/", "", {}, std::string(LongBodyBytes, 'x')},
                       timeout);
}

/// Sends a response without reading the request's body, and resets the
/// connection.
ScriptedServer::Step respondAndReset(const std::string &response) {
  return [response](tcp::socket &s) {
    readRequest(s);
    ErrorCode ignored;
    asio::write(s, asio::buffer(response), ignored);
    s.set_option(asio::socket_base::linger(true, 0), ignored);
    s.close(ignored);
  };
}

/// Guards against the part of a response that came before a reset being taken
/// for the whole of it: the reset was reported to the write of the request
/// alone, and the read saw an end.
TEST(ResetDuringUpload, CloseDelimitedResponseIsServerLost) {
  for (const std::string status : {"200 OK", "413 Too Large", "500 Failed"})
    for (size_t size : {size_t(0), size_t(3), size_t(200'000)})
      for (int round = 0; round < 5; ++round) {
        ScriptedServer server({respondAndReset(
            "HTTP/1.1 " + status + "\r\n\r\n" + std::string(size, 'x'))});
        EXPECT_EQ(upload(server).Reason.Kind, ErrorKind::ServerLost)
            << status << ", " << size << " bytes, round " << round;
      }
}

/// Guards against the same without a race: the server closes its half of the
/// connection, and resets it while the request is still being written.
TEST(ResetDuringUpload, CloseDelimitedResponseEndedBeforeTheResetIsServerLost) {
  for (size_t size : {size_t(0), size_t(3), size_t(200'000)}) {
    ScriptedServer server({[&](tcp::socket &s) {
      readRequest(s);
      ErrorCode ignored;
      asio::write(
          s, asio::buffer("HTTP/1.1 200 OK\r\n\r\n" + std::string(size, 'x')),
          ignored);
      s.shutdown(tcp::socket::shutdown_send, ignored);
      // The client reads the end meanwhile. The call fails in any order.
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      s.set_option(asio::socket_base::linger(true, 0), ignored);
      s.close(ignored);
    }});
    EXPECT_EQ(upload(server).Reason.Kind, ErrorKind::ServerLost) << size;
  }
}

/// The same with input that the server leaves unread when it closes the
/// connection, which makes the system send a reset.
TEST(ResetDuringUpload,
     CloseDelimitedResponseClosedWithUnreadInputIsServerLost) {
  for (const std::string version : {"1.0", "1.1"}) {
    ScriptedServer server({[&](tcp::socket &s) {
      readRequest(s);
      ErrorCode ignored;
      asio::write(
          s, asio::buffer("HTTP/" + version + " 200 OK\r\nA: b\r\n\r\npart"),
          ignored);
    }});
    EXPECT_EQ(upload(server).Reason.Kind, ErrorKind::ServerLost) << version;
  }
}

/// Guards against a call without a timeout that waits forever for a server that
/// has ended its response and doesn't read the rest of the request.
TEST(ResetDuringUpload, CloseDelimitedResponseToAnUnreadRequestIsServerLost) {
  std::promise<void> isOver;
  ScriptedServer server({[&](tcp::socket &s) {
    readRequest(s);
    asio::write(s, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\npart")));
    s.shutdown(tcp::socket::shutdown_send);
    isOver.get_future().wait();
  }});
  EXPECT_EQ(upload(server, Duration(0)).Reason.Kind, ErrorKind::ServerLost);
  isOver.set_value();
}

/// The length shows that the response is whole, whatever happens to the rest of
/// the request.
TEST(ResetDuringUpload, ResponseWithALengthIsComplete) {
  for (const std::string framing :
       {"Content-Length: 2\r\n\r\nno",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"}) {
    ScriptedServer server(
        {respondAndReset("HTTP/1.1 413 Too Large\r\n" + framing)});
    HttpFixture::Fetched got = upload(server);
    EXPECT_EQ(got.Response.Status, 413U) << framing << got.Reason.Detail;
    EXPECT_EQ(got.Response.Body, "no") << framing;
  }
}

/// A server that ends its response in order, and reads the rest of the request
/// before it closes the connection.
TEST(ResetDuringUpload, CloseDelimitedResponseIsCompleteOnceTheRequestIsSent) {
  ScriptedServer server({[](tcp::socket &s) {
    readRequest(s);
    asio::write(s, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nwhole")));
    s.shutdown(tcp::socket::shutdown_send);
    std::string rest(1 << 16, 0);
    ErrorCode ec;
    for (size_t n = 0; n < LongBodyBytes && !ec;)
      n += s.read_some(asio::buffer(rest), ec);
  }});
  HttpFixture::Fetched got = upload(server);
  EXPECT_FALSE(got.Reason) << got.Reason.Detail;
  EXPECT_EQ(got.Response.Body, "whole");
}

} // namespace
} // namespace daisytack::net
