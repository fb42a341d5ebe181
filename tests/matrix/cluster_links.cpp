/// World: processes and the messages between them.
#include "cluster.h"

#include "wire/codec.h"

namespace daisytack::matrix {

namespace {

constexpr Duration LinkLatency{1'000};
constexpr Duration LateBy{3'000'000};

} // namespace

void World::after(const std::string &name, uint64_t life, Duration delay,
                  EventQueue::Action action) {
  Queue.after(delay, [this, name, life, action = std::move(action)] {
    const Process &process = Processes.at(name);
    if (!process.Alive || process.Life != life)
      return;
    if (process.PausedUntil > Queue.now())
      return after(name, life,
                   std::chrono::duration_cast<Duration>(process.PausedUntil -
                                                        Queue.now()),
                   action);
    action();
  });
}

void World::kill(Process &process) {
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
  // Their code may be on the stack.
  DeadControls.push_back(std::move(process.Control));
  if (process.Entry)
    DeadEntries.push_back(std::move(process.Entry));
  if (process.Agent)
    DeadAgents.push_back(std::move(process.Agent));
}

void World::connect(const std::string &entry, const std::string &agent) {
  const Process &to = Processes.at(agent);
  uint64_t life = Processes.at(entry).Life;
  if (!to.Alive) {
    after(entry, life, LinkLatency, [this, entry, agent] {
      Processes.at(entry).Entry->onLinkClosed(agent);
    });
    return;
  }
  auto link = static_cast<uint32_t>(Links.size());
  Links.push_back({entry, life, agent, to.Life, true});
  after(agent, to.Life, LinkLatency, [this, agent, link] {
    if (Links[link].Open)
      Processes.at(agent).Agent->onLinkOpened(link);
  });
}

uint32_t World::linkOf(const std::string &entry,
                       const std::string &agent) const {
  for (uint32_t i = 1; i < Links.size(); ++i)
    if (Links[i].Open && Links[i].Entry == entry && Links[i].Agent == agent)
      return i;
  return 0;
}

void World::closeLink(uint32_t link) {
  Link &it = Links[link];
  it.Open = false;
  after(it.Entry, it.EntryLife, LinkLatency,
        [this, name = it.Entry, agent = it.Agent] {
          Processes.at(name).Entry->onLinkClosed(agent);
        });
  after(it.Agent, it.AgentLife, LinkLatency, [this, name = it.Agent, link] {
    Processes.at(name).Agent->onLinkClosed(link);
  });
}

void World::sendToAgent(const std::string &entry, const std::string &agent,
                        const wire::Message &message) {
  uint32_t link = linkOf(entry, agent);
  if (link == 0 || !Processes.at(entry).Alive)
    return;
  if (const auto *offer = std::get_if<wire::Offer>(&message))
    OfferedAt.emplace(std::pair(agent, offer->Id), Queue.now());
  std::string bytes = wire::encode(message);
  transmit(entry, link, [this, agent, link, bytes] {
    uint64_t life = Links[link].AgentLife;
    after(agent, life, Duration(0), [this, agent, link, bytes] {
      Error reason;
      auto decoded = wire::decode<wire::Message>(bytes, reason);
      if (decoded)
        Processes.at(agent).Agent->onMessage(link, std::move(*decoded));
    });
  });
}

void World::sendToEntry(const std::string &agent, uint32_t link,
                        const wire::Message &message) {
  if (link >= Links.size() || !Links[link].Open || !Processes.at(agent).Alive)
    return;
  std::string bytes = wire::encode(message);
  transmit(agent, link, [this, agent, link, bytes] {
    const std::string &entry = Links[link].Entry;
    after(entry, Links[link].EntryLife, Duration(0),
          [this, entry, agent, bytes] {
            Error reason;
            auto decoded = wire::decode<wire::Message>(bytes, reason);
            if (decoded)
              Processes.at(entry).Entry->onMessage(agent, std::move(*decoded));
          });
  });
}

std::optional<Fault> World::messageFate(const std::string &from) {
  auto it = MessageFaults.find(from);
  if (it == MessageFaults.end() || it->second.Left == 0)
    return std::nullopt;
  --it->second.Left;
  return it->second.Kind;
}

/// A frame that is lost breaks its connection: frames are numbered.
void World::transmit(const std::string &from, uint32_t link,
                     EventQueue::Action deliver) {
  auto arrive = [this, link, deliver = std::move(deliver)] {
    if (Links[link].Open)
      deliver();
  };
  auto fate = messageFate(from);
  if (!fate)
    return Queue.after(LinkLatency, arrive);
  switch (*fate) {
  case Fault::MessageLost:
    return closeLink(link);
  case Fault::MessageDuplicated:
    Queue.after(LinkLatency, arrive);
    Queue.after(LinkLatency * 3, arrive);
    Queue.after(LateBy, arrive);
    return;
  case Fault::MessageLate:
    return Queue.after(LateBy, arrive);
  default:
    // Crossed: behind those that were sent after it.
    return Queue.after(LinkLatency * 100, arrive);
  }
}

void World::sendPeer(const std::string &from, const std::string &to,
                     std::string bytes) {
  if (!Processes.at(to).Alive)
    return;
  auto arrive = [this, from, to, bytes = std::move(bytes)] {
    after(to, Processes.at(to).Life, Duration(0), [this, from, to, bytes] {
      const Endpoint &sender = Processes.at(from).Self.Peer;
      Processes.at(to).Control->onPeer(sender, bytes);
    });
  };
  auto fate = messageFate(from);
  if (fate == Fault::MessageLost)
    return;
  if (fate == Fault::MessageDuplicated)
    Queue.after(LateBy, arrive);
  bool isLate = fate == Fault::MessageLate || fate == Fault::MessageCrossed;
  Queue.after(isLate ? LateBy : LinkLatency, arrive);
}

void World::fetch(const std::string &from, uint64_t life, const std::string &to,
                  const control::Pull &pull,
                  std::function<void(control::StateUpdate)> done) {
  after(to, Processes.at(to).Life, LinkLatency,
        [this, from, life, to, pull, done = std::move(done)] {
          control::StateUpdate whole = Processes.at(to).Control->serve(pull);
          after(from, life, LinkLatency, [done, whole] { done(whole); });
        });
}

} // namespace daisytack::matrix
