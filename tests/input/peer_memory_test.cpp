/// Guards against messages of other entries that make an entry take memory
/// without bound. Datagrams and requests at the peers' port carry no key, so
/// that whoever reaches the port can send any number of them.
#include "admission/organisation_shares.h"
#include "balancing/request_limits.h"
#include "balancing/server_loads.h"
#include "base/digest.h"
#include "direct/catalog.h"
#include "direct/record_transfer.h"
#include "direct/store_links.h"
#include "direct/stream_origins.h"
#include "gateway/load_datagram.h"
#include "wire/codec.h"

#include <gtest/gtest.h>

#include <malloc.h>

#include <set>

namespace daisytack {
namespace {

using namespace std::chrono_literals;

const TimePoint Now{Duration(1'000'000'000)};
constexpr size_t MaxBytes = 8'000'000;
/// Text that fills a datagram.
const std::string LongText(1200, 'x');

/// Bytes that are allocated. 0 with a sanitizer, whose allocator differs.
size_t allocatedBytes() {
  struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// Bytes that the step leaves allocated.
template <class Step> size_t bytesLeftBy(Step step) {
  size_t before = allocatedBytes();
  step();
  size_t after = allocatedBytes();
  return after - std::min(before, after);
}

direct::BackendServer serverOf(uint64_t number) {
  direct::BackendServer out;
  out.Id = "s" + std::to_string(number);
  out.StartedMs = 1;
  return out;
}

/// Guards against load reports in the names of any number of entries.
TEST(PeerMemory, LoadReportsAreBounded) {
  balancing::ServerLoads loads({});
  size_t bytes = bytesLeftBy([&] {
    for (uint64_t i = 0; i < 20'000; ++i)
      loads.onPeerReport(LongText + std::to_string(i), {{i, 1, 1, 1, 0, 0}},
                         10s, Now);
  });
  EXPECT_LE(bytes, MaxBytes);
  // The entries that are known are heard on, and others once there is room.
  direct::BackendServer server = serverOf(1);
  loads.forgetIdle(Now + 20s);
  loads.onPeerReport("e1", {{server.ref().key(), 3, 1, 1, 0, 0}}, 1s,
                     Now + 20s);
  EXPECT_EQ(loads.view(server.ref(), Now + 20s).Running, 3U);
}

/// Guards against any number of servers that are said to be leaving, which are
/// remembered for an hour.
TEST(PeerMemory, LeavingServersAreBounded) {
  balancing::ServerLoads loads({});
  size_t bytes = bytesLeftBy([&] {
    for (uint64_t i = 0; i < 500'000; ++i)
      loads.onLeaving(mix64(i), Now);
  });
  EXPECT_LE(bytes, MaxBytes);
}

/// Guards against an entry whose loads fit into no datagram any more, and are
/// not sent, because of the servers that are leaving.
TEST(PeerMemory, LoadsAreSentWhenManyServersLeave) {
  direct::EntryLoads loads;
  loads.Entry = "entry-1";
  for (uint64_t i = 0; i < 40; ++i)
    loads.Servers.push_back({i, 1, static_cast<uint32_t>(i), 1, 0, 0});
  for (uint64_t i = 0; i < 1000; ++i)
    loads.Leaving.push_back(i);
  EXPECT_LE(gateway::encodeLoads(loads, MaxDatagramBytes).size(),
            MaxDatagramBytes);
  // All of them are named in turn.
  std::set<uint64_t> named;
  for (size_t turn = 0; turn < 30; ++turn) {
    Error reason;
    auto message = wire::decode<direct::PeerMessage>(
        gateway::encodeLoads(loads, MaxDatagramBytes, turn), reason);
    ASSERT_TRUE(message);
    const auto &sent = std::get<direct::EntryLoads>(*message);
    named.insert(sent.Leaving.begin(), sent.Leaving.end());
    EXPECT_GE(sent.Servers.size(), 20U);
  }
  EXPECT_EQ(named.size(), 1000U);
}

/// Guards against request limits of any number of servers.
TEST(PeerMemory, RequestLimitsAreBounded) {
  balancing::RequestLimits limits({}, {"10.0.0.1", 7000}, Now);
  size_t bytes = bytesLeftBy([&] {
    for (uint64_t i = 0; i < 500'000; ++i)
      limits.onPeerReports({{mix64(i), true, 1, 0}}, Now);
  });
  EXPECT_LE(bytes, MaxBytes);
}

/// Guards against reports of the use of any number of services.
TEST(PeerMemory, ReportsOfUseAreBounded) {
  admission::OrganisationShares shares({});
  size_t bytes = bytesLeftBy([&] {
    for (uint64_t i = 0; i < 20'000; ++i)
      shares.onPeerReport(
          {LongText + std::to_string(i), 500'000, mix64(i), true, 1, 1, {}},
          Now);
  });
  EXPECT_LE(bytes, MaxBytes);
}

/// Guards against origins of streams with long texts: the limit on their number
/// assumes about 100 bytes each.
TEST(PeerMemory, StreamOriginsAreBounded) {
  direct::StreamOrigins origins({});
  size_t bytes = bytesLeftBy([&] {
    for (uint64_t i = 0; i < 200'000; ++i)
      origins.onTold({{"engines", LongText}, {{i, i}}}, Now);
  });
  EXPECT_LE(bytes, 2 * MaxBytes);
}

/// Guards against delays of any number of links, each of which also makes every
/// later observation look at all of them.
TEST(PeerMemory, LinkDelaysAreBounded) {
  direct::StoreLinks links({});
  size_t bytes = bytesLeftBy([&] {
    for (uint64_t i = 0; i < 200'000; ++i)
      links.onPeerDelays({{mix64(i), 10}}, Now + Duration(i * 1000));
  });
  EXPECT_LE(bytes, MaxBytes / 8);
}

/// Guards against any number of starts of a server that are said to have loaded
/// weights, of models whose names are as long as a message.
TEST(PeerMemory, NotedVersionsAreBounded) {
  direct::CatalogHooks hooks;
  hooks.SubjectOf = [](std::string_view key) {
    return direct::RecordSubject{direct::RecordKind::Server, std::string(key)};
  };
  hooks.Decode = [](const direct::StoreRecord &, Error &) {
    direct::BackendServer server = serverOf(1);
    server.Weights = {{"m", 1}};
    return std::optional<direct::RecordValue>(server);
  };
  hooks.Changed = [](const auto &, auto, auto, auto) {};
  hooks.Unreadable = [](const auto &, const auto &, auto) {};
  direct::CatalogKeeper keeper({}, hooks);
  keeper.apply({{"s1", "record", 1, false}}, Now);
  size_t bytes = bytesLeftBy([&] {
    for (uint64_t i = 0; i < 20'000; ++i) {
      keeper.noteLoaded({"s1", 2 * i}, {LongText, 2}, Now);
      keeper.noteLoaded({"s1", 2 * i + 1}, {"m", 2}, Now);
    }
  });
  EXPECT_LE(bytes, MaxBytes / 8);
}

/// Guards against offers of records whose keys are as long as a message.
TEST(PeerMemory, OfferedKeysAreBounded) {
  direct::RecordLookup held;
  held.RevisionOf = [](std::string_view) { return uint64_t{0}; };
  held.ValueAt = [](std::string_view, uint64_t) { return nullptr; };
  direct::RecordFetch fetch({}, held);
  size_t bytes = bytesLeftBy([&] {
    for (int i = 0; i < 64; ++i)
      fetch.onOffer({std::string(1'000'000, 'k') + std::to_string(i), 5},
                    {"10.0.0.2", 7000}, Now);
  });
  EXPECT_LE(bytes, MaxBytes);
}

} // namespace
} // namespace daisytack
