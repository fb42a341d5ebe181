#include "control_host.h"

#include "wire/codec.h"

#include <algorithm>
#include <utility>

namespace daisytack::matrix {

using namespace control;

namespace {

constexpr Duration TickInterval{100'000};
constexpr Duration ReadInterval{5'000'000};
constexpr Duration ListInterval{1'000'000};
constexpr Duration SeedTimeout{1'500'000};

GossipInit makeInit(const Member &self, const std::vector<Endpoint> &seeds) {
  GossipInit out;
  out.Self = self;
  out.Seeds = seeds;
  out.UpdateInterval = TickInterval;
  return out;
}

edge::KvRange configSince(uint64_t revision) {
  edge::KvRange out;
  out.Begin = std::string(ConfigPrefix);
  out.End = edge::prefixEnd(out.Begin);
  out.MinModRevision = revision + 1;
  return out;
}

} // namespace

ControlHost::ControlHost(Member self, std::vector<Endpoint> seeds,
                         Incarnation process, FakePlatform &platform,
                         InvariantChecker &check, Hooks hooks)
    : Self(std::move(self)), Seeds(std::move(seeds)), Platform(platform),
      Checker(check), Callbacks(std::move(hooks)),
      State({}, [](const Event &) {}),
      PeerGossip(makeInit(Self, Seeds), State, Callbacks.Random),
      Current(std::make_shared<const Snapshot>()), Started(Callbacks.Now()) {
  OwnSignal.Generation =
      static_cast<uint64_t>(Callbacks.Now().time_since_epoch().count());
  OwnSignal.Process = process;
}

bool ControlHost::isReady() const {
  return State.config().watermark() > 0 && State.members().watermark() > 0;
}

void ControlHost::start() {
  Checker.onProcessStarted(Self.Name);
  PeerGossip.publishSignal({Self.Name, OwnSignal}, Callbacks.Now());
  const Endpoint &seed = Seeds[Callbacks.Random() % Seeds.size()];
  Callbacks.Fetch(
      seed, PeerGossip.pullMessage(Callbacks.Now()),
      [this](const StateUpdate &update) { mergeFullState(update); });
  tick();
}

void ControlHost::tick() {
  TimePoint now = Callbacks.Now();
  State.expire(now);
  if (!isReady())
    setReader(now - Started >= SeedTimeout);
  else
    setReader(ReaderSelection.shouldRead(
        std::max(PeerGossip.lastPlatformCall(), Started), now));
  performActions(PeerGossip.onTick(now));
  publishChanges();
  Callbacks.Schedule(TickInterval, [this] { tick(); });
}

void ControlHost::announceLeaving() {
  OwnSignal.State = MemberState::Leaving;
  PeerGossip.publishSignal({Self.Name, OwnSignal}, Callbacks.Now());
  performActions(PeerGossip.onTick(Callbacks.Now()));
  publishChanges();
}

void ControlHost::observeLeaving(const std::string &instance) {
  State.observeLeaving(instance, Callbacks.Now());
  publishChanges();
}

void ControlHost::setReader(bool enabled) {
  if (enabled == IsReader)
    return;
  IsReader = enabled;
  ++ReadEpoch;
  if (!enabled)
    return;
  readConfig(ReadEpoch);
  readList(ReadEpoch);
}

void ControlHost::readConfig(uint64_t epoch) {
  if (epoch != ReadEpoch)
    return;
  Callbacks.StepReached(Step::Read);
  uint64_t from = State.config().watermark();
  auto merge = [this, from](const edge::KvRangeResult &result) {
    Error reason;
    bool isOk = result.Header.Status == edge::KvStatus::Ok;
    PeerGossip.recordPlatformCall(isOk, Callbacks.Now());
    if (!isOk || !State.acceptService(result.Header, from, reason))
      return;
    WatchRevision = std::max(WatchRevision, result.Header.Revision);
    State.mergeConfig(toDelta(from, result.Header.Revision, result.Entries));
    performActions(PeerGossip.onTick(Callbacks.Now()));
    publishChanges();
  };
  Platform.call<edge::KvRangeResult>(
      [from](test::FakeKv &kv, TimePoint now) {
        return kv.range(configSince(from), now);
      },
      [this, merge](const edge::KvRangeResult &result) {
        Callbacks.Schedule(Duration(0), [merge, result] { merge(result); });
      });
  Callbacks.Schedule(ReadInterval, [this, epoch] { readConfig(epoch); });
}

void ControlHost::onWatch(bool gap) {
  if (!IsReader)
    return;
  edge::KvRangeResult changes =
      Platform.Kv.range(configSince(WatchRevision), Callbacks.Now());
  uint64_t from = std::exchange(WatchRevision, changes.Header.Revision);
  if (gap || changes.Entries.empty())
    return;
  State.mergeConfig(toDelta(from, WatchRevision, changes.Entries));
  performActions(PeerGossip.onTick(Callbacks.Now()));
  publishChanges();
}

void ControlHost::readList(uint64_t epoch) {
  if (epoch != ReadEpoch)
    return;
  uint64_t since = State.members().watermark();
  State.mergeMembers(toDelta(since, Platform.membersSince(since)));
  performActions(PeerGossip.onTick(Callbacks.Now()));
  publishChanges();
  Callbacks.Schedule(ListInterval, [this, epoch] { readList(epoch); });
}

void ControlHost::performActions(GossipActions actions) {
  for (PeerSend &it : actions.Sends) {
    Callbacks.StepReached(Step::Spread);
    Callbacks.Send(it.To, std::move(it.Payload));
  }
  if (actions.Fetch)
    Callbacks.Fetch(
        *actions.Fetch, PeerGossip.pullMessage(Callbacks.Now()),
        [this](const StateUpdate &update) { mergeFullState(update); });
}

void ControlHost::mergeFullState(const StateUpdate &update) {
  PeerGossip.onFetched(update, Callbacks.Now());
  publishChanges();
}

void ControlHost::onPeerMessage(const Endpoint &from, std::string_view bytes) {
  Error reason;
  auto message = wire::decode<PeerMessage>(bytes, reason);
  if (!message)
    return;
  auto *update = std::get_if<StateUpdate>(&*message);
  if (AcceptsOlderState && update && update->Config)
    takeOlderConfig(*update->Config);
  performActions(PeerGossip.onMessage(from, *message, Callbacks.Now()));
  publishChanges();
}

/// Replaces the state by one whose configuration has the older entries of the
/// update. Signals are lost with it; peers send them again.
void ControlHost::takeOlderConfig(const ReplicaDelta &update) {
  ReplicaDelta image = State.config().deltaAfter(0);
  bool changed = false;
  for (ReplicaEntry &it : image.Entries)
    for (const ReplicaEntry &older : update.Entries)
      if (older.Key == it.Key && older.Revision < it.Revision) {
        it = older;
        changed = true;
      }
  if (!changed)
    return;
  std::sort(image.Entries.begin(), image.Entries.end(),
            [](const ReplicaEntry &a, const ReplicaEntry &b) {
              return a.Revision < b.Revision;
            });
  ControlState replaced({}, [](const Event &) {});
  replaced.mergeConfig(image);
  replaced.mergeMembers(State.members().deltaAfter(0));
  State = std::move(replaced);
}

StateUpdate ControlHost::answerPull(const Pull &pull) const {
  StateUpdate update;
  for (const Page &it : PeerGossip.pagesFor(pull, Callbacks.Now()))
    joinPage(update, it);
  return update;
}

void ControlHost::publishChanges() {
  auto next = State.takeSnapshot();
  if (!next)
    return;
  if (next->MemberVersion != Current->MemberVersion ||
      PeerGossip.peers() + 1 != State.memberTable().size())
    PeerGossip.refreshPeers();
  ReaderSelection.setRank(readerRank(State.memberTable(), Self));
  Current = next;
  for (const auto &[key, entry] : State.config().entries())
    Checker.onConfigApplied(Self.Name, key, entry.Revision);
  Callbacks.StepReached(Step::Apply);
  Callbacks.Published(*Current);
}

void ControlHost::propose(Command command,
                          std::function<void(CommandResult)> done) {
  Callbacks.StepReached(Step::Propose);
  std::optional<ReplicaEntry> base;
  if (const ReplicaEntry *entry = State.config().find(toText(command.Key)))
    base = *entry;
  constexpr Duration CommandTimeout{10'000'000};
  auto running = std::make_shared<CommandRun>(std::move(command), base,
                                              Callbacks.Now() + CommandTimeout);
  run(running, running->begin(), std::move(done));
}

void ControlHost::run(std::shared_ptr<CommandRun> command,
                      const CommandStep &step,
                      std::function<void(CommandResult)> done) {
  switch (step.Action) {
  case CommandStep::Kind::Done:
    return done(step.Result);
  case CommandStep::Kind::Wait:
    return Callbacks.Schedule(step.Delay, [this, command, done] {
      run(command, command->onWaited(), done);
    });
  case CommandStep::Kind::Read:
    return Platform.call<edge::KvRangeResult>(
        [range = step.Range](test::FakeKv &kv, TimePoint now) {
          return kv.range(range, now);
        },
        [this, command, done](const edge::KvRangeResult &result) {
          Callbacks.Schedule(Duration(0), [this, command, done, result] {
            run(command, command->onRead(result, Callbacks.Now()), done);
          });
        });
  case CommandStep::Kind::Commit:
    return Platform.call<edge::KvTransactionResult>(
        [write = step.Transaction](test::FakeKv &kv, TimePoint now) {
          return kv.commit(write, now);
        },
        [this, command, done](const edge::KvTransactionResult &result) {
          Callbacks.Schedule(Duration(0), [this, command, done, result] {
            if (result.Header.Status == edge::KvStatus::Unknown)
              Callbacks.StepReached(Step::LoseAnswer);
            run(command, command->onCommitted(result, Callbacks.Now()), done);
          });
        });
  }
}

} // namespace daisytack::matrix
