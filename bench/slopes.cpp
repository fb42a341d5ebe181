/// Cost of the control plane in one process at full deployment size: memory per
/// configuration object and member, processor time and bytes per change.
/// docs/CAPACITY.md extrapolates from these figures.
///
/// usage: bench_slopes [MEMBERS ORGANISATIONS]
#include "base/clock.h"
#include "base/digest.h"
#include "control/control_state.h"
#include "control/gossip.h"
#include "control/readers.h"
#include "wire/codec.h"

#include <malloc.h>

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>

namespace {

using namespace daisytack;
using namespace daisytack::control;

constexpr size_t Models = 8;
constexpr size_t Domains = 14;
constexpr size_t Regions = 4;
constexpr size_t Entries = 1300;
constexpr int Repeats = 20;

size_t heapBytes() {
  struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::string configValue(const ConfigObject &object, uint64_t command) {
  StoredObject stored;
  stored.Object = object;
  for (uint64_t i = 0; i < MaxCommandTrail; ++i)
    stored.Trail.push_back(
        {{mix64(command), mix64(command + i)}, "operator-of-the-day"});
  return encodeStored(stored);
}

ReplicaEntry organisationEntry(size_t i, uint64_t revision) {
  Organisation object;
  object.Name = "organisation-" + std::to_string(i);
  object.KeyHash = hexDigest(sha256(object.Name));
  object.Weight = 1 + static_cast<uint32_t>(revision % 1000);
  return {toText(keyOf(object)), configValue(object, i), revision, false};
}

Member makeMember(size_t i) {
  Member out;
  out.Name = "instance-" + std::to_string(100000 + i);
  out.Role = i < Entries ? MemberRole::Entry : MemberRole::Agent;
  out.FailureDomain = "domain-" + std::to_string(i % Domains);
  out.Region = "region-" + std::to_string(i % Domains % Regions);
  if (out.Role == MemberRole::Agent)
    out.Serves = "model-" + std::to_string(i % Models);
  std::string address = "10." + std::to_string(i / 65536) + "." +
                        std::to_string(i / 256 % 256) + "." +
                        std::to_string(i % 256);
  out.Work = {address, 7000};
  out.Peer = {address, 7001};
  return out;
}

ReplicaEntry memberEntry(size_t i, uint64_t version, MemberState state) {
  Member member = makeMember(i);
  member.State = state;
  return {member.Name, encodeInstance({member, version}), version,
          state == MemberState::Gone};
}

/// Returns the mean time of a call in microseconds.
double averageMicroseconds(const std::function<void(int)> &body) {
  TimePoint begin = monotonicNow();
  for (int i = 0; i < Repeats; ++i)
    body(i);
  return static_cast<double>((monotonicNow() - begin).count()) / Repeats;
}

/// Control plane state of one process.
struct ControlProcess {
  ControlState State{{}, [](const Event &) {}};
  uint64_t RandomCalls = 1;
  Gossip Gossiper{gossipInit(), State, [this] { return mix64(++RandomCalls); }};
  std::shared_ptr<const Snapshot> Current;

  static GossipInit gossipInit() {
    GossipInit out;
    out.Self = makeMember(0);
    return out;
  }
};

void loadOrganisations(ControlProcess &process, size_t count) {
  ReplicaDelta image{0, count + 1, {}};
  for (size_t i = 0; i < count; ++i)
    image.Entries.push_back(organisationEntry(i, i + 2));
  process.State.mergeConfig(image);
}

void loadMembers(ControlProcess &process, size_t count) {
  ReplicaDelta image{0, count + 1, {}};
  for (size_t i = 0; i < count; ++i)
    image.Entries.push_back(memberEntry(i, i + 2, MemberState::Live));
  process.State.mergeMembers(image);
}

void reportMemory(ControlProcess &process, size_t members,
                  size_t organisations) {
  size_t empty = heapBytes();
  loadOrganisations(process, organisations);
  size_t withConfig = heapBytes();
  loadMembers(process, members);
  size_t withMembers = heapBytes();
  process.Gossiper.refreshPeers();
  size_t withPeers = heapBytes();
  process.Current = process.State.takeSnapshot();
  size_t withSnapshot = heapBytes();
  auto each = [](size_t bytes, size_t count) {
    return static_cast<double>(bytes) / static_cast<double>(count);
  };
  std::printf("memory: %.0f B per configuration object, %.0f B per member, "
              "%.0f B per peer, snapshot %.1f MB; in all %.1f MB\n",
              each(withConfig - empty, organisations),
              each(withMembers - withConfig, members),
              each(withPeers - withMembers, members),
              static_cast<double>(withSnapshot - withPeers) / 1e6,
              static_cast<double>(withSnapshot - empty) / 1e6);
}

void reportChanges(ControlProcess &process, size_t members,
                   size_t organisations) {
  uint64_t revision = process.State.config().watermark();
  double merge = averageMicroseconds([&](int i) {
    auto row = static_cast<size_t>(i) % organisations;
    process.State.mergeConfig(
        {revision, revision + 1, {organisationEntry(row, revision + 1)}});
    ++revision;
  });
  double build = averageMicroseconds([&](int i) {
    auto row = static_cast<size_t>(i) % organisations;
    process.State.mergeConfig(
        {revision, revision + 1, {organisationEntry(row, revision + 1)}});
    ++revision;
    process.Current = process.State.takeSnapshot();
  });
  uint64_t version = process.State.members().watermark();
  double member = averageMicroseconds([&](int i) {
    auto row = static_cast<size_t>(i) % members;
    process.State.mergeMembers(
        {version,
         version + 1,
         {memberEntry(row, version + 1, MemberState::Leaving)}});
    ++version;
    process.Gossiper.refreshPeers();
    readerRank(process.State.memberTable(), makeMember(0));
    process.Current = process.State.takeSnapshot();
  });
  std::printf("processor: %.0f us to merge a change, %.0f us with the new "
              "snapshot, %.0f us for a change of members\n",
              merge, build, member);
}

void reportMessages(ControlProcess &process) {
  TimePoint now = monotonicNow();
  StateUpdate update;
  update.Config = process.State.config().deltaAfter(
      process.State.config().lastChange() - 1);
  std::string change = wire::encode(PeerMessage(update));
  update.Config.reset();
  update.Members = process.State.members().deltaAfter(
      process.State.members().lastChange() - 1);
  std::string member = wire::encode(PeerMessage(update));
  update.Members.reset();
  update.Signals.push_back({{makeMember(5).Name, {}}, 0});
  std::string signal = wire::encode(PeerMessage(update));
  std::string digest = wire::encode(
      PeerMessage(Digest{process.Gossiper.pullMessage(now).Header}));
  std::printf(
      "payload: digest %zu B, change of an organisation %zu B, change "
      "of a member %zu B, signal %zu B (each and 72 B of IP and seal)\n",
      digest.size(), change.size(), member.size(), signal.size());
  size_t pages = 0;
  size_t bytes = 0;
  double serve = averageMicroseconds([&](int) {
    pages = bytes = 0;
    for (Page &page : process.Gossiper.pagesFor(Pull{}, now)) {
      bytes += wire::encode(PeerMessage(std::move(page))).size();
      ++pages;
    }
  });
  std::printf("image for a new process: %.2f MB in %zu pages, %.0f us to "
              "serve\n",
              static_cast<double>(bytes) / 1e6, pages, serve);
  double idle = averageMicroseconds([&](int) { process.Gossiper.onTick(now); });
  std::printf("tick without news: %.1f us\n", idle);
}

} // namespace

int main(int argc, char **argv) {
  size_t members = argc > 2 ? std::strtoul(argv[1], nullptr, 10) : 11300;
  size_t organisations = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 7900;
  std::printf("%zu members, %zu organisations\n", members, organisations);
  ControlProcess process;
  reportMemory(process, members, organisations);
  reportChanges(process, members, organisations);
  reportMessages(process);
  return 0;
}
