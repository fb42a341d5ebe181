/// Guards against changes of the configuration that reach a process only with
/// the periodic check, because its watch has ended.
#include "runtime/service_reader.h"

#include "control/fake_platform.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <gtest/gtest.h>

namespace daisytack::runtime {
namespace {

class ServiceReaderTest : public testing::Test {
protected:
  ServiceReaderTest() {
    Init.CheckInterval = std::chrono::hours(1);
    Hooks.ConfigWatermark = [] { return uint64_t{1}; };
    Hooks.MemberWatermark = [] { return uint64_t{1}; };
    Hooks.Accept = [](const edge::KvHeader &, uint64_t) { return true; };
    Hooks.Config = [](const control::ReplicaDelta &) {};
    Hooks.Members = [](const control::ReplicaDelta &) {};
    Hooks.CallFinished = [](const Error &) {};
    Store = Kv.hooks();
  }

  /// Runs until three watches have begun; false if that takes too long.
  bool watchesAgain() {
    auto reader = std::make_shared<ServiceReader>(
        boost::asio::make_strand(Io), Init, Store, List.hooks(), Hooks,
        [] { return uint64_t{0}; });
    reader->setActive(true);
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (Watches < 3 && std::chrono::steady_clock::now() < end)
      Io.run_one_for(std::chrono::milliseconds(100));
    reader->setActive(false);
    return Watches >= 3;
  }

  static edge::KvHeader endWithoutError() {
    edge::KvHeader out;
    out.Status = edge::KvStatus::Ok;
    out.Revision = 1;
    return out;
  }

  boost::asio::io_context Io;
  control::FakeKv Kv;
  control::FakeList List;
  edge::KvStore Store;
  ServiceReaderInit Init;
  ServiceReaderHooks Hooks;
  int Watches = 0;
};

TEST_F(ServiceReaderTest, WatchesAgainAfterAWatchEndedWithoutAnError) {
  Store.Watch = [&](std::string, std::string, uint64_t,
                    edge::KvWatchHooks hooks) -> edge::KvCancel {
    ++Watches;
    boost::asio::post(Io, [hooks] { hooks.Ended(endWithoutError(), 0); });
    return [] {};
  };
  EXPECT_TRUE(watchesAgain());
}

/// A store behind a call budget refuses a watch before the call returns.
TEST_F(ServiceReaderTest, WatchesAgainAfterAWatchEndedWithinTheCall) {
  Store.Watch = [&](std::string, std::string, uint64_t,
                    const edge::KvWatchHooks &hooks) -> edge::KvCancel {
    ++Watches;
    hooks.Ended(endWithoutError(), 0);
    return [] {};
  };
  EXPECT_TRUE(watchesAgain());
}

} // namespace
} // namespace daisytack::runtime
