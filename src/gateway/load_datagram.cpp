#include "gateway/load_datagram.h"

#include "wire/codec.h"

#include <algorithm>
#include <utility>

namespace daisytack::gateway {

std::string encodeLoads(direct::EntryLoads loads, size_t mostBytes) {
  auto &servers = loads.Servers;
  std::string whole = wire::encode(direct::PeerMessage(loads));
  if (whole.size() <= mostBytes || servers.empty())
    return whole;
  std::sort(servers.begin(), servers.end(), [](const auto &a, const auto &b) {
    return a.WaitingTokens > b.WaitingTokens;
  });
  size_t count = servers.size();
  auto all = std::exchange(servers, {});
  size_t fixed = wire::encode(direct::PeerMessage(loads)).size();
  size_t each = (whole.size() - fixed) / count;
  size_t fitting = fixed < mostBytes ? (mostBytes - fixed) / each : 0;
  all.resize(std::min(count, fitting));
  servers = std::move(all);
  return wire::encode(direct::PeerMessage(std::move(loads)));
}

} // namespace daisytack::gateway
