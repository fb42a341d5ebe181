/// Simulates the gossip of up to a few hundred processes in one test, with a
/// queue of messages that have a delay and can be lost. The queue provides the
/// simulated time.
#pragma once

#include "control/gossip.h"
#include "control/readers.h"
#include "wire/codec.h"

#include "base/digest.h"

#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace daisytack::control {

class Fleet {
public:
  struct Node {
    Member Self;
    bool Down = false;
    std::unique_ptr<ControlState> State;
    std::unique_ptr<Gossip> Gossiper;
  };

  /// Whether to drop a message.
  std::function<bool(const Node &from, const Node &to)> ShouldDrop =
      [](const Node &, const Node &) { return false; };
  std::vector<Node> Nodes;
  uint64_t Sent = 0;
  uint64_t SentBytes = 0;
  uint64_t Fetches = 0;

  Fleet(size_t count, size_t domains, size_t regions, uint64_t seed)
      : Draws(seed) {
    for (size_t i = 0; i < count; ++i)
      add(domains, regions, {});
  }

  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /// Adds a process that knows only the seeds.
  size_t add(size_t domains, size_t regions, std::vector<Endpoint> seeds) {
    size_t i = Nodes.size();
    Node node;
    node.Self.Name = "n" + std::to_string(i);
    node.Self.FailureDomain = "d" + std::to_string(i % domains);
    node.Self.Region = "r" + std::to_string(i % domains % regions);
    node.Self.Work = {"127.0.0.1", 1};
    node.Self.Peer = {"127.0.0.1", static_cast<uint16_t>(i + 1)};
    Nodes.push_back(std::move(node));
    restart(i, std::move(seeds));
    return i;
  }

  /// Replaces the process by one with empty state.
  void restart(size_t i, std::vector<Endpoint> seeds) {
    Node &node = Nodes[i];
    GossipInit init;
    init.Self = node.Self;
    init.Seeds = std::move(seeds);
    init.Lineage = Lineage;
    node.State = std::make_unique<ControlState>(ControlStateInit{},
                                                [](const Event &) {});
    node.Gossiper = std::make_unique<Gossip>(
        init, *node.State, [this] { return mix64(Draws += 0x9E3779B9); });
    schedule(i, Now + Duration(static_cast<int64_t>(mix64(++Draws) % 20'000)));
  }

  /// Merges the list of all processes into every process.
  void distributeMemberList() {
    ReplicaDelta list{0, Nodes.size(), {}};
    for (size_t i = 0; i < Nodes.size(); ++i)
      list.Entries.push_back({Nodes[i].Self.Name,
                              encodeInstance({Nodes[i].Self, i + 1}), i + 1,
                              false});
    for (Node &node : Nodes) {
      node.State->mergeMembers(list);
      node.Gossiper->refreshPeers();
    }
  }

  /// Merges a configuration change into one process, as a reader does.
  void change(size_t reader, const std::string &model, uint64_t revision,
              const std::string &version) {
    ControlState &state = *Nodes[reader].State;
    uint64_t from = state.config().watermark();
    state.mergeConfig(
        {from,
         revision,
         {{toText({ObjectKind::Model, model}),
           R"({"version": ")" + version + R"("})", revision, false}}});
  }

  void run(Duration time, const std::function<bool()> &until = {}) {
    TimePoint end = Now + time;
    while (!Queue.empty() && Queue.top().At <= end) {
      Message next = Queue.top();
      Queue.pop();
      Now = next.At;
      deliver(next);
      if (until && until())
        return;
    }
    Now = end;
  }

  std::string versionAt(size_t i, const std::string &model) const {
    const ReplicaEntry *entry =
        Nodes[i].State->config().find(toText({ObjectKind::Model, model}));
    return entry ? entry->Value : "";
  }

  /// Number of processes that are up and complete through the revision.
  size_t countAtRevision(uint64_t revision) const {
    size_t out = 0;
    for (const Node &node : Nodes)
      out += !node.Down && node.State->config().watermark() >= revision;
    return out;
  }

  TimePoint Now{};
  uint32_t Lineage = 0;

private:
  static constexpr Duration Tick{20'000};
  static constexpr Duration Delay{1'500};
  static constexpr Duration FetchDelay{20'000};

  /// A message from a process to itself is a tick. One to another process with
  /// an empty payload is a fetch by TCP.
  struct Message {
    TimePoint At;
    uint64_t Order = 0;
    size_t From = 0;
    size_t To = 0;
    std::string Payload;
    bool operator<(const Message &other) const {
      return std::tie(At, Order) > std::tie(other.At, other.Order);
    }
  };

  void schedule(size_t i, TimePoint at) { Queue.push({at, ++Order, i, i, {}}); }

  void deliver(const Message &message) {
    Node &to = Nodes[message.To];
    if (message.From == message.To)
      schedule(message.To, Now + Tick);
    if (to.Down)
      return;
    if (message.From == message.To)
      return apply(message.To, to.Gossiper->onTick(Now));
    Node &from = Nodes[message.From];
    if (from.Down || ShouldDrop(from, to))
      return;
    if (message.Payload.empty())
      return fetch(from, to);
    Error reason;
    std::optional<PeerMessage> decoded =
        wire::decode<PeerMessage>(message.Payload, reason);
    if (decoded)
      apply(message.To, to.Gossiper->onMessage(from.Self.Peer, *decoded, Now));
  }

  void fetch(Node &from, Node &to) {
    ++Fetches;
    StateUpdate whole;
    for (const Page &page :
         from.Gossiper->pagesFor(to.Gossiper->pullMessage(Now), Now))
      joinPage(whole, page);
    to.Gossiper->onFetched(whole, Now);
    to.Gossiper->refreshPeers();
  }

  void apply(size_t i, GossipActions actions) {
    for (PeerSend &send : actions.Sends) {
      ++Sent;
      SentBytes += send.Payload.size();
      Queue.push({Now + Delay, ++Order, i, size_t{send.To.Port} - 1,
                  std::move(send.Payload)});
    }
    if (actions.Fetch)
      Queue.push(
          {Now + FetchDelay, ++Order, size_t{actions.Fetch->Port} - 1, i, {}});
  }

  uint64_t Draws;
  uint64_t Order = 0;
  std::priority_queue<Message> Queue;
};

} // namespace daisytack::control
