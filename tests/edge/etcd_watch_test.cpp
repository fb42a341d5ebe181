/// Guards against watches of etcd that hold or receive bytes without bound:
/// after their end, from a service that answers with another status, and in a
/// line without end.
#include "edge/kv_etcd.h"

#include "net_http/endless_server.h"

#include <gtest/gtest.h>

#include <condition_variable>

namespace daisytack::edge {
namespace {

using namespace std::chrono_literals;

struct EndlessWatch {
  const char *Name;
  std::string Begin;
  std::string Repeat;
  /// Bytes that the service may have sent until the watch has ended, with those
  /// in the sockets' buffers.
  uint64_t MaxBytes;
};

constexpr uint64_t SocketBytes = 16U << 20;

std::vector<EndlessWatch> endlessWatches() {
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
  const std::string text(100'000, 'x');
  return {{"line that can't be read", head + "no JSON\n", text, SocketBytes},
          {"lines that can't be read", head, "no JSON\n" + text, SocketBytes},
          {"cancelled watch", head + R"({"result":{"canceled":true}})" + "\n",
           text, SocketBytes},
          {"line without end", head, text, (16U << 20) + SocketBytes},
          {"another status", "HTTP/1.1 500 X\r\n\r\n", text, SocketBytes},
          {"lines of another status", "HTTP/1.1 500 X\r\n\r\n", text + "\n",
           SocketBytes}};
}

/// The watch ends once, its connection is closed, and no more is read.
TEST(EtcdWatch, ClosesTheConnectionWhenItEnds) {
  for (const EndlessWatch &it : endlessWatches()) {
    net::EndlessServer server({it.Name, it.Begin, it.Repeat}, false);
    net::IoThreads threads;
    net::HttpClient client(threads.Io, {});
    KvStore store = makeEtcdStore(client, {server.address()});
    std::mutex lock;
    std::condition_variable ended;
    int ends = 0;
    KvWatchHooks hooks;
    hooks.Changed = [](const KvHeader &, const std::vector<KvChange> &) {};
    hooks.Ended = [&](const KvHeader &, uint64_t) {
      std::lock_guard guard(lock);
      ++ends;
      ended.notify_all();
    };
    KvCancel cancel = store.Watch("a", "b", 1, hooks);
    {
      std::unique_lock guard(lock);
      EXPECT_TRUE(ended.wait_for(guard, 20s, [&] { return ends > 0; }))
          << it.Name;
    }
    auto until = std::chrono::steady_clock::now() + 3s;
    while (server.openConnections() > 0 &&
           std::chrono::steady_clock::now() < until)
      std::this_thread::sleep_for(5ms);
    EXPECT_EQ(server.openConnections(), 0) << it.Name;
    EXPECT_LE(server.bytesSent(), it.MaxBytes) << it.Name;
    cancel();
    threads.stop();
    EXPECT_EQ(ends, 1) << it.Name;
  }
}

} // namespace
} // namespace daisytack::edge
