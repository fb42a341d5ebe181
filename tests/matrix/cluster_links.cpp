/// SimulatedCluster: processes and the messages between them.
#include "cluster.h"

#include "wire/codec.h"

namespace daisytack::matrix {

namespace {

constexpr Duration LinkLatency{1'000};
constexpr Duration LateDelay{3'000'000};

} // namespace

void SimulatedCluster::scheduleIn(const std::string &name, uint64_t generation,
                                  Duration delay, EventQueue::Action action) {
  Queue.schedule(delay, [this, name, generation, action = std::move(action)] {
    const Process &process = Processes.at(name);
    if (!process.Alive || process.Generation != generation)
      return;
    if (process.PausedUntil > Queue.now())
      return scheduleIn(name, generation,
                        std::chrono::duration_cast<Duration>(
                            process.PausedUntil - Queue.now()),
                        action);
    action();
  });
}

void SimulatedCluster::kill(Process &process) {
  if (!process.Alive)
    return;
  if (process.Entry)
    resumeStreams(process);
  process.Alive = false;
  process.PausedUntil = TimePoint();
  for (uint32_t i = 1; i < Links.size(); ++i)
    if (Links[i].Open &&
        (Links[i].Entry == process.Name || Links[i].Agent == process.Name))
      closeLink(i);
  // The objects are kept because their code may still be on the stack.
  StoppedControls.push_back(std::move(process.Control));
  if (process.Entry)
    StoppedEntries.push_back(std::move(process.Entry));
  if (process.Agent)
    StoppedAgents.push_back(std::move(process.Agent));
}

void SimulatedCluster::connect(const std::string &entry,
                               const std::string &agent) {
  const Process &to = Processes.at(agent);
  uint64_t generation = Processes.at(entry).Generation;
  if (!to.Alive) {
    scheduleIn(entry, generation, LinkLatency, [this, entry, agent] {
      Processes.at(entry).Entry->onLinkClosed(agent);
    });
    return;
  }
  auto link = static_cast<uint32_t>(Links.size());
  Links.push_back({entry, generation, agent, to.Generation, true});
  scheduleIn(agent, to.Generation, LinkLatency, [this, agent, link] {
    if (Links[link].Open)
      Processes.at(agent).Agent->onLinkOpened(link);
  });
}

uint32_t SimulatedCluster::findOpenLink(const std::string &entry,
                                        const std::string &agent) const {
  for (uint32_t i = 1; i < Links.size(); ++i)
    if (Links[i].Open && Links[i].Entry == entry && Links[i].Agent == agent)
      return i;
  return 0;
}

void SimulatedCluster::closeLink(uint32_t link) {
  Link &it = Links[link];
  it.Open = false;
  scheduleIn(it.Entry, it.EntryGeneration, LinkLatency,
             [this, name = it.Entry, agent = it.Agent] {
               Processes.at(name).Entry->onLinkClosed(agent);
             });
  scheduleIn(it.Agent, it.AgentGeneration, LinkLatency,
             [this, name = it.Agent, link] {
               Processes.at(name).Agent->onLinkClosed(link);
             });
}

void SimulatedCluster::sendToAgent(const std::string &entry,
                                   const std::string &agent,
                                   const wire::Message &message) {
  uint32_t link = findOpenLink(entry, agent);
  if (link == 0 || !Processes.at(entry).Alive)
    return;
  if (const auto *offer = std::get_if<wire::Offer>(&message))
    OfferedAt.emplace(std::pair(agent, offer->Id), Queue.now());
  std::string bytes = wire::encode(message);
  transmit(entry, link, [this, agent, link, bytes] {
    uint64_t generation = Links[link].AgentGeneration;
    scheduleIn(agent, generation, Duration(0), [this, agent, link, bytes] {
      Error reason;
      auto decoded = wire::decode<wire::Message>(bytes, reason);
      if (decoded)
        Processes.at(agent).Agent->onMessage(link, std::move(*decoded));
    });
  });
}

void SimulatedCluster::sendToEntry(const std::string &agent, uint32_t link,
                                   const wire::Message &message) {
  if (link >= Links.size() || !Links[link].Open || !Processes.at(agent).Alive)
    return;
  std::string bytes = wire::encode(message);
  transmit(agent, link, [this, agent, link, bytes] {
    const std::string &entry = Links[link].Entry;
    scheduleIn(entry, Links[link].EntryGeneration, Duration(0),
               [this, entry, agent, bytes] {
                 Error reason;
                 auto decoded = wire::decode<wire::Message>(bytes, reason);
                 if (decoded)
                   Processes.at(entry).Entry->onMessage(agent,
                                                        std::move(*decoded));
               });
  });
}

std::optional<Fault>
SimulatedCluster::takeMessageFault(const std::string &from) {
  auto it = MessageFaults.find(from);
  if (it == MessageFaults.end() || it->second.Remaining == 0)
    return std::nullopt;
  --it->second.Remaining;
  return it->second.Kind;
}

/// A lost frame closes its connection, since frames are numbered and a gap is
/// detected.
void SimulatedCluster::transmit(const std::string &from, uint32_t link,
                                EventQueue::Action deliver) {
  auto arrive = [this, link, deliver = std::move(deliver)] {
    if (Links[link].Open)
      deliver();
  };
  auto fault = takeMessageFault(from);
  if (!fault)
    return Queue.schedule(LinkLatency, arrive);
  switch (*fault) {
  case Fault::MessageLost:
    return closeLink(link);
  case Fault::MessageDuplicated:
    Queue.schedule(LinkLatency, arrive);
    Queue.schedule(LinkLatency * 3, arrive);
    Queue.schedule(LateDelay, arrive);
    return;
  case Fault::MessageLate:
    return Queue.schedule(LateDelay, arrive);
  default:
    // Crossed: arrives after messages that were sent later.
    return Queue.schedule(LinkLatency * 100, arrive);
  }
}

void SimulatedCluster::sendPeer(const std::string &from, const std::string &to,
                                std::string bytes) {
  if (!Processes.at(to).Alive)
    return;
  auto arrive = [this, from, to, bytes = std::move(bytes)] {
    scheduleIn(to, Processes.at(to).Generation, Duration(0),
               [this, from, to, bytes] {
                 const Endpoint &sender = Processes.at(from).Self.Peer;
                 Processes.at(to).Control->onPeerMessage(sender, bytes);
               });
  };
  auto fault = takeMessageFault(from);
  if (fault == Fault::MessageLost)
    return;
  if (fault == Fault::MessageDuplicated)
    Queue.schedule(LateDelay, arrive);
  bool isLate = fault == Fault::MessageLate || fault == Fault::MessageCrossed;
  Queue.schedule(isLate ? LateDelay : LinkLatency, arrive);
}

void SimulatedCluster::fetch(const std::string &from, uint64_t generation,
                             const std::string &to, const control::Pull &pull,
                             std::function<void(control::StateUpdate)> done) {
  scheduleIn(to, Processes.at(to).Generation, LinkLatency,
             [this, from, generation, to, pull, done = std::move(done)] {
               control::StateUpdate update =
                   Processes.at(to).Control->answerPull(pull);
               scheduleIn(from, generation, LinkLatency,
                          [done, update] { done(update); });
             });
}

} // namespace daisytack::matrix
