/// SimulatedCluster: set-up.
#include "cluster.h"

#include "base/digest.h"

namespace daisytack::matrix {

namespace {

constexpr Duration WorkloadDuration{60'000'000};

std::string keyHash(const std::string &organisation) {
  return hexDigest(sha256("key of " + organisation));
}

Organisation makeOrganisation(const std::string &name) {
  Organisation out;
  out.Name = name;
  out.KeyHash = keyHash(name);
  return out;
}

uint64_t seedOf(const FaultPlan &plan) {
  uint64_t out = 1 + static_cast<uint64_t>(plan.TriggerStep);
  for (Fault it : plan.Faults)
    out = out * 31 + static_cast<uint64_t>(it);
  return out;
}

} // namespace

SimulatedCluster::SimulatedCluster(FaultPlan plan)
    : Plan(std::move(plan)), Platform(Queue), Random(seedOf(Plan)), Links(1) {
  configure();
  addProcess("e0", true, "");
  addProcess("e1", true, "");
  for (const char *name : {"a0", "a1", "a2"})
    addProcess(name, false, "market");
  for (const char *name : {"s0", "s1"})
    addProcess(name, false, "portal");
}

RunResult SimulatedCluster::run() {
  for (auto &[name, process] : Processes)
    startProcess(process);
  scheduleWorkload();
  Queue.runUntil(Queue.now() + WorkloadDuration);
  finalChecks();
  RunResult out{Checker.firstViolation(),
                {},
                Injected,
                Checker.submissions(),
                Checker.completed()};
  for (size_t i = 0; i < InvariantCount; ++i)
    out.Violated[i] = Checker.isViolated(static_cast<Invariant>(i));
  return out;
}

void SimulatedCluster::configure() {
  for (const char *name : {"growers", "wholesalers"})
    Platform.putConfig(makeOrganisation(name));
  Platform.putConfig(Model{"market", "v1", "", 1});
  RequestClass standard;
  standard.Name = "default";
  standard.Deadline = Duration(12'000'000);
  standard.Keep = KeepRule::Always;
  Platform.putConfig(standard);
  RequestClass bulletin = standard;
  bulletin.Name = "bulletin";
  Platform.putConfig(bulletin);
  PlainService portal;
  portal.Name = "portal";
  portal.Deadline = Duration(12'000'000);
  Platform.putConfig(portal);
  KvSeen = Platform.Kv.revision();
}

void SimulatedCluster::addProcess(const std::string &name, bool isEntry,
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
  Platform.addMember(member);
  if (!isEntry)
    process.Server = std::make_unique<Engine>(name, member.IsService, Checker,
                                              engineHooks(name));
  if (Plan.Seeded == Defect::KeepsOldPieceKeys && process.Server)
    process.Server->KeepsCacheOnLoad = true;
}

RandomSource SimulatedCluster::randomSource() {
  return [this] { return Random(); };
}

Engine::Hooks SimulatedCluster::engineHooks(const std::string &name) {
  Engine::Hooks out;
  out.Schedule = [this](Duration delay, EventQueue::Action action) {
    Queue.schedule(delay, std::move(action));
  };
  out.Notify = [this, name](serve::AgentInput input) {
    Process &process = Processes.at(name);
    scheduleIn(name, process.Generation, Duration(500),
               [this, name, input] { Processes.at(name).Agent->apply(input); });
  };
  out.SubmissionOf = [this](const RequestId &id) {
    auto it = SubmissionOf.find(id);
    return it == SubmissionOf.end() ? 0 : it->second;
  };
  out.Now = [this] { return Queue.now(); };
  return out;
}

void SimulatedCluster::startProcess(Process &process) {
  if (process.Generation > 0) {
    Platform.returnMember(process.Name);
    Checker.onReturned(process.Name);
  }
  ++process.Generation;
  process.Alive = true;
  process.Leaving = false;
  constexpr Duration StartTime{5'000'000};
  process.UnstableUntil =
      std::max(Queue.now(), process.PausedUntil) + StartTime;
  const std::string name = process.Name;
  uint64_t generation = process.Generation;
  process.Control = std::make_unique<ControlHost>(
      process.Self, seeds(), Incarnation{Random(), generation}, Platform,
      Checker, controlHooks(name, generation));
  if (process.IsEntry)
    startEntry(process);
  else
    startAgent(process);
  applyDefect(process);
  process.Control->start();
  if (process.Agent)
    process.Agent->start();
}

std::vector<Endpoint> SimulatedCluster::seeds() const {
  std::vector<Endpoint> out;
  for (const auto &[peer, name] : ByPeer)
    out.push_back(peer);
  return out;
}

ControlHost::Hooks SimulatedCluster::controlHooks(const std::string &name,
                                                  uint64_t generation) {
  ControlHost::Hooks hooks;
  hooks.Now = [this] { return Queue.now(); };
  hooks.Schedule = [this, name, generation](Duration delay,
                                            EventQueue::Action action) {
    scheduleIn(name, generation, delay, std::move(action));
  };
  hooks.Send = [this, name, generation](const Endpoint &peer,
                                        std::string bytes) {
    const Process &self = Processes.at(name);
    if (self.Alive && self.Generation == generation)
      sendPeer(name, ByPeer.at(peer), std::move(bytes));
  };
  hooks.Fetch = [this, name,
                 generation](const Endpoint &peer, control::Pull pull,
                             std::function<void(control::StateUpdate)> done) {
    fetch(name, generation, ByPeer.at(peer), pull, std::move(done));
  };
  hooks.Published = [this, name](const Snapshot &snapshot) {
    Process &it = Processes.at(name);
    if (it.Entry)
      it.Entry->onSnapshot(it.Control->snapshot());
    if (it.Agent)
      it.Agent->onConfig(snapshot);
  };
  hooks.StepReached = [this, name](Step step) { onStepReached(step, name); };
  hooks.Random = randomSource();
  return hooks;
}

void SimulatedCluster::startEntry(Process &process) {
  const std::string name = process.Name;
  uint64_t generation = process.Generation;
  EntryHost::Hooks hooks;
  hooks.Now = [this] { return Queue.now(); };
  hooks.Wall = [this, name] {
    return WallTime(Queue.now().time_since_epoch() +
                    Processes.at(name).WallOffset);
  };
  hooks.Schedule = [this, name, generation](Duration delay,
                                            EventQueue::Action action) {
    scheduleIn(name, generation, delay, std::move(action));
  };
  hooks.Connect = [this, name](const std::string &server) {
    connect(name, server);
  };
  hooks.Send = [this, name](const std::string &server, wire::Message message) {
    sendToAgent(name, server, message);
  };
  hooks.RequestQuota = [this, name](const std::string &owner,
                                    QuotaRequest request) {
    scheduleIn(owner, Processes.at(owner).Generation, Duration(1'000),
               [this, name, owner, request] {
                 QuotaGrant grant = Processes.at(owner).Entry->grant(request);
                 scheduleIn(name, Processes.at(name).Generation,
                            Duration(1'000), [this, name, grant] {
                              Processes.at(name).Entry->onGrant(grant);
                            });
               });
  };
  hooks.StepReached = [this, name](Step step) { onStepReached(step, name); };
  hooks.Exit = [this, name] {
    Platform.setMemberState(name, MemberState::Gone);
    kill(Processes.at(name));
  };
  hooks.Random = randomSource();
  process.Entry = std::make_unique<EntryHost>(name, Platform, Checker,
                                              *process.Control, hooks);
}

void SimulatedCluster::startAgent(Process &process) {
  const std::string name = process.Name;
  uint64_t generation = process.Generation;
  AgentHost::Hooks hooks;
  hooks.Now = [this] { return Queue.now(); };
  hooks.Schedule = [this, name, generation](Duration delay,
                                            EventQueue::Action action) {
    scheduleIn(name, generation, delay, std::move(action));
  };
  hooks.Send = [this, name](uint32_t link, const wire::Message &message) {
    sendToEntry(name, link, message);
  };
  hooks.StepReached = [this, name](Step step) { onStepReached(step, name); };
  hooks.Exit = [this, name] {
    Platform.setMemberState(name, MemberState::Gone);
    kill(Processes.at(name));
  };
  hooks.Wall = [this, name] {
    return WallTime(Queue.now().time_since_epoch() +
                    Processes.at(name).WallOffset);
  };
  hooks.OfferedAt = [this, name](const RequestId &id) {
    return OfferedAt[{name, id}];
  };
  hooks.Random = randomSource();
  process.Agent = std::make_unique<AgentHost>(
      name, Incarnation{Random(), generation}, process.Serves,
      process.Serves == "portal", *process.Server, Platform, Checker, hooks);
}

void SimulatedCluster::applyDefect(Process &process) {
  Defect it = Plan.Seeded;
  if (process.Entry) {
    process.Entry->AnswersWrongCaller = it == Defect::AnswersWrongCaller;
    process.Entry->KeepsOldPieceKeys = it == Defect::KeepsOldPieceKeys;
    process.Entry->DropsChunks = it == Defect::DropsChunks;
    process.Entry->AlwaysReportsNotRun = it == Defect::AlwaysReportsNotRun;
    process.Entry->RetriesAnyCall = it == Defect::RetriesAnyCall;
    process.Entry->IgnoresLeaving = it == Defect::IgnoresLeaving;
  }
  if (process.Agent) {
    process.Agent->ImportsUnverified = it == Defect::ImportsUnverified;
    process.Agent->IgnoresDrain = it == Defect::IgnoresLeaving;
    process.Agent->ExitsAtOnce = it == Defect::ExitsAtOnce;
  }
  process.Control->AcceptsOlderState = it == Defect::AcceptsOlderState;
}

} // namespace daisytack::matrix
