/// World: set-up.
#include "cluster.h"

#include "base/digest.h"

namespace daisytack::matrix {

namespace {

constexpr Duration StoryLength{60'000'000};

std::string keyHash(const std::string &organisation) {
  return hexDigest(sha256("key of " + organisation));
}

Organisation makeOrganisation(const std::string &name) {
  Organisation out;
  out.Name = name;
  out.KeyHash = keyHash(name);
  return out;
}

uint64_t seedOf(const Plan &plan) {
  uint64_t out = 1 + static_cast<uint64_t>(plan.At);
  for (Fault it : plan.Faults)
    out = out * 31 + static_cast<uint64_t>(it);
  return out;
}

} // namespace

World::World(Plan plan)
    : What(std::move(plan)), Outside(Queue), Random(seedOf(What)), Links(1) {
  configure();
  addProcess("e0", true, "");
  addProcess("e1", true, "");
  for (const char *name : {"a0", "a1", "a2"})
    addProcess(name, false, "market");
  for (const char *name : {"s0", "s1"})
    addProcess(name, false, "portal");
}

Outcomes World::run() {
  for (auto &[name, process] : Processes)
    startProcess(process);
  schedule();
  Queue.runUntil(Queue.now() + StoryLength);
  finalChecks();
  Outcomes out{
      Check.verdict(), {}, Struck, Check.submissions(), Check.completed()};
  for (size_t i = 0; i < Promises; ++i)
    out.Broken[i] = Check.isBroken(static_cast<Promise>(i));
  return out;
}

void World::configure() {
  for (const char *name : {"growers", "wholesalers"})
    Outside.preset(makeOrganisation(name));
  Outside.preset(Model{"market", "v1", "", 1});
  RequestClass usual;
  usual.Name = "default";
  usual.Deadline = Duration(12'000'000);
  usual.Keep = KeepRule::Always;
  Outside.preset(usual);
  RequestClass bulletin = usual;
  bulletin.Name = "bulletin";
  Outside.preset(bulletin);
  PlainService portal;
  portal.Name = "portal";
  portal.Deadline = Duration(12'000'000);
  Outside.preset(portal);
  KvSeen = Outside.Kv.revision();
}

void World::addProcess(const std::string &name, bool isEntry,
                       const std::string &serves) {
  Process &process = Processes[name];
  process.Name = name;
  process.IsEntry = isEntry;
  process.Serves = serves;
  Member &member = process.Self;
  member.Name = name;
  member.Role = isEntry ? MemberRole::Entry : MemberRole::Agent;
  member.Region = "riga";
  member.FailureDomain = "domain-" + name.substr(1);
  member.Serves = serves;
  member.IsService = serves == "portal";
  member.Work = {"127.0.0.1", 1};
  member.Peer = {"127.0.0.1", static_cast<uint16_t>(1000 + Processes.size())};
  ByPeer[member.Peer] = name;
  Outside.list(member);
  if (!isEntry)
    process.Server = std::make_unique<Engine>(name, member.IsService, Check,
                                              engineHooks(name));
  if (What.Seeded == Defect::KeysByOldVersion && process.Server)
    process.Server->MixesVersions = true;
}

RandomSource World::random() {
  return [this] { return Random(); };
}

Engine::Hooks World::engineHooks(const std::string &name) {
  Engine::Hooks out;
  out.After = [this](Duration delay, EventQueue::Action action) {
    Queue.after(delay, std::move(action));
  };
  out.Tell = [this, name](serve::AgentInput input) {
    Process &process = Processes.at(name);
    after(name, process.Life, Duration(500),
          [this, name, input] { Processes.at(name).Agent->apply(input); });
  };
  out.SubmissionOf = [this](const RequestId &id) {
    auto it = SubmissionOf.find(id);
    return it == SubmissionOf.end() ? 0 : it->second;
  };
  out.Now = [this] { return Queue.now(); };
  return out;
}

void World::startProcess(Process &process) {
  ++process.Life;
  process.Alive = true;
  process.Leaving = false;
  constexpr Duration StartTime{5'000'000};
  process.DisturbedUntil =
      std::max(Queue.now(), process.PausedUntil) + StartTime;
  const std::string name = process.Name;
  uint64_t life = process.Life;
  process.Control = std::make_unique<ControlHost>(
      process.Self, seeds(), Incarnation{Random(), life}, Outside, Check,
      controlHooks(name, life));
  if (process.IsEntry)
    startEntry(process);
  else
    startAgent(process);
  seed(process);
  process.Control->start();
  if (process.Agent)
    process.Agent->start();
}

std::vector<Endpoint> World::seeds() const {
  std::vector<Endpoint> out;
  for (const auto &[peer, name] : ByPeer)
    out.push_back(peer);
  return out;
}

ControlHost::Hooks World::controlHooks(const std::string &name, uint64_t life) {
  ControlHost::Hooks hooks;
  hooks.Now = [this] { return Queue.now(); };
  hooks.After = [this, name, life](Duration delay, EventQueue::Action action) {
    after(name, life, delay, std::move(action));
  };
  hooks.Send = [this, name, life](const Endpoint &peer, std::string bytes) {
    const Process &self = Processes.at(name);
    if (self.Alive && self.Life == life)
      sendPeer(name, ByPeer.at(peer), std::move(bytes));
  };
  hooks.Fetch = [this, name,
                 life](const Endpoint &peer, control::Pull pull,
                       std::function<void(control::StateUpdate)> done) {
    fetch(name, life, ByPeer.at(peer), pull, std::move(done));
  };
  hooks.Published = [this, name](const Snapshot &snapshot) {
    Process &it = Processes.at(name);
    if (it.Entry)
      it.Entry->onSnapshot(it.Control->snapshot());
    if (it.Agent)
      it.Agent->onConfig(snapshot);
  };
  hooks.Reached = [this, name](Step step) { reached(step, name); };
  hooks.Random = random();
  return hooks;
}

void World::startEntry(Process &process) {
  const std::string name = process.Name;
  uint64_t life = process.Life;
  EntryHost::Hooks hooks;
  hooks.Now = [this] { return Queue.now(); };
  hooks.Wall = [this, name] {
    return WallTime(Queue.now().time_since_epoch() +
                    Processes.at(name).WallOffset);
  };
  hooks.After = [this, name, life](Duration delay, EventQueue::Action action) {
    after(name, life, delay, std::move(action));
  };
  hooks.Connect = [this, name](const std::string &server) {
    connect(name, server);
  };
  hooks.Send = [this, name](const std::string &server, wire::Message message) {
    sendToAgent(name, server, message);
  };
  hooks.RequestQuota = [this, name](const std::string &owner,
                                    QuotaRequest ask) {
    after(owner, Processes.at(owner).Life, Duration(1'000),
          [this, name, owner, ask] {
            QuotaGrant grant = Processes.at(owner).Entry->grant(ask);
            after(name, Processes.at(name).Life, Duration(1'000),
                  [this, name, grant] {
                    Processes.at(name).Entry->onGrant(grant);
                  });
          });
  };
  hooks.Reached = [this, name](Step step) { reached(step, name); };
  hooks.Exit = [this, name] {
    Outside.setState(name, MemberState::Gone);
    kill(Processes.at(name));
  };
  hooks.Random = random();
  process.Entry = std::make_unique<EntryHost>(name, Outside, Check,
                                              *process.Control, hooks);
}

void World::startAgent(Process &process) {
  const std::string name = process.Name;
  uint64_t life = process.Life;
  AgentHost::Hooks hooks;
  hooks.Now = [this] { return Queue.now(); };
  hooks.After = [this, name, life](Duration delay, EventQueue::Action action) {
    after(name, life, delay, std::move(action));
  };
  hooks.Send = [this, name](uint32_t link, const wire::Message &message) {
    sendToEntry(name, link, message);
  };
  hooks.Reached = [this, name](Step step) { reached(step, name); };
  hooks.Exit = [this, name] {
    Outside.setState(name, MemberState::Gone);
    kill(Processes.at(name));
  };
  hooks.Wall = [this, name] {
    return WallTime(Queue.now().time_since_epoch() +
                    Processes.at(name).WallOffset);
  };
  hooks.OfferedAt = [this, name](const RequestId &id) {
    return OfferedAt[{name, id}];
  };
  hooks.Random = random();
  process.Agent = std::make_unique<AgentHost>(
      name, Incarnation{Random(), life}, process.Serves,
      process.Serves == "portal", *process.Server, Outside, Check, hooks);
}

void World::seed(Process &process) {
  Defect it = What.Seeded;
  if (process.Entry) {
    process.Entry->MixesCallers = it == Defect::MixesCallers;
    process.Entry->KeysByOldVersion = it == Defect::KeysByOldVersion;
    process.Entry->DropsChunks = it == Defect::DropsChunks;
    process.Entry->TellsNotRunAlways = it == Defect::TellsNotRunAlways;
    process.Entry->RepeatsCalls = it == Defect::RepeatsCalls;
    process.Entry->IgnoresLeaving = it == Defect::IgnoresLeaving;
  }
  if (process.Agent) {
    process.Agent->ImportsUnverified = it == Defect::ImportsUnverified;
    process.Agent->IgnoresDrain = it == Defect::IgnoresLeaving;
    process.Agent->ExitsAtOnce = it == Defect::ExitsAtOnce;
  }
  process.Control->LastImageWins = it == Defect::LastImageWins;
}

} // namespace daisytack::matrix
