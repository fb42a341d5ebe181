#include "gateway/load_datagram.h"

#include "wire/codec.h"

#include <algorithm>
#include <utility>

namespace daisytack::gateway {

namespace {

/// Servers that are leaving in one message. They leave room for the loads of
/// two dozen servers beside the delays of 32 links.
constexpr size_t MaxLeavingPerMessage = 48;

} // namespace

std::string encodeLoads(direct::EntryLoads loads, size_t maxBytes,
                        size_t turn) {
  auto &leaving = loads.Leaving;
  if (leaving.size() > MaxLeavingPerMessage) {
    size_t first = turn * MaxLeavingPerMessage % leaving.size();
    std::rotate(leaving.begin(),
                leaving.begin() + static_cast<std::ptrdiff_t>(first),
                leaving.end());
    leaving.resize(MaxLeavingPerMessage);
  }
  auto &servers = loads.Servers;
  std::string whole = wire::encode(direct::PeerMessage(loads));
  if (whole.size() <= maxBytes || servers.empty())
    return whole;
  std::sort(servers.begin(), servers.end(), [](const auto &a, const auto &b) {
    return a.WaitingTokens > b.WaitingTokens;
  });
  size_t count = servers.size();
  auto all = std::exchange(servers, {});
  size_t baseSize = wire::encode(direct::PeerMessage(loads)).size();
  size_t bytesPerServer = (whole.size() - baseSize) / count;
  size_t fitting =
      baseSize < maxBytes ? (maxBytes - baseSize) / bytesPerServer : 0;
  all.resize(std::min(count, fitting));
  servers = std::move(all);
  return wire::encode(direct::PeerMessage(std::move(loads)));
}

} // namespace daisytack::gateway
