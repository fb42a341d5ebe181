/// World: what callers and operators do, and what is checked in the end.
#include "cluster.h"

#include "base/digest.h"

namespace daisytack::matrix {

using namespace control;

namespace {

constexpr Duration CallTime{10'000'000};
/// Processes learn configuration and members before the story begins.
constexpr Duration StartTime{2'000'000};
constexpr Duration KvWatchInterval{5'000};
/// "Within seconds", at the letter's figure.
constexpr Duration SpreadTime{8'000'000};
const std::vector<std::string> Organisations{"growers", "wholesalers"};

} // namespace

void World::at(double seconds, EventQueue::Action action) {
  Queue.after(StartTime + Duration(static_cast<int64_t>(seconds * 1e6)),
              std::move(action));
}

Submission World::prompt(const std::string &organisation,
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

Submission World::call(const std::string &organisation, Naming naming) {
  Submission out;
  out.Chunks = 1;
  out.Named = naming;
  out.Call.Idempotent = false;
  out.Call.Number = ++NextCall;
  out.Call.Organisation = organisation;
  return out;
}

uint64_t World::submit(Submission submission, const std::string &entry) {
  const Process *to = &Processes.at(entry);
  if (!to->Alive)
    to = &Processes.at(entry == "e0" ? "e1" : "e0");
  if (!to->Alive)
    return 0;
  submission.Number = ++NextSubmission;
  submission.Id = {0xCA11, submission.Number};
  submission.Call.Deadline = Queue.now() + CallTime;
  submission.Call.Expected =
      wholeAnswer({submission.Call.Number, submission.Call.Organisation,
                   submission.Chunks});
  SubmissionOf[submission.Id] = submission.Number;
  Submitted[submission.Number] = submission;
  EntryOf[submission.Number] = to->Name;
  Check.submitted(submission.Number, submission.Call);
  after(to->Name, to->Life, Duration(0), [this, name = to->Name, submission] {
    Processes.at(name).Entry->submit(submission);
  });
  return submission.Number;
}

void World::watchCommands() {
  Queue.after(KvWatchInterval, [this] {
    noteCommands();
    watchCommands();
  });
}

void World::schedule() {
  at(1.0, [this] { Started = true; });
  watchCommands();
  for (int i = 0; i < 60; ++i) {
    at(1.1 + 0.31 * i, [this, i] {
      submit(prompt(Organisations[i % 2], i % 7 == 3 ? "stream" : "whole"),
             i % 3 == 0 ? "e1" : "e0");
    });
  }
  // The engines' caches are emptied, so that context has to come back.
  for (double seconds : {2.0, 9.0, 15.0})
    at(seconds, [this] {
      for (auto &[name, process] : Processes)
        if (process.Server)
          process.Server->clearCache();
    });
  for (int i = 0; i < 16; ++i) {
    at(1.3 + 1.1 * i, [this, i] {
      auto naming = static_cast<Naming>(i % 3);
      Submission what = call(Organisations[i % 2], naming);
      if (naming == Naming::OpaqueKey)
        what.Key = "order " + std::to_string(i);
      submit(what, "e0");
      // The same call again at the other entry: a caller that lost patience.
      if (naming == Naming::OpaqueKey) {
        Queue.after(Duration(30'000), [this, what] { submit(what, "e1"); });
        Queue.after(Duration(5'000'000), [this, what] { submit(what, "e1"); });
      }
    });
  }
  ObjectKey bulletin{ObjectKind::RequestClass, "bulletin"};
  at(1.2, [this, bulletin] {
    WallTime release(Queue.now().time_since_epoch() + Duration(4'000'000));
    propose("e0", bulletin, [release](auto &object, Error &) {
      std::get<RequestClass>(*object).ReleaseAt = release;
      return true;
    });
  });
  at(2.5, [this] { submit(prompt(Organisations[0], "bulletin"), "e0"); });
  at(2.6, [this] { submit(prompt(Organisations[1], "bulletin"), "e1"); });
  // Two operators at once.
  ObjectKey usual{ObjectKind::RequestClass, "default"};
  for (const char *entry : {"e0", "e1"})
    at(3.0, [this, usual, entry] {
      uint32_t priority = entry[1] == '0' ? 4 : 6;
      propose(entry, usual, [priority](auto &object, Error &) {
        std::get<RequestClass>(*object).Priority = priority;
        return true;
      });
    });
  at(4.5, [this, usual] {
    propose("e1", usual, [](auto &object, Error &) {
      std::get<RequestClass>(*object).Priority = 7;
      return true;
    });
  });
  ObjectKey guide{ObjectKind::ReusePolicy, "growers:default"};
  at(6.0, [this, guide] {
    LoseNextCommand = true;
    propose("e0", guide, [](auto &object, Error &) {
      object = ReusePolicy{"growers", "default"};
      return true;
    });
  });
  ObjectKey model{ObjectKind::Model, "market"};
  for (auto [seconds, version] : {std::pair(4.0, "v2"), std::pair(14.0, "v1")})
    at(seconds, [this, model, wanted = std::string(version)] {
      propose("e0", model, [wanted](auto &object, Error &) {
        std::get<Model>(*object).Version = wanted;
        return true;
      });
      reached(Step::Swap, Processes.at("e0").Alive ? "e0" : "e1");
    });
  at(10.0, [this] { drain("a2"); });
  at(11.0, [this] { drain("s1"); });
  at(20.0, [this] { drain("e1"); });
}

void World::propose(const std::string &entry, const ObjectKey &key,
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
  after(to->Name, to->Life, Duration(0), [this, name = to->Name, command] {
    if (std::exchange(LoseNextCommand, false))
      Outside.LoseKvAnswers = 1;
    Processes.at(name).Control->propose(
        command, [this, id = command.Id](const CommandResult &result) {
          watchCommand(id, result);
        });
  });
}

void World::watchCommand(const Id128 &id, const CommandResult &result) {
  noteCommands();
  Commands.emplace_back(id, result.Outcome);
  if (result.Outcome == CommandOutcome::Applied &&
      !WrittenCommands.contains(id))
    Check.broken(Promise::ConfigurationStands,
                 "a command was told as applied that never was");
  if (result.Outcome == CommandOutcome::Applied && result.Revision > 0)
    Queue.after(SpreadTime,
                [this, revision = result.Revision] { checkSpread(revision); });
}

/// Sees every write to the configuration, and wakes the watches.
void World::noteCommands() {
  uint64_t revision = Outside.Kv.revision();
  if (revision == KvSeen)
    return;
  for (const auto &[key, entry] : Outside.Kv.entries()) {
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
  if (Outside.KvDown)
    return;
  for (auto &[name, process] : Processes)
    after(name, process.Life, Duration(1'000), [this, name, gap = WatchGap] {
      Processes.at(name).Control->onWatch(gap);
    });
}

void World::drain(const std::string &name) {
  Process &process = Processes.at(name);
  if (!process.Alive || process.Leaving)
    return;
  process.Leaving = true;
  Outside.setState(name, MemberState::Leaving);
  Check.leaving(name, Queue.now());
  after(name, process.Life, Duration(0), [this, name] {
    Process &it = Processes.at(name);
    if (it.Entry)
      return it.Entry->drain();
    it.Control->sayLeaving();
    it.Agent->drain();
  });
}

/// Callers of a dead entry see their connection break. Those with a stream
/// take it up at the other entry.
void World::resumeStreams(Process &dying) {
  for (const auto &[submission, entry] : EntryOf)
    if (entry == dying.Name)
      Check.entryLost(submission);
  for (const EntryHost::Open &it : dying.Entry->open()) {
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
    Check.submitted(rest.Number, rest.Call);
    after(other, to.Life, Duration(300'000),
          [this, other, rest, server = it.Server, from = it.Chunks] {
            Processes.at(other).Entry->resume(rest, server, from);
          });
  }
}

void World::checkSpread(uint64_t revision) {
  if (Queue.now() < ServiceTroubledUntil)
    return;
  for (const auto &[name, process] : Processes)
    if (process.Alive && Queue.now() >= process.DisturbedUntil &&
        process.Control->state().config().watermark() < revision)
      Check.broken(Promise::ConfigurationStands, name + " has not revision " +
                                                     std::to_string(revision) +
                                                     " after 8 s");
}

void World::finalChecks() {
  Check.checkAnswered(Queue.now());
  noteCommands();
  for (const auto &[id, outcome] : Commands) {
    bool mustNot = outcome == CommandOutcome::Conflict ||
                   outcome == CommandOutcome::Refused ||
                   outcome == CommandOutcome::Unavailable;
    if (mustNot && WrittenCommands.contains(id))
      Check.broken(Promise::ConfigurationStands,
                   "a command was applied that was told as " +
                       std::string(commandOutcomeName(outcome)));
  }
  for (const auto &[name, process] : Processes)
    for (const auto &[key, entry] : Outside.Kv.entries()) {
      Error reason;
      if (!process.Alive || !parseObjectKey(key, reason))
        continue;
      const ReplicaEntry *copy = process.Control->state().config().find(key);
      if (copy == nullptr || copy->Revision != entry.ModRevision)
        Check.broken(Promise::ConfigurationStands,
                     name + " ends with another state of " + key);
    }
}

} // namespace daisytack::matrix
