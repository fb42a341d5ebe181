#include "net_http/http_fixture.h"
#include "net_http/scripted_server.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <future>

#include <atomic>

namespace daisytack::net {
namespace {

void answer(tcp::socket &socket, const std::string &text) {
  readRequest(socket);
  asio::write(socket,
              asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                           std::to_string(text.size()) + "\r\n\r\n" + text));
}

/// Responds once, reads the next request and closes without a response.
void answerThenDrop(tcp::socket &socket) {
  answer(socket, "first");
  readRequest(socket);
}

TEST(HttpClient, ReusesConnections) {
  HttpFixture fixture(echo);
  for (int i = 0; i < 20; ++i)
    ASSERT_EQ(fixture.fetch({"POST", "/", "", {}, "b"}).Response.Body,
              "POST  b");
  EXPECT_EQ(fixture.Server.openConnections(), 1U);
}

/// Returns the connection that carried a call with these options.
HttpConnectionInfo connectionOf(HttpFixture &fixture,
                                HttpCallOptions options = {}) {
  auto done = std::make_shared<std::promise<void>>();
  auto future = done->get_future();
  auto out = std::make_shared<HttpConnectionInfo>();
  HttpHooks hooks;
  hooks.Sending = [out](const HttpConnectionInfo &it) { *out = it; };
  hooks.Done = [done](const Error &) { done->set_value(); };
  fixture.Client.call(fixture.endpoint(), {"POST", "/", "", {}, "b"}, WaitLimit,
                      std::move(hooks), options);
  future.get();
  return *out;
}

/// Logs of calls could not show whether two of them shared a connection.
TEST(HttpClient, TellsWhichConnectionCarriesACall) {
  HttpFixture fixture(echo);
  HttpConnectionInfo first = connectionOf(fixture);
  HttpConnectionInfo second = connectionOf(fixture);
  fixture.Client.dropIdle(fixture.endpoint());
  HttpConnectionInfo third = connectionOf(fixture);
  EXPECT_EQ(first.EarlierCalls, 0U);
  EXPECT_NE(first.LocalPort, 0);
  EXPECT_EQ(second, (HttpConnectionInfo{first.Number, first.LocalPort, 1}));
  EXPECT_NE(third.Number, first.Number);
  EXPECT_EQ(third.EarlierCalls, 0U);
}

HttpCallOptions withKey(uint64_t key) {
  HttpCallOptions out;
  out.ResponseKey = key;
  return out;
}

/// Guards against a second copy of a response that is taken for the response to
/// another call with the same key.
TEST(HttpClient, CallsWithTheSameResponseKeyShareNoConnection) {
  HttpFixture fixture(echo);
  HttpConnectionInfo first = connectionOf(fixture, withKey(1));
  EXPECT_EQ(connectionOf(fixture, withKey(2)).Number, first.Number);
  HttpConnectionInfo again = connectionOf(fixture, withKey(1));
  EXPECT_NE(again.Number, first.Number);
  // Both connections have carried the key; one of them alone the other key.
  EXPECT_NE(connectionOf(fixture, withKey(1)).EarlierCalls, 1U);
  EXPECT_EQ(connectionOf(fixture, withKey(3)).EarlierCalls, 1U);
}

/// Guards against a second copy of the response to an earlier call that is
/// taken for the response to a call which its response doesn't name.
TEST(HttpClient, CallsWithTheirOwnConnectionShareNone) {
  HttpFixture fixture(echo);
  HttpCallOptions own;
  own.UsesOwnConnection = true;
  HttpConnectionInfo first = connectionOf(fixture);
  EXPECT_EQ(connectionOf(fixture, own).EarlierCalls, 0U);
  EXPECT_EQ(connectionOf(fixture, own).EarlierCalls, 0U);
  HttpConnectionInfo next = connectionOf(fixture);
  EXPECT_EQ(next.Number, first.Number);
  EXPECT_EQ(next.EarlierCalls, 1U);
}

TEST(HttpClient, ReplacesAConnectionThatHasCarriedManyKeys) {
  HttpFixture fixture(echo);
  uint64_t earlier = 0;
  for (uint64_t key = 0; key < 1024; ++key)
    earlier = connectionOf(fixture, withKey(key)).EarlierCalls;
  EXPECT_EQ(earlier, 1023U);
  EXPECT_EQ(connectionOf(fixture, withKey(1024)).EarlierCalls, 0U);
}

/// If the server at an address has restarted, the next request would be lost on
/// an idle connection whose reset has not arrived yet.
TEST(HttpClient, DoesNotReuseDroppedIdleConnections) {
  HttpFixture fixture(echo);
  HttpRequest request{"POST", "/", "", {}, "b"};
  EXPECT_EQ(fixture.fetch(request).Response.Body, "POST  b");
  fixture.Client.dropIdle({"127.0.0.1", 1}); // Another address.
  EXPECT_EQ(fixture.Server.openConnections(), 1U);
  fixture.Client.dropIdle(fixture.endpoint());
  auto end = std::chrono::steady_clock::now() + WaitLimit;
  while (fixture.Server.openConnections() > 0 &&
         std::chrono::steady_clock::now() < end)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  EXPECT_EQ(fixture.Server.openConnections(), 0U);
  EXPECT_EQ(fixture.fetch(request).Response.Body, "POST  b");
}

/// Responds with the Keep-Alive header and returns the number that the second
/// of two requests has on its connection: 2 if the connection was reused.
std::string secondRequestNumber(const std::string &keepAlive) {
  HttpFixture fixture([&](const HttpRequest &request,
                          const std::shared_ptr<HttpExchange> &exchange) {
    exchange->respond({200,
                       {{"Keep-Alive", keepAlive}},
                       std::to_string(request.ConnectionRequestNumber)});
  });
  HttpRequest request{"POST", "/", "", {}, "b"};
  EXPECT_EQ(fixture.fetch(request).Response.Body, "1");
  return fixture.fetch(request).Response.Body;
}

TEST(HttpClient, ReusesConnectionsWithAnyLongKeepAliveTimeout) {
  for (const char *seconds :
       {"60", "9223372036", "9223372036854", "9223372036855", "13835058055282",
        "9223372036854775807", "9223372036854775808", "18446744073709551615",
        "99999999999999999999999999"})
    EXPECT_EQ(secondRequestNumber(std::string("timeout=") + seconds), "2")
        << seconds;
}

TEST(HttpClient, IgnoresAKeepAliveHeaderWithoutATimeout) {
  for (const char *value : {"", "timeout", "timeout=", "timeout=x", "timeout=-",
                            "timeout=+5", "timeout= 5", "max=100"})
    EXPECT_EQ(secondRequestNumber(value), "2") << value;
}

TEST(HttpClient, DoesNotReuseConnectionsWithoutAKeepAliveTime) {
  for (const char *seconds :
       {"0", "-1", "-9223372036854", "-9223372036855", "-9223372036854775808",
        "-99999999999999999999999999"})
    EXPECT_EQ(secondRequestNumber(std::string("timeout=") + seconds), "1")
        << seconds;
}

TEST(HttpClient, UnreachableMeansNothingWasSent) {
  HttpFixture fixture(echo);
  Endpoint unreachable{"127.0.0.1", 1};
  auto got =
      fixture.fetch(unreachable, {"POST", "/", "", {}, "b"}, Duration(0));
  EXPECT_EQ(got.Reason.Kind, ErrorKind::ServiceUnavailable);
}

TEST(HttpClient, TimeoutAfterSendingIsDeadlinePassed) {
  std::shared_ptr<HttpExchange> kept;
  std::mutex lock;
  HttpFixture fixture(
      [&](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        std::lock_guard guard(lock);
        kept = exchange;
      });
  auto got = fixture.fetch({"GET", "/", "", {}, ""}, Duration(50'000));
  EXPECT_EQ(got.Reason.Kind, ErrorKind::DeadlinePassed);
  std::lock_guard guard(lock);
  kept.reset();
}

TEST(HttpClient, CancelEndsCallAndClosesConnection) {
  std::promise<void> closed;
  std::promise<void> arrived;
  std::shared_ptr<HttpExchange> kept;
  HttpFixture fixture(
      [&](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        kept = exchange;
        exchange->onClosed([&] { closed.set_value(); });
        exchange->beginStream(200, {});
        exchange->write("a");
        arrived.set_value();
      });
  std::promise<Error> done;
  HttpHooks hooks;
  hooks.Done = [&](const Error &error) { done.set_value(error); };
  HttpCall call = fixture.Client.call(
      fixture.endpoint(), {"GET", "/", "", {}, ""}, Duration(0), hooks);
  arrived.get_future().wait();
  call.cancel();
  EXPECT_EQ(done.get_future().get().Kind, ErrorKind::Cancelled);
  EXPECT_EQ(closed.get_future().wait_for(WaitLimit), std::future_status::ready);
  kept.reset();
}

/// Guards against requests that arrive long after they were given up: the
/// kernel goes on sending what a closed connection holds, once a path that was
/// cut is repaired.
TEST(HttpClient, GivenUpCallDiscardsWhatIsNotSentYet) {
  constexpr size_t BodyBytes = 32U << 20; // More than the sockets hold.
  std::promise<void> arrived;
  std::promise<void> cancelled;
  std::promise<ErrorCode> end;
  ScriptedServer server({[&](tcp::socket &socket) {
    readRequest(socket);
    arrived.set_value();
    cancelled.get_future().wait();
    std::vector<char> unread(1U << 20);
    ErrorCode ec;
    while (!ec)
      socket.read_some(asio::buffer(unread), ec);
    end.set_value(ec);
  }});
  HttpFixture fixture(echo);
  std::promise<void> done;
  HttpHooks hooks;
  hooks.Done = [&](const Error &) { done.set_value(); };
  HttpCall call = fixture.Client.call(
      server.endpoint(), {"POST", "/", "", {}, std::string(BodyBytes, 'b')},
      Duration(0), std::move(hooks));
  arrived.get_future().wait();
  call.cancel();
  done.get_future().wait();
  cancelled.set_value();
  EXPECT_EQ(end.get_future().get(), asio::error::connection_reset);
}

/// Guards against requests to a server that left while they waited for a
/// connection.
TEST(HttpClient, SendsNothingOnceItMayNotBeSent) {
  std::atomic<int> received{0};
  HttpFixture fixture(
      [&](const HttpRequest &, const std::shared_ptr<HttpExchange> &to) {
        ++received;
        to->respond({200, {}, {}});
      });
  std::atomic<bool> maySend{true};
  auto call = [&] {
    auto done = std::make_shared<std::promise<Error>>();
    HttpHooks hooks;
    hooks.MaySend = [&] { return maySend.load(); };
    hooks.Done = [done](const Error &error) { done->set_value(error); };
    fixture.Client.call(fixture.endpoint(), {"POST", "/", "", {}, "b"},
                        WaitLimit, std::move(hooks));
    return done->get_future().get().Kind;
  };
  EXPECT_EQ(call(), ErrorKind::None);
  maySend = false;
  EXPECT_EQ(call(), ErrorKind::ServiceUnavailable) << "on a kept connection";
  EXPECT_EQ(call(), ErrorKind::ServiceUnavailable) << "on a new connection";
  maySend = true;
  EXPECT_EQ(call(), ErrorKind::None);
  EXPECT_EQ(received, 2);
}

TEST(HttpClient, StaleConnectionIsReplacedForGet) {
  ScriptedServer server(
      {answerThenDrop, [](tcp::socket &s) { answer(s, "second"); }});
  HttpFixture fixture(echo);
  HttpRequest get{"GET", "/", "", {}, ""};
  EXPECT_EQ(fixture.fetch(server.endpoint(), get, Duration(0)).Response.Body,
            "first");
  EXPECT_EQ(fixture.fetch(server.endpoint(), get, Duration(0)).Response.Body,
            "second");
}

/// The first attempt may have run, and the caller must be told so.
TEST(HttpClient, GetOverStaleConnectionIsNotRetriedWhenDisabled) {
  ScriptedServer server({answerThenDrop});
  HttpClientInit init;
  init.RetriesSafeMethods = false;
  HttpFixture fixture(echo, {}, init);
  HttpRequest get{"GET", "/", "", {}, ""};
  EXPECT_EQ(fixture.fetch(server.endpoint(), get, Duration(0)).Response.Body,
            "first");
  auto got = fixture.fetch(server.endpoint(), get, Duration(0));
  EXPECT_EQ(got.Reason.Kind, ErrorKind::ServerLost);
  EXPECT_EQ(server.Accepted, 1);
}

TEST(HttpClient, PostOverStaleConnectionIsNotRetried) {
  ScriptedServer server({answerThenDrop});
  HttpFixture fixture(echo);
  HttpRequest post{"POST", "/", "", {}, ""};
  EXPECT_EQ(fixture.fetch(server.endpoint(), post, Duration(0)).Response.Body,
            "first");
  auto got = fixture.fetch(server.endpoint(), post, Duration(0));
  EXPECT_EQ(got.Reason.Kind, ErrorKind::ServerLost);
  EXPECT_EQ(server.Accepted, 1);
}

TEST(HttpClient, BodyEndedByCloseIsComplete) {
  ScriptedServer server({[](tcp::socket &s) {
    readRequest(s);
    asio::write(s, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nall")));
  }});
  HttpFixture fixture(echo);
  auto got =
      fixture.fetch(server.endpoint(), {"GET", "/", "", {}, ""}, Duration(0));
  EXPECT_FALSE(got.Reason);
  EXPECT_EQ(got.Response.Body, "all");
}

/// Guards against a response that was reset on the way being taken for one that
/// ends with its connection, also when its last bytes are still to be read.
TEST(HttpClient, CloseDelimitedBodyEndedByResetIsServerLost) {
  for (size_t size : {size_t(0), size_t(3), size_t(200'000)}) {
    ScriptedServer server({[size](tcp::socket &s) {
      readRequest(s);
      asio::write(
          s, asio::buffer("HTTP/1.1 200 OK\r\n\r\n" + std::string(size, 'x')));
      s.set_option(asio::socket_base::linger(true, 0));
      s.close(); // The destructor would not reset it.
    }});
    HttpFixture fixture(echo);
    auto got =
        fixture.fetch(server.endpoint(), {"GET", "/", "", {}, ""}, Duration(0));
    EXPECT_EQ(got.Reason.Kind, ErrorKind::ServerLost) << size;
  }
}

/// Fetches with a MatchesRequest hook that accepts responses marked "own", and
/// those marked "first" if they are the first ones on their connection.
HttpFixture::Fetched fetchMatching(HttpFixture &fixture, const Endpoint &to,
                                   const HttpRequest &request) {
  auto promise = std::make_shared<std::promise<HttpFixture::Fetched>>();
  auto future = promise->get_future();
  auto got = std::make_shared<HttpFixture::Fetched>();
  HttpHooks hooks;
  hooks.MatchesRequest = [](const std::vector<HttpHeader> &headers,
                            bool isFirst) {
    return std::any_of(headers.begin(), headers.end(), [&](const auto &it) {
      return it.Name == "X-Mark" &&
             (it.Value == "own" || (it.Value == "first" && isFirst));
    });
  };
  hooks.Head = [got](unsigned status, const auto &) {
    got->Response.Status = status;
  };
  hooks.Data = [got](std::string_view data) { got->Response.Body += data; };
  hooks.Done = [got, promise](const Error &error) {
    got->Reason = error;
    promise->set_value(*got);
  };
  fixture.Client.call(to, request, Duration(5'000'000), std::move(hooks));
  EXPECT_EQ(future.wait_for(WaitLimit), std::future_status::ready);
  return future.get();
}

std::string marked(const std::string &mark, const std::string &body) {
  return "HTTP/1.1 200 OK\r\nX-Mark: " + mark +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

TEST(HttpClient, IgnoresAResponseToAnotherRequestAndReadsTheNext) {
  ScriptedServer server({[](tcp::socket &s) {
    readRequest(s);
    asio::write(s, asio::buffer(marked("own", "first")));
    readRequest(s);
    // An unsolicited response, sent before the response to the second request.
    asio::write(s, asio::buffer(marked("foreign", "extra")));
    asio::write(s, asio::buffer(marked("own", "second")));
  }});
  HttpFixture fixture(echo);
  HttpRequest get{"GET", "/", "", {}, ""};
  EXPECT_EQ(fetchMatching(fixture, server.endpoint(), get).Response.Body,
            "first");
  EXPECT_EQ(fetchMatching(fixture, server.endpoint(), get).Response.Body,
            "second");
}

TEST(HttpClient, TellsWhetherAResponseIsTheFirstOnItsConnection) {
  ScriptedServer server({[](tcp::socket &s) {
                           readRequest(s);
                           asio::write(s, asio::buffer(marked("first", "1")));
                           readRequest(s);
                           asio::write(s, asio::buffer(marked("first", "2")));
                           asio::write(s, asio::buffer(marked("own", "3")));
                         },
                         [](tcp::socket &s) {
                           readRequest(s);
                           asio::write(s, asio::buffer(marked("other", "4")));
                           asio::write(s, asio::buffer(marked("first", "5")));
                           asio::write(s, asio::buffer(marked("own", "6")));
                         }});
  HttpFixture fixture(echo);
  HttpRequest get{"GET", "/", "", {}, ""};
  EXPECT_EQ(fetchMatching(fixture, server.endpoint(), get).Response.Body, "1");
  EXPECT_EQ(fetchMatching(fixture, server.endpoint(), get).Response.Body, "3");
  fixture.Client.dropIdle(server.endpoint());
  EXPECT_EQ(fetchMatching(fixture, server.endpoint(), get).Response.Body, "6");
}

TEST(HttpClient, DoesNotReuseAConnectionWithAnExtraResponse) {
  ScriptedServer server({[](tcp::socket &s) {
                           readRequest(s);
                           asio::write(s, asio::buffer(marked("own", "first") +
                                                       marked("own", "extra")));
                         },
                         [](tcp::socket &s) {
                           readRequest(s);
                           asio::write(s,
                                       asio::buffer(marked("own", "second")));
                         }});
  HttpFixture fixture(echo);
  HttpRequest get{"GET", "/", "", {}, ""};
  EXPECT_EQ(fetchMatching(fixture, server.endpoint(), get).Response.Body,
            "first");
  EXPECT_EQ(fetchMatching(fixture, server.endpoint(), get).Response.Body,
            "second");
  EXPECT_EQ(server.Accepted, 2);
}

TEST(HttpClient, DropsAConnectionBeforeItsKeepAliveTimeout) {
  ScriptedServer server(
      {[](tcp::socket &s) {
         readRequest(s);
         asio::write(s, asio::buffer(std::string(
                            "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n"
                            "Content-Length: 5\r\n\r\nfirst")));
         readRequest(s);
       },
       [](tcp::socket &s) { answer(s, "second"); }});
  HttpFixture fixture(echo);
  HttpRequest post{"POST", "/", "", {}, ""};
  EXPECT_EQ(fixture.fetch(server.endpoint(), post, Duration(0)).Response.Body,
            "first");
  EXPECT_EQ(fixture.fetch(server.endpoint(), post, Duration(0)).Response.Body,
            "second");
}

TEST(HttpClient, AcceptsAResponseSentBeforeALongBodyIsRead) {
  ScriptedServer server({[](tcp::socket &s) {
    readRequest(s);
    asio::write(s, asio::buffer(std::string(
                       "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\n"
                       "no")));
    std::string rest(1 << 16, 0);
    ErrorCode ec;
    while (s.read_some(asio::buffer(rest), ec) > 0 && !ec) {
    }
  }});
  HttpFixture fixture(echo);
  HttpRequest post{"POST", "/", "", {}, std::string(8U << 20, 'x')};
  auto got = fixture.fetch(server.endpoint(), post, Duration(5'000'000));
  EXPECT_EQ(got.Response.Status, 413U);
}

/// Responses whose length is ambiguous (RFC 9112, 6.3).
TEST(HttpClient, RefusesResponsesOfAmbiguousLength) {
  for (const char *framing :
       {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Transfer-Encoding: identity\r\n", "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: chunked, identity\r\n"}) {
    ScriptedServer server({[framing](tcp::socket &s) {
      readRequest(s);
      asio::write(s, asio::buffer(std::string("HTTP/1.1 200 OK\r\n") + framing +
                                  "\r\n3\r\nabc\r\n0\r\n\r\n"));
    }});
    HttpFixture fixture(echo);
    auto got =
        fixture.fetch(server.endpoint(), {"GET", "/", "", {}, ""}, Duration(0));
    EXPECT_EQ(got.Reason.Kind, ErrorKind::ProtocolError) << framing;
  }
}

TEST(HttpClient, TruncatedResponseIsServerLost) {
  ScriptedServer server({[](tcp::socket &s) {
    readRequest(s);
    asio::write(s, asio::buffer(std::string(
                       "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall")));
  }});
  HttpFixture fixture(echo);
  auto got =
      fixture.fetch(server.endpoint(), {"GET", "/", "", {}, ""}, Duration(0));
  EXPECT_EQ(got.Reason.Kind, ErrorKind::ServerLost);
}

TEST(HttpClient, MalformedResponseIsProtocolError) {
  ScriptedServer server({[](tcp::socket &s) {
    readRequest(s);
    asio::write(s, asio::buffer(std::string("nonsense\r\n\r\n")));
  }});
  HttpFixture fixture(echo);
  auto got =
      fixture.fetch(server.endpoint(), {"GET", "/", "", {}, ""}, Duration(0));
  EXPECT_EQ(got.Reason.Kind, ErrorKind::ProtocolError);
}

TEST(HttpClient, ManyCallsAtOnce) {
  HttpFixture fixture(echo);
  constexpr int Calls = 500;
  std::atomic<int> good{0};
  std::atomic<int> left{Calls};
  std::promise<void> all;
  for (int i = 0; i < Calls; ++i)
    fixture.Client.fetch(
        fixture.endpoint(), {"POST", "/", std::to_string(i), {}, "b"},
        Duration(0), [&, i](const Error &, const HttpResponse &response) {
          if (response.Body == "POST " + std::to_string(i) + " b")
            ++good;
          if (--left == 0)
            all.set_value();
        });
  EXPECT_EQ(all.get_future().wait_for(WaitLimit), std::future_status::ready);
  EXPECT_EQ(good, Calls);
}

} // namespace
} // namespace daisytack::net
