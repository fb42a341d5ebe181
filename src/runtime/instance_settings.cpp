#include "runtime/instance_settings.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace daisytack::runtime {

using namespace std::chrono_literals;

namespace {

constexpr size_t MinSecretBytes = 16;
constexpr double MaxServiceCalls = 1000;

Member readMember(Settings &settings, MemberRole role) {
  Member out;
  out.Role = role;
  out.Name = settings.text("instance.name", std::nullopt);
  if (out.Name.size() > MaxNameBytes)
    settings.reject("instance.name", "use at most 63 bytes");
  out.Region = settings.text("instance.region", std::nullopt);
  out.FailureDomain = settings.text("instance.failure_domain", std::nullopt);
  out.Work = settings.endpoint("instance.work", std::nullopt);
  out.Peer = settings.endpoint("instance.peer", std::nullopt);
  return out;
}

void readBudgets(Settings &settings, ControlInit &out) {
  out.Seeds = settings.endpoints("control.seeds");
  out.Lineage = static_cast<uint32_t>(
      settings.integer("control.lineage", 0, 0, INT32_MAX));
  out.ServiceCallsPerSecond = settings.number(
      "control.service_calls_per_second", 5, 0.1, MaxServiceCalls);
  out.BytesPerSecond =
      settings.bytes("control.bytes_per_second", 64U << 10, 1024, 1U << 30);
  out.ServiceTimeout =
      settings.duration("control.service_timeout", 2s, 10ms, 1min);
  out.ListInterval = settings.duration("control.list_interval", 1s, 10ms, 1min);
  out.AntiEntropyInterval =
      settings.duration("control.anti_entropy_interval", 1s, 10ms, 1min);
}

} // namespace

net::PeerKeys readPeerKeys(Settings &settings) {
  net::PeerKeys out;
  for (const std::string &id : settings.keysOf("peer_keys")) {
    std::string key = "peer_keys." + id;
    out.push_back({id, settings.secret(key, std::nullopt)});
    if (out.back().Secret.size() < MinSecretBytes)
      settings.reject(key, "use a secret of at least 16 bytes");
  }
  if (out.empty()) {
    settings.reject("peer_keys", "name at least one key: ID = SECRET");
    return out;
  }
  std::string first = settings.text("control.signing_key", out.front().Id);
  auto it = std::find_if(out.begin(), out.end(), [&](const net::PeerKey &key) {
    return key.Id == first;
  });
  if (it == out.end())
    settings.reject("control.signing_key", "name a key of [peer_keys]");
  else
    std::rotate(out.begin(), it, it + 1);
  return out;
}

InstanceSettings readInstanceSettings(Settings &settings, MemberRole role) {
  InstanceSettings out;
  out.Control.Self = readMember(settings, role);
  out.Control.Keys = readPeerKeys(settings);
  readBudgets(settings, out.Control);
  out.KeyValue = settings.endpoints("platform.key_value");
  if (out.KeyValue.empty())
    settings.reject("platform.key_value", "name at least one IP:PORT");
  out.InstanceList = settings.endpoint("platform.instance_list", std::nullopt);
  return out;
}

} // namespace daisytack::runtime
