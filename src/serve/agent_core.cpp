#include "serve/agent_core.h"

#include "base/digest.h"
#include "serve/agent_impl.h"

#include <algorithm>
#include <utility>

namespace daisytack::serve {

namespace {

void updateEarliest(std::optional<TimePoint> &out, TimePoint when) {
  if (!out || when < *out)
    out = when;
}

/// Each process generates its own ticket secret, because only the process that
/// issued a ticket verifies it.
TicketLedgerInit ledgerInit(const AgentSettings &settings,
                            const RandomSource &random) {
  TicketLedgerInit out;
  out.Instance = settings.Instance;
  out.Process = settings.Process;
  out.Secret = toHex(randomId(random)) + toHex(randomId(random));
  out.TicketLife = settings.TicketLife;
  out.MaxRecords = settings.MaxTickets;
  return out;
}

swap::ConvergerInit convergeInit(const AgentSettings &settings) {
  swap::ConvergerInit out = settings.Swap;
  out.Slot.Model = settings.Serves;
  out.Slot.Instance = settings.Instance;
  out.Slot.Process = settings.Process;
  return out;
}

RunView makeRunView(const Run &run) {
  RunView out;
  out.Id = run.Token.Id;
  out.AttemptNumber = run.Token.AttemptNumber;
  out.State = run.State;
  out.Organisation = run.Organisation;
  out.Class = run.Request->Class;
  out.Version = run.Version;
  out.Priority = run.Request->Priority;
  out.Arrived = run.Arrived;
  out.Deadline = run.Deadline;
  out.PromptTokens = run.Request->PromptTokens;
  out.GeneratedTokens = run.Answer.tokens();
  out.Links = static_cast<uint32_t>(run.Readers.size());
  return out;
}

} // namespace

AgentCore::Impl::Impl(AgentSettings settings, RandomSource random)
    : Settings(std::move(settings)), Random(std::move(random)),
      Queue(Settings.Queue), Predictor(Settings.Predictor),
      Tickets(ledgerInit(Settings, Random), Random, sink()),
      CacheView(Settings.MaxCachedPieces), Stores(Settings.Stores),
      Fetch(Settings.Fetch, Stores, CacheView, CallIds,
            {[this] { return std::max(1.0, double(Predictor.prefillRate())); },
             [this] { return trustedVersion(); }}),
      Exports(Settings.Export, Stores, CallIds,
              [this] { return trustedVersion(); }),
      Swap(convergeInit(Settings), Random, sink()),
      Snapshot(std::make_shared<const AgentSnapshot>()) {
  CacheView.reset(FirstCacheEvent, true);
}

EventSink AgentCore::Impl::sink() {
  return [this](Event event) {
    if (CurrentActions)
      CurrentActions->push_back(RecordEvent{std::move(event)});
  };
}

AgentCore::AgentCore(AgentSettings settings, RandomSource random)
    : Self(std::make_unique<Impl>(std::move(settings), std::move(random))) {}

AgentCore::~AgentCore() = default;

AgentActions AgentCore::apply(AgentInput input, TimePoint now) {
  AgentActions out;
  apply(std::move(input), now, out);
  return out;
}

void AgentCore::apply(AgentInput input, TimePoint now, AgentActions &out) {
  if (auto *timer = std::get_if<TimerFired>(&input))
    Self->WallOffset = timer->Wall.time_since_epoch() - now.time_since_epoch();
  Step step{now, WallTime(now.time_since_epoch() + Self->WallOffset), out};
  Self->LastStepAt = now;
  Self->CurrentActions = &out;
  std::visit([&](auto &in) { Self->on(in, step); }, input);
  Self->processFetches(step);
  Self->converge(step);
  Self->CurrentActions = nullptr;
  Self->publish(now);
}

std::optional<TimePoint> AgentCore::nextTimer() const {
  return Self->nextTimer();
}
bool AgentCore::isDrained() const { return Self->isDrained(); }
bool AgentCore::isReady() const { return Self->isReady(); }
wire::LoadReport AgentCore::loadReport(TimePoint now) const {
  return Self->loadReport(now);
}
const Rcu<AgentSnapshot> &AgentCore::snapshot() const { return Self->Snapshot; }

void AgentCore::Impl::on(const StopRequested &input, Step &step) {
  std::vector<RequestId> ids;
  for (const auto &[id, run] : Runs.all())
    if (!run->isFinished() &&
        (input.Request ? id == *input.Request
                       : run->Request->Class == input.Class))
      ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  for (const RequestId &id : ids) {
    Run *run = Runs.find(id);
    if (!run || run->isFinished())
      continue;
    stopAtServer(*run, step);
    record(step, EventKind::RunCancelled, *run, ErrorKind::Cancelled);
    fail(*run, {ErrorKind::Cancelled, "stopped by an operator"}, step);
  }
}

void AgentCore::Impl::on(const DrainRequested & /*input*/, Step &step) {
  if (Draining)
    return;
  Draining = true;
  Dirty = true;
  Event event;
  event.Kind = EventKind::ProcessDraining;
  event.Subject = Settings.Instance;
  event.Scores = {static_cast<int64_t>(Queue.running()),
                  static_cast<int64_t>(Queue.waiting())};
  step.Out.push_back(RecordEvent{event});
}

void AgentCore::Impl::on(const TimerFired & /*input*/, Step &step) {
  for (const RequestId &id : Runs.due(step.Now))
    onRunTimer(id, step);
  expireClosedAttempts(step.Now);
  Fetch.onTimer(step);
  tick(step);
}

void AgentCore::Impl::onRunTimer(const RequestId &id, Step &step) {
  Run *run = Runs.find(id);
  if (!run)
    return;
  bool isAbandoned = run->RetainUntil && *run->RetainUntil <= step.Now;
  if (run->isFinished()) {
    if (isAbandoned) {
      HeldBytes -= run->Answer.bytes();
      Runs.erase(id);
      pruneFinishedOrder();
    }
    return;
  }
  if (isAbandoned) {
    stopAtServer(*run, step);
    record(step, EventKind::RunCancelled, *run, ErrorKind::Cancelled);
    fail(*run, {ErrorKind::Cancelled, "nobody reads the answer"}, step);
  } else if (run->Deadline <= step.Now) {
    stopAtServer(*run, step);
    fail(*run, {ErrorKind::DeadlinePassed, "deadline passed at the agent"},
         step);
  }
}

void AgentCore::Impl::tick(Step &step) {
  if (!Settings.IsService && NextCacheEvents <= step.Now) {
    NextCacheEvents = step.Now + Settings.CacheEventPeriod;
    step.Out.push_back(PollCacheEvents{CacheView.nextSequence()});
  }
  if (NextTick > step.Now)
    return;
  NextTick = step.Now + Settings.StatusPeriod;
  if (!Settings.IsService)
    step.Out.push_back(PollStatus{});
  observeRunning(step.Now);
  handleRunsAtRisk(step);
}

bool AgentCore::Impl::needsTick() const {
  return !Settings.IsService || Queue.running() + Queue.waiting() > 0;
}

std::optional<TimePoint> AgentCore::Impl::nextTimer() const {
  std::optional<TimePoint> out = Runs.nextWake();
  if (needsTick())
    updateEarliest(out, NextTick);
  if (!Settings.IsService)
    updateEarliest(out, NextCacheEvents);
  if (auto at = Fetch.nextTimer())
    updateEarliest(out, *at);
  if (auto at = Swap.nextTimer())
    updateEarliest(out, *at);
  if (auto at = Stores.nextTransferAt(LastStepAt))
    updateEarliest(out, *at);
  if (Dirty)
    updateEarliest(out, NextSnapshot);
  if (!ClosedOrder.empty())
    if (auto it = ClosedAttempts.find(ClosedOrder.front());
        it != ClosedAttempts.end())
      updateEarliest(out, it->second.ExpiresAt);
  return out;
}

bool AgentCore::Impl::isDrained() const {
  if (!Draining)
    return false;
  return std::all_of(Runs.all().begin(), Runs.all().end(), [](const auto &it) {
    return it.second->isFinished() && !it.second->NotifiedReaders.empty();
  });
}

bool AgentCore::Impl::isReachable() const {
  return Settings.IsService || EngineSeenAt.has_value();
}

bool AgentCore::Impl::isStatusFresh(TimePoint now) const {
  return Settings.IsService ||
         (EngineSeenAt && now - *EngineSeenAt < Settings.EngineTimeout);
}

bool AgentCore::Impl::isReady() const {
  return !isLeaving() && isReachable() && !Swap.refusesNewRequests();
}

uint64_t AgentCore::Impl::hitsOf(const std::string &organisation) const {
  auto it = Hits.find(organisation);
  return it == Hits.end() ? 0 : it->second;
}

wire::LoadReport AgentCore::Impl::loadReport(TimePoint now) const {
  wire::LoadReport out;
  out.WaitMicros = static_cast<uint64_t>(Queue.backlog(now).count());
  out.PrefillTokensPerSecond = Predictor.prefillRate();
  out.Running = static_cast<uint32_t>(Queue.running());
  out.Waiting = static_cast<uint32_t>(Queue.waiting());
  out.Version = version();
  out.Leaving = isLeaving();
  return out;
}

std::shared_ptr<const AgentSnapshot>
AgentCore::Impl::makeSnapshot(TimePoint now) const {
  auto out = std::make_shared<AgentSnapshot>();
  out->At = now;
  out->Draining = isLeaving();
  out->EngineReachable = isReachable();
  out->Load = loadReport(now);
  out->DesiredVersion = Config.Version;
  out->Swap = Swap.state();
  for (const auto &[id, run] : Runs.all())
    if (!run->isFinished())
      out->Runs.push_back(makeRunView(*run));
  std::sort(
      out->Runs.begin(), out->Runs.end(),
      [](const RunView &a, const RunView &b) { return a.Arrived < b.Arrived; });
  for (const auto &[name, usage] : Exports.usage())
    out->KeptContext.push_back({name, usage.Pieces, usage.Bytes, hitsOf(name)});
  out->Refusals.assign(Refusals.begin(), Refusals.end());
  return out;
}

void AgentCore::Impl::publish(TimePoint now) {
  if (!Dirty || now < NextSnapshot)
    return;
  Snapshot.publish(makeSnapshot(now));
  NextSnapshot = now + Settings.SnapshotPeriod;
  Dirty = false;
}

void AgentCore::Impl::record(Step &step, EventKind kind, const Run &run,
                             ErrorKind reason,
                             std::array<int64_t, Event::MaxScores> scores) {
  Event event;
  event.Kind = kind;
  event.Request = run.Token.Id;
  event.AttemptNumber = run.Token.AttemptNumber;
  event.Reason = reason;
  event.Scores = scores;
  event.Subject = run.Organisation;
  step.Out.push_back(RecordEvent{std::move(event)});
}

void AgentCore::Impl::send(Step &step, LinkHandle link, wire::Message message) {
  step.Out.push_back(SendMessage{link, std::move(message)});
}

} // namespace daisytack::serve
