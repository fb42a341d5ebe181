/// Guards against answers that are longer than the entry buffers and lose their
/// end: what was buffered after the last forwarded part was dropped, and the
/// answer ended as if it was complete.
#include "gateway/gateway_fixture.h"

namespace daisytack::gateway {
namespace {

class LongAnswerTest : public GatewayTest {
protected:
  /// Handlers use what is destroyed with a test.
  ~LongAnswerTest() override { Threads.stop(); }
};

TEST_F(LongAnswerTest, ArrivesWhole) {
  KvService.put("op/config", configText("\"k1\""));
  test::FakeServer &server =
      startBackend([](const HttpRequest &what, const ExchangePtr &to) {
        size_t size = std::stoul(what.Path.substr(what.Path.rfind('/') + 1));
        to->respond(signedAnswer(what, std::string(size, 'x')));
      });
  registerServer("i-1", server);
  Entry &entry = start("e0", KvService.address());
  ASSERT_TRUE(eventually(
      [&] { return statusOf(entry, request("/call/1", "s")) == 200; }));
  size_t limit = direct::ForwardSettings().MaxBufferedAnswerBytes;
  for (size_t size : {limit, limit + 1, 3 * limit / 2, 5 * limit}) {
    Fetched got =
        fetch(entry.Options.Callers, request("/call/" + std::to_string(size),
                                             "r" + std::to_string(size)));
    EXPECT_FALSE(got.Reason) << size;
    EXPECT_EQ(got.Response.Status, 200U) << size;
    EXPECT_EQ(got.Response.Body.size(), size);
  }
}

} // namespace
} // namespace daisytack::gateway
