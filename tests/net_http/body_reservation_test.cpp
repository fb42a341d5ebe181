/// Guards against bodies that are read without room for them, and against
/// answers that are read from a server faster than their caller takes them.
#include "net_http/http_fixture.h"

#include <gtest/gtest.h>

#include <atomic>

namespace daisytack::net {
namespace {

constexpr size_t Room = 100'000;

/// Counts the reservations in force, and refuses bodies above Room.
struct Rooms {
  struct One : BodyReservation {
    explicit One(Rooms &all) : All(all) { ++All.Open; }
    ~One() override { --All.Open; }
    bool reserve(size_t bytes) override { return bytes <= Room; }
    void onReceived(size_t bytes) override { All.Received = bytes; }
    Rooms &All;
  };

  HttpServerInit init() {
    HttpServerInit out;
    out.ReserveBody = [this](const HttpRequest &head,
                             std::optional<uint64_t> length) {
      EXPECT_EQ(head.header("Host"), "a");
      return length.value_or(0) > Room ? nullptr : std::make_shared<One>(*this);
    };
    out.RefusedBodyResponse = [](const HttpRequest &head) {
      return HttpResponse{503, {{"Retry-After", "1"}}, head.Path + " refused"};
    };
    return out;
  }

  std::atomic<int> Open{0};
  std::atomic<size_t> Received{0};
  std::atomic<int> Handled{0};
};

std::string head(const std::string &framing) {
  return "POST /x HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n\r\n";
}

TEST(BodyReservation, RefusesABodyBeforeItIsSent) {
  Rooms rooms;
  HttpFixture fixture(
      [&](const HttpRequest &, const std::shared_ptr<HttpExchange> &) {
        ++rooms.Handled;
      },
      rooms.init());
  for (const char *more : {"", "\r\nExpect: 100-continue"}) {
    RawClient raw(fixture.Server.port());
    raw.send(head("Content-Length: " + std::to_string(Room + 1) + more));
    std::string answer = raw.readUntil("/x refused");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    EXPECT_NE(answer.find("Retry-After: 1"), std::string::npos) << answer;
  }
  EXPECT_EQ(rooms.Handled, 0);
  EXPECT_EQ(rooms.Open, 0);
}

TEST(BodyReservation, RefusesAChunkedBodyThatOutgrowsItsRoom) {
  Rooms rooms;
  HttpFixture fixture(
      [&](const HttpRequest &, const std::shared_ptr<HttpExchange> &) {
        ++rooms.Handled;
      },
      rooms.init());
  RawClient raw(fixture.Server.port());
  raw.send(head("Transfer-Encoding: chunked") + "40000\r\n" +
           std::string(2 * Room, 'x'));
  EXPECT_TRUE(raw.readUntil("/x refused").starts_with("HTTP/1.1 503 "));
  EXPECT_EQ(rooms.Handled, 0);
  EXPECT_EQ(rooms.Open, 0);
}

TEST(BodyReservation, LastsAsLongAsTheBody) {
  Rooms rooms;
  std::promise<std::shared_ptr<const std::string>> taken;
  HttpFixture fixture(
      [&](HttpRequest request, const std::shared_ptr<HttpExchange> &exchange) {
        taken.set_value(takeBody(request));
        exchange->respond({200, {}, "done"});
      },
      rooms.init());
  RawClient raw(fixture.Server.port());
  std::string body(Room, 'x');
  raw.send(head("Content-Length: " + std::to_string(Room)) + body);
  std::shared_ptr<const std::string> got = taken.get_future().get();
  raw.readUntil("done");
  EXPECT_EQ(*got, body);
  EXPECT_EQ(rooms.Received, Room);
  EXPECT_EQ(rooms.Open, 1);
  got.reset();
  EXPECT_EQ(rooms.Open, 0);
}

/// The room of a body that never ends is returned with the error.
TEST(BodyReservation, EndsWithTheBodyTimeout) {
  Rooms rooms;
  HttpServerInit init = rooms.init();
  init.ReadTimeout = Duration(200'000);
  HttpFixture fixture(echo, init);
  RawClient raw(fixture.Server.port());
  raw.send(head("Content-Length: 10") + "x");
  EXPECT_TRUE(raw.readUntil("request_timeout").starts_with("HTTP/1.1 408 "));
  EXPECT_EQ(rooms.Open, 0);
}

TEST(SharedBody, IsSentByEachCall) {
  HttpFixture fixture(echo);
  HttpRequest request{"POST", "/", "", {}, ""};
  request.SharedBody = std::make_shared<const std::string>(200'000, 'x');
  for (int i = 0; i < 2; ++i)
    EXPECT_EQ(fixture.fetch(request).Response.Body,
              "POST  " + *request.SharedBody);
}

/// A paused call leaves the rest of its answer with the server, and gets all of
/// it in the end.
TEST(PausedCall, ReadsNoFurtherUntilItIsResumed) {
  constexpr size_t AnswerBytes = 64U << 20;
  std::atomic<size_t> connectionBytes{0};
  HttpServerInit init;
  init.MaxPendingBytes = AnswerBytes;
  init.OnConnectionBytes = [&](ConnectionBytes kind, int64_t change) {
    if (kind == ConnectionBytes::Output)
      connectionBytes += static_cast<size_t>(change);
  };
  std::promise<void> drained;
  HttpFixture fixture(
      [&](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        exchange->beginStream(200, {});
        exchange->write(std::string(AnswerBytes, 'x'));
        exchange->onDrained(AnswerBytes / 2, [&, exchange] {
          drained.set_value();
          exchange->endStream();
        });
      },
      init);
  std::atomic<size_t> received{0};
  std::promise<HttpCall::Resume> paused;
  std::promise<Error> done;
  HttpCall call;
  std::promise<void> isSet;
  auto set = isSet.get_future().share();
  HttpHooks hooks;
  hooks.Data = [&](std::string_view data) {
    set.wait();
    if (received == 0)
      paused.set_value(call.pause());
    received += data.size();
  };
  hooks.Done = [&](const Error &error) { done.set_value(error); };
  call = fixture.Client.call(fixture.endpoint(), {"GET", "/", "", {}, ""},
                             Duration(0), std::move(hooks));
  isSet.set_value();
  HttpCall::Resume resume = paused.get_future().get();
  auto isDrained = drained.get_future();
  EXPECT_EQ(isDrained.wait_for(std::chrono::milliseconds(300)),
            std::future_status::timeout);
  EXPECT_LT(received, 200'000U);
  EXPECT_GT(connectionBytes, AnswerBytes / 2);
  resume();
  EXPECT_EQ(isDrained.wait_for(WaitLimit), std::future_status::ready);
  EXPECT_FALSE(done.get_future().get());
  EXPECT_EQ(received, AnswerBytes);
}

} // namespace
} // namespace daisytack::net
