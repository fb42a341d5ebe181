#include "control_host.h"

#include "wire/codec.h"

#include <utility>

namespace daisytack::matrix {

using namespace control;

namespace {

constexpr Duration TickInterval{100'000};
constexpr Duration ReadInterval{5'000'000};
constexpr Duration ListInterval{1'000'000};
constexpr Duration SeedPatience{1'500'000};

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
                         Incarnation process, Platform &platform,
                         PromiseCheck &check, Hooks hooks)
    : Self(std::move(self)), Seeds(std::move(seeds)), Outside(platform),
      Check(check), On(std::move(hooks)), State({}, [](const Event &) {}),
      Talk(makeInit(Self, Seeds), State, On.Random),
      Current(std::make_shared<const Snapshot>()), Started(On.Now()) {
  Own.Generation = static_cast<uint64_t>(On.Now().time_since_epoch().count());
  Own.Process = process;
}

bool ControlHost::isReady() const {
  return State.config().watermark() > 0 && State.members().watermark() > 0;
}

void ControlHost::start() {
  Check.processStarted(Self.Name);
  Talk.publishSignal({Self.Name, Own}, On.Now());
  const Endpoint &seed = Seeds[On.Random() % Seeds.size()];
  On.Fetch(seed, Talk.pullMessage(On.Now()),
           [this](const StateUpdate &whole) { takeImage(whole); });
  tick();
}

void ControlHost::tick() {
  TimePoint now = On.Now();
  State.expire(now);
  if (!isReady())
    setReading(now - Started >= SeedPatience);
  else
    setReading(
        Choice.shouldRead(std::max(Talk.lastPlatformCall(), Started), now));
  act(Talk.onTick(now));
  changed();
  On.After(TickInterval, [this] { tick(); });
}

void ControlHost::sayLeaving() {
  Own.State = MemberState::Leaving;
  Talk.publishSignal({Self.Name, Own}, On.Now());
  act(Talk.onTick(On.Now()));
  changed();
}

void ControlHost::observeLeaving(const std::string &instance) {
  State.observeLeaving(instance, On.Now());
  changed();
}

void ControlHost::setReading(bool wanted) {
  if (wanted == IsReading)
    return;
  IsReading = wanted;
  ++Reading;
  if (!wanted)
    return;
  readConfig(Reading);
  readList(Reading);
}

void ControlHost::readConfig(uint64_t reading) {
  if (reading != Reading)
    return;
  On.Reached(Step::Read);
  uint64_t from = State.config().watermark();
  auto take = [this, from](const edge::KvRangeResult &result) {
    Error reason;
    bool isOk = result.Header.Status == edge::KvStatus::Ok;
    Talk.recordPlatformCall(isOk, On.Now());
    if (!isOk || !State.acceptService(result.Header, from, reason))
      return;
    Watched = std::max(Watched, result.Header.Revision);
    State.mergeConfig(toDelta(from, result.Header.Revision, result.Entries));
    act(Talk.onTick(On.Now()));
    changed();
  };
  Outside.call<edge::KvRangeResult>(
      [from](test::FakeKv &kv, TimePoint now) {
        return kv.range(configSince(from), now);
      },
      [this, take](const edge::KvRangeResult &result) {
        On.After(Duration(0), [take, result] { take(result); });
      });
  On.After(ReadInterval, [this, reading] { readConfig(reading); });
}

void ControlHost::onWatch(bool gap) {
  if (!IsReading)
    return;
  edge::KvRangeResult news = Outside.Kv.range(configSince(Watched), On.Now());
  uint64_t from = std::exchange(Watched, news.Header.Revision);
  if (gap || news.Entries.empty())
    return;
  State.mergeConfig(toDelta(from, Watched, news.Entries));
  act(Talk.onTick(On.Now()));
  changed();
}

void ControlHost::readList(uint64_t reading) {
  if (reading != Reading)
    return;
  uint64_t since = State.members().watermark();
  State.mergeMembers(toDelta(since, Outside.listed(since)));
  act(Talk.onTick(On.Now()));
  changed();
  On.After(ListInterval, [this, reading] { readList(reading); });
}

void ControlHost::act(GossipActions actions) {
  for (PeerSend &it : actions.Sends) {
    On.Reached(Step::Spread);
    On.Send(it.To, std::move(it.Payload));
  }
  if (actions.Fetch)
    On.Fetch(*actions.Fetch, Talk.pullMessage(On.Now()),
             [this](const StateUpdate &whole) { takeImage(whole); });
}

void ControlHost::takeImage(const StateUpdate &whole) {
  Talk.onFetched(whole, On.Now());
  changed();
}

void ControlHost::onPeer(const Endpoint &from, std::string_view bytes) {
  Error reason;
  auto message = wire::decode<PeerMessage>(bytes, reason);
  if (!message)
    return;
  auto *rumour = std::get_if<StateUpdate>(&*message);
  if (LastImageWins && rumour && rumour->Config) {
    // As a replica would that orders by arrival.
    for (const ReplicaEntry &it : rumour->Config->Entries)
      Check.inForce(Self.Name, it.Key, it.Revision);
  }
  act(Talk.onMessage(from, *message, On.Now()));
  changed();
}

StateUpdate ControlHost::serve(const Pull &pull) const {
  StateUpdate whole;
  for (const Page &it : Talk.pagesFor(pull, On.Now()))
    joinPage(whole, it);
  return whole;
}

void ControlHost::changed() {
  auto next = State.takeSnapshot();
  if (!next)
    return;
  if (next->MemberVersion != Current->MemberVersion ||
      Talk.peers() + 1 != State.memberTable().size())
    Talk.refreshPeers();
  Choice.setRank(readerRank(State.memberTable(), Self));
  Current = next;
  for (const auto &[key, entry] : State.config().entries())
    Check.inForce(Self.Name, key, entry.Revision);
  On.Reached(Step::Apply);
  On.Published(*Current);
}

void ControlHost::propose(Command command,
                          std::function<void(CommandResult)> done) {
  On.Reached(Step::Propose);
  std::optional<ReplicaEntry> base;
  if (const ReplicaEntry *entry = State.config().find(toText(command.Key)))
    base = *entry;
  constexpr Duration CommandTimeout{10'000'000};
  auto running = std::make_shared<CommandRun>(std::move(command), base,
                                              On.Now() + CommandTimeout);
  run(running, running->begin(), std::move(done));
}

void ControlHost::run(std::shared_ptr<CommandRun> command,
                      const CommandStep &step,
                      std::function<void(CommandResult)> done) {
  switch (step.Action) {
  case CommandStep::Kind::Done:
    return done(step.Result);
  case CommandStep::Kind::Wait:
    return On.After(step.Delay, [this, command, done] {
      run(command, command->onWaited(), done);
    });
  case CommandStep::Kind::Read:
    return Outside.call<edge::KvRangeResult>(
        [range = step.Range](test::FakeKv &kv, TimePoint now) {
          return kv.range(range, now);
        },
        [this, command, done](const edge::KvRangeResult &result) {
          On.After(Duration(0), [this, command, done, result] {
            run(command, command->onRead(result, On.Now()), done);
          });
        });
  case CommandStep::Kind::Commit:
    return Outside.call<edge::KvTransactionResult>(
        [write = step.Transaction](test::FakeKv &kv, TimePoint now) {
          return kv.commit(write, now);
        },
        [this, command, done](const edge::KvTransactionResult &result) {
          On.After(Duration(0), [this, command, done, result] {
            if (result.Header.Status == edge::KvStatus::Unknown)
              On.Reached(Step::LoseAnswer);
            run(command, command->onCommitted(result, On.Now()), done);
          });
        });
  }
}

} // namespace daisytack::matrix
