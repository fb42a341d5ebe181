/// SimulatedCluster: requests of callers, commands of operators and the final
/// checks.
#include "cluster.h"

#include "base/digest.h"

namespace daisytack::matrix {

using namespace control;

namespace {

constexpr Duration CallTimeout{10'000'000};
/// Time for processes to load configuration and members before the workload.
constexpr Duration StartTime{2'000'000};
constexpr Duration KvPollInterval{5'000};
/// Time within which an applied command must reach every process: 8 s.
constexpr Duration PropagationTimeout{8'000'000};
const std::vector<std::string> Organisations{"growers", "wholesalers"};

} // namespace

void SimulatedCluster::scheduleAt(double seconds, EventQueue::Action action) {
  Queue.schedule(StartTime + Duration(static_cast<int64_t>(seconds * 1e6)),
                 std::move(action));
}

Submission SimulatedCluster::makePrompt(const std::string &organisation,
                                        const std::string &kind) {
  Submission out;
  out.Model = "market";
  out.Class = kind == "bulletin" ? "bulletin" : "default";
  out.Stream = kind == "stream";
  out.Chunks = out.Stream ? 30 : 4;
  out.Call.Number = ++NextCall;
  out.Call.Organisation = organisation;
  return out;
}

Submission SimulatedCluster::makeCall(const std::string &organisation,
                                      CallKeyKind keyKind) {
  Submission out;
  out.Chunks = 1;
  out.KeyKind = keyKind;
  out.Call.Idempotent = false;
  out.Call.Number = ++NextCall;
  out.Call.Organisation = organisation;
  return out;
}

uint64_t SimulatedCluster::submit(Submission submission,
                                  const std::string &entry) {
  const Process *to = &Processes.at(entry);
  if (!to->Alive)
    to = &Processes.at(entry == "e0" ? "e1" : "e0");
  if (!to->Alive)
    return 0;
  submission.Number = ++NextSubmission;
  submission.Id = {0xCA11, submission.Number};
  submission.Call.Deadline = Queue.now() + CallTimeout;
  submission.Call.Expected =
      fullAnswer({submission.Call.Number, submission.Call.Organisation,
                  submission.Chunks});
  SubmissionOf[submission.Id] = submission.Number;
  Submitted[submission.Number] = submission;
  EntryOf[submission.Number] = to->Name;
  Checker.onSubmitted(submission.Number, submission.Call);
  scheduleIn(to->Name, to->Generation, Duration(0),
             [this, name = to->Name, submission] {
               Processes.at(name).Entry->submit(submission);
             });
  return submission.Number;
}

void SimulatedCluster::pollConfigWrites() {
  Queue.schedule(KvPollInterval, [this] {
    recordConfigWrites();
    pollConfigWrites();
  });
}

void SimulatedCluster::scheduleWorkload() {
  scheduleAt(1.0, [this] { Started = true; });
  pollConfigWrites();
  for (int i = 0; i < 60; ++i) {
    scheduleAt(1.1 + 0.31 * i, [this, i] {
      submit(makePrompt(Organisations[i % 2], i % 7 == 3 ? "stream" : "whole"),
             i % 3 == 0 ? "e1" : "e0");
    });
  }
  // Clears the engines' caches, so that context is fetched from the stores.
  for (double seconds : {2.0, 9.0, 15.0})
    scheduleAt(seconds, [this] {
      for (auto &[name, process] : Processes)
        if (process.Server)
          process.Server->clearCache();
    });
  for (int i = 0; i < 16; ++i) {
    scheduleAt(1.3 + 1.1 * i, [this, i] {
      auto keyKind = static_cast<CallKeyKind>(i % 3);
      Submission what = makeCall(Organisations[i % 2], keyKind);
      if (keyKind == CallKeyKind::OpaqueKey)
        what.Key = "order " + std::to_string(i);
      submit(what, "e0");
      // The caller times out and repeats the call at the other entry.
      if (keyKind == CallKeyKind::OpaqueKey) {
        Queue.schedule(Duration(30'000), [this, what] { submit(what, "e1"); });
        Queue.schedule(Duration(5'000'000),
                       [this, what] { submit(what, "e1"); });
      }
    });
  }
  ObjectKey bulletin{ObjectKind::RequestClass, "bulletin"};
  scheduleAt(1.2, [this, bulletin] {
    WallTime release(Queue.now().time_since_epoch() + Duration(4'000'000));
    propose("e0", bulletin, [release](auto &object, Error &) {
      std::get<RequestClass>(*object).ReleaseAt = release;
      return true;
    });
  });
  scheduleAt(
      2.5, [this] { submit(makePrompt(Organisations[0], "bulletin"), "e0"); });
  scheduleAt(
      2.6, [this] { submit(makePrompt(Organisations[1], "bulletin"), "e1"); });
  // Two operators change the same object at the same time.
  ObjectKey standard{ObjectKind::RequestClass, "default"};
  for (const char *entry : {"e0", "e1"})
    scheduleAt(3.0, [this, standard, entry] {
      uint32_t priority = entry[1] == '0' ? 4 : 6;
      propose(entry, standard, [priority](auto &object, Error &) {
        std::get<RequestClass>(*object).Priority = priority;
        return true;
      });
    });
  scheduleAt(4.5, [this, standard] {
    propose("e1", standard, [](auto &object, Error &) {
      std::get<RequestClass>(*object).Priority = 7;
      return true;
    });
  });
  ObjectKey reusePolicy{ObjectKind::ReusePolicy, "growers:default"};
  scheduleAt(6.0, [this, reusePolicy] {
    LoseNextCommandAnswer = true;
    propose("e0", reusePolicy, [](auto &object, Error &) {
      object = ReusePolicy{"growers", "default"};
      return true;
    });
  });
  ObjectKey model{ObjectKind::Model, "market"};
  for (auto [seconds, version] : {std::pair(4.0, "v2"), std::pair(14.0, "v1")})
    scheduleAt(seconds, [this, model, desired = std::string(version)] {
      propose("e0", model, [desired](auto &object, Error &) {
        std::get<Model>(*object).Version = desired;
        return true;
      });
      onStepReached(Step::Swap, Processes.at("e0").Alive ? "e0" : "e1");
    });
  scheduleAt(10.0, [this] { drain("a2"); });
  scheduleAt(11.0, [this] { drain("s1"); });
  scheduleAt(20.0, [this] { drain("e1"); });
}

void SimulatedCluster::propose(const std::string &entry, const ObjectKey &key,
                               ObjectEdit edit) {
  Process *to = &Processes.at(entry);
  if (!to->Alive)
    to = &Processes.at(entry == "e0" ? "e1" : "e0");
  if (!to->Alive || !to->Control->isReady())
    return;
  Command command;
  command.Id = {0xC0, ++NextCall};
  command.Operator = "operator of " + entry;
  command.Key = key;
  command.Edit = std::move(edit);
  scheduleIn(
      to->Name, to->Generation, Duration(0), [this, name = to->Name, command] {
        if (std::exchange(LoseNextCommandAnswer, false))
          Platform.LoseKvAnswers = 1;
        Processes.at(name).Control->propose(
            command, [this, id = command.Id](const CommandResult &result) {
              onCommandDone(id, result);
            });
      });
}

void SimulatedCluster::onCommandDone(const Id128 &id,
                                     const CommandResult &result) {
  recordConfigWrites();
  Commands.emplace_back(id, result.Outcome);
  if (result.Outcome == CommandOutcome::Applied &&
      !WrittenCommands.contains(id))
    Checker.recordViolation(Invariant::ConfigurationStands,
                            "a command reported as applied was never written");
  if (result.Outcome == CommandOutcome::Applied && result.Revision > 0)
    Queue.schedule(PropagationTimeout, [this, revision = result.Revision] {
      checkPropagation(revision);
    });
}

/// Records the commands written to the configuration. Notifies the watches of
/// all processes unless the key-value service is down.
void SimulatedCluster::recordConfigWrites() {
  uint64_t revision = Platform.Kv.revision();
  if (revision == KvSeen)
    return;
  for (const auto &[key, entry] : Platform.Kv.entries()) {
    Error reason;
    auto parsed = parseObjectKey(key, reason);
    if (!parsed || entry.ModRevision <= KvSeen)
      continue;
    auto stored = decodeStored(*parsed, entry.Value, reason);
    for (const CommandStamp &it :
         stored ? stored->Trail : std::vector<CommandStamp>())
      WrittenCommands.insert(it.Command);
  }
  KvSeen = revision;
  if (Platform.KvDown)
    return;
  for (auto &[name, process] : Processes)
    scheduleIn(name, process.Generation, Duration(1'000),
               [this, name, gap = WatchGap] {
                 Processes.at(name).Control->onWatch(gap);
               });
}

void SimulatedCluster::drain(const std::string &name) {
  Process &process = Processes.at(name);
  if (!process.Alive || process.Leaving)
    return;
  process.Leaving = true;
  Platform.setMemberState(name, MemberState::Leaving);
  Checker.onLeaving(name, Queue.now());
  scheduleIn(name, process.Generation, Duration(0), [this, name] {
    Process &it = Processes.at(name);
    if (it.Entry)
      return it.Entry->drain();
    it.Control->announceLeaving();
    it.Agent->drain();
  });
}

/// Records that the callers of the dying entry lost their connection. Those
/// that have received part of a stream resume it at the other entry.
void SimulatedCluster::resumeStreams(Process &dying) {
  for (const auto &[submission, entry] : EntryOf)
    if (entry == dying.Name)
      Checker.onEntryDied(submission);
  for (const EntryHost::OpenSubmission &it : dying.Entry->openSubmissions()) {
    const Submission &old = Submitted[it.Submission];
    if (!old.Stream || it.Chunks == 0)
      continue;
    Submission rest = old;
    rest.Number = ++NextSubmission;
    rest.Call.Expected.clear();
    for (uint32_t i = it.Chunks; i < old.Chunks; ++i)
      rest.Call.Expected +=
          answerChunk({old.Call.Number, old.Call.Organisation, old.Chunks}, i);
    std::string other = dying.Name == "e0" ? "e1" : "e0";
    Process &to = Processes.at(other);
    EntryOf[rest.Number] = other;
    Checker.onSubmitted(rest.Number, rest.Call);
    scheduleIn(other, to.Generation, Duration(300'000),
               [this, other, rest, server = it.Server, from = it.Chunks] {
                 Processes.at(other).Entry->resume(rest, server, from);
               });
  }
}

void SimulatedCluster::checkPropagation(uint64_t revision) {
  if (Queue.now() < KvUnstableUntil)
    return;
  for (const auto &[name, process] : Processes)
    if (process.Alive && Queue.now() >= process.UnstableUntil &&
        process.Control->state().config().watermark() < revision)
      Checker.recordViolation(Invariant::ConfigurationStands,
                              name + " has not received revision " +
                                  std::to_string(revision) + " after 8 s");
}

/// Checks that every process lists the running ones as live, also those whose
/// name had left before.
void SimulatedCluster::checkMembers() {
  constexpr Duration SettleTime{15'000'000};
  auto isSettled = [&](const Process &it) {
    return it.Alive && Queue.now() >= it.UnstableUntil + SettleTime;
  };
  for (const auto &[name, process] : Processes)
    for (const auto &[other, member] : Processes) {
      if (!isSettled(process) || !isSettled(member) || member.Leaving)
        continue;
      const auto &table = process.Control->state().memberTable();
      auto it = table.find(other);
      if (it == table.end() || it->second.State != MemberState::Live)
        Checker.recordViolation(Invariant::ConfigurationStands,
                                name + " does not list " + other + " as live");
    }
}

void SimulatedCluster::finalChecks() {
  checkMembers();
  Checker.checkAllAnswered(Queue.now());
  recordConfigWrites();
  for (const auto &[id, outcome] : Commands) {
    bool wasRejected = outcome == CommandOutcome::Conflict ||
                       outcome == CommandOutcome::Refused ||
                       outcome == CommandOutcome::Unavailable;
    if (wasRejected && WrittenCommands.contains(id))
      Checker.recordViolation(Invariant::ConfigurationStands,
                              "a command was applied but reported as " +
                                  std::string(commandOutcomeName(outcome)));
  }
  for (const auto &[name, process] : Processes)
    for (const auto &[key, entry] : Platform.Kv.entries()) {
      Error reason;
      if (!process.Alive || !parseObjectKey(key, reason))
        continue;
      const ReplicaEntry *copy = process.Control->state().config().find(key);
      if (copy == nullptr || copy->Revision != entry.ModRevision)
        Checker.recordViolation(Invariant::ConfigurationStands,
                                name + " ends with a different revision of " +
                                    key);
    }
}

} // namespace daisytack::matrix
