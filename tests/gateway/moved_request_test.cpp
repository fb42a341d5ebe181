/// Tests of requests that go on at another server: the server before must see
/// the end of its connection while the next one works.
#include "gateway/gateway_fixture.h"

#include <atomic>
#include <mutex>

namespace daisytack::gateway {
namespace {

/// Two servers. The one that is asked first never answers; the other one
/// answers as soon as the connection to the first has been closed.
class MovedRequestTest : public GatewayTest {
protected:
  MovedRequestTest() {
    for (int n = 1; n <= 2; ++n)
      registerServer(
          "i-" + std::to_string(n),
          startBackend([this](const HttpRequest &what, const ExchangePtr &to) {
            onRequest(what, to);
          }));
    KvService.put("op/config", configText("\"k1\""));
  }
  ~MovedRequestTest() override { Threads.stop(); }

  void onRequest(const HttpRequest &what, const ExchangePtr &to) {
    std::lock_guard guard(Lock);
    ++Runs;
    if (Runs > 1) {
      Second = [what, to] { answer(what, to); };
      return answerIfClosed();
    }
    First = to;
    to->onClosed([this] {
      std::lock_guard closedGuard(Lock);
      IsClosed = true;
      answerIfClosed();
    });
  }
  void answerIfClosed() {
    if (IsClosed && Second)
      std::exchange(Second, nullptr)();
  }

  std::mutex Lock;
  int Runs = 0;
  ExchangePtr First;
  std::function<void()> Second;
  bool IsClosed = false;
};

/// Guards against a request that two servers work on: one is given up because
/// it is silent, and its connection stays open.
TEST_F(MovedRequestTest, SilentServerSeesTheEndBeforeTheNextOneAnswers) {
  Entry &entry = start("e1", KvService.address());
  ASSERT_TRUE(waitReady(entry));
  EXPECT_EQ(statusOf(entry, request("/safe/x")), 200);
  std::lock_guard guard(Lock);
  EXPECT_EQ(Runs, 2);
}

/// Guards against a request that two servers work on: its caller leaves and
/// sends it again to another entry.
TEST_F(MovedRequestTest, ServerSeesTheEndWhenItsCallerMovesToAnotherEntry) {
  Entry &first = start("e1", KvService.address());
  Entry &second = start("e2", KvService.address());
  ASSERT_TRUE(waitReady(first));
  ASSERT_TRUE(waitReady(second));
  net::HttpCall left =
      Caller.call(first.Options.Callers, request("/call/x", "first"), 10s, {});
  ASSERT_TRUE(eventually([&] {
    std::lock_guard guard(Lock);
    return Runs == 1;
  }));
  left.cancel();
  EXPECT_EQ(statusOf(second, request("/call/x", "second")), 200);
}

} // namespace
} // namespace daisytack::gateway
