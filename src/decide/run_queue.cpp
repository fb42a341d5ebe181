#include "decide/run_queue.h"

#include <algorithm>

namespace daisytack {

namespace {

/// A run past its predicted end is assumed to take its service time divided by
/// this number longer; a prefill likewise.
constexpr int64_t OverrunDivisor = 10;

bool matches(const RunRequest &request, const RequestId &id, Attempt attempt) {
  return request.Id == id && request.AttemptNumber == attempt;
}

/// The predicted finish, or a later time for a run that has already passed it.
TimePoint expectedFinish(const RunRequest &request, TimePoint finish,
                         TimePoint now) {
  if (finish > now)
    return finish;
  return now + request.service() / OverrunDivisor;
}

} // namespace

RunQueue::RunQueue(RunQueueSettings settings) : Settings(settings) {
  Settings.Slots = std::clamp<uint32_t>(Settings.Slots, 1, MaxRunSlots);
  Running.reserve(Settings.Slots);
}

SlotTimes RunQueue::slotTimes(TimePoint now) const {
  SlotTimes out(Settings.MaxPrefills > 0, now);
  for (const ActiveRun &run : Running) {
    out.addSlot(expectedFinish(run.Request, run.Finish, now));
    TimePoint prefilled = run.Start + run.Request.Prefill;
    if (!run.Prefilled)
      out.prefillUntil(prefilled > now
                           ? prefilled
                           : now + run.Request.Prefill / OverrunDivisor);
  }
  for (size_t i = Running.size(); i < Settings.Slots; ++i)
    out.addSlot(now);
  return out;
}

double RunQueue::startTag(const RunRequest &request) const {
  double now = VirtualTime[request.Priority];
  auto it = FinishTags.find({request.Priority, request.Organisation});
  return it == FinishTags.end() ? now : std::max(now, it->second);
}

RunQueue::OrderKey RunQueue::orderKeyOf(const RunRequest &request) const {
  OrderKey out;
  out.Priority = -static_cast<int>(request.Priority);
  out.Round = static_cast<uint64_t>(
      startTag(request) / static_cast<double>(Settings.Quantum.count()));
  out.Deadline = request.Deadline;
  out.Sequence = NextSequence;
  return out;
}

RunPlan RunQueue::plan(const RunRequest &request, TimePoint now) const {
  RunPlan out;
  OrderKey order = orderKeyOf(request);
  SlotTimes slots = slotTimes(now);
  auto it = Waiting.begin();
  for (; it != Waiting.end() && it->Order < order; ++it)
    slots.schedule(it->Request);
  SlotTimes slotsBefore = slots;
  out.Start = slots.schedule(request);
  out.FirstToken = out.Start + request.Prefill;
  out.Finish = out.Start + request.service();
  out.ExceedsFairShare =
      order.Round > currentRound(request.Priority) &&
      Demand.demandOf(request.Organisation, now) >
          Demand.fairShare(request.Organisation, request.Weight);
  for (auto behind = it; behind != Waiting.end(); ++behind) {
    TimePoint finish =
        slots.schedule(behind->Request) + behind->Request.service();
    if (finish <= behind->Request.Deadline)
      continue;
    // The waiting request misses its deadline. Simulate the queue without the
    // new request to see whether that one is the cause.
    size_t offset = static_cast<size_t>(behind - it);
    if (finish > finishWithout(slotsBefore, it, offset)) {
      out.MakesAcceptedLate = true;
      out.LateRequest = behind->Request.Id;
      break;
    }
  }
  return out;
}

/// Predicted finish of the waiting request that is the given number of
/// positions after first. The slots are those before first runs.
TimePoint RunQueue::finishWithout(SlotTimes slots,
                                  std::vector<WaitingRun>::const_iterator first,
                                  size_t offset) {
  TimePoint finish;
  for (size_t i = 0; i <= offset; ++i, ++first)
    finish = slots.schedule(first->Request) + first->Request.service();
  return finish;
}

uint64_t RunQueue::currentRound(uint8_t priority) const {
  return static_cast<uint64_t>(VirtualTime[priority] /
                               static_cast<double>(Settings.Quantum.count()));
}

Duration RunQueue::backlog(TimePoint now) const {
  SlotTimes slots = slotTimes(now);
  for (const WaitingRun &it : Waiting)
    slots.schedule(it.Request);
  return slots.earliestStart() - now;
}

std::optional<RunRequest> RunQueue::firstAtRisk(TimePoint now) const {
  SlotTimes slots = slotTimes(now);
  for (const WaitingRun &it : Waiting)
    if (slots.schedule(it.Request) + it.Request.service() > it.Request.Deadline)
      return it.Request;
  return std::nullopt;
}

std::optional<RunRequest> RunQueue::preemptionVictim(const RunRequest &request,
                                                     TimePoint now) const {
  const ActiveRun *best = nullptr;
  Duration bestSlack{0};
  TimePoint restart = now + request.service();
  for (const ActiveRun &run : Running) {
    const RunRequest &it = run.Request;
    if (!it.Preemptible || it.Priority >= request.Priority)
      continue;
    Duration slack = it.Deadline - (restart + it.service());
    if (slack < Duration{0})
      continue;
    if (best != nullptr &&
        (best->Request.Priority < it.Priority ||
         (best->Request.Priority == it.Priority && bestSlack >= slack)))
      continue;
    best = &run;
    bestSlack = slack;
  }
  if (best == nullptr)
    return std::nullopt;
  return best->Request;
}

std::optional<RunRequest> RunQueue::firstOverdue(TimePoint now) const {
  for (const ActiveRun &run : Running)
    if (now >= run.Request.Deadline)
      return run.Request;
  return std::nullopt;
}

Duration RunQueue::waitingWork(uint64_t organisation) const {
  Duration out{0};
  for (const WaitingRun &it : Waiting)
    if (it.Request.Organisation == organisation)
      out += it.Request.service();
  return out;
}

Duration RunQueue::waitingWork() const {
  Duration out{0};
  for (const WaitingRun &it : Waiting)
    out += it.Request.service();
  return out;
}

Duration RunQueue::serverTime(const RunRequest &request) const {
  Duration ofSlots = request.service() / Settings.Slots;
  return Settings.MaxPrefills > 0 ? std::max(ofSlots, request.Prefill)
                                  : ofSlots;
}

void RunQueue::recordRefused(const RunRequest &request, TimePoint now) {
  Demand.record(request.Organisation, request.Weight, serverTime(request), now);
}

void RunQueue::push(const RunRequest &request, TimePoint now) {
  Demand.record(request.Organisation, request.Weight, serverTime(request), now);
  WaitingRun run{orderKeyOf(request), startTag(request), request};
  ++NextSequence;
  double cost = static_cast<double>(request.service().count()) /
                std::max<uint32_t>(request.Weight, 1);
  FinishTags[{request.Priority, request.Organisation}] = run.StartTag + cost;
  auto at = std::lower_bound(Waiting.begin(), Waiting.end(), run.Order,
                             [](const WaitingRun &it, const OrderKey &order) {
                               return it.Order < order;
                             });
  Waiting.insert(at, run);
}

bool RunQueue::isPrefillLimitReached() const {
  auto n = std::count_if(Running.begin(), Running.end(),
                         [](const ActiveRun &it) { return !it.Prefilled; });
  return n >= static_cast<ptrdiff_t>(Settings.MaxPrefills);
}

/// Whether a run may start before the runs in front of it, whose context has
/// not been fetched yet. It may if its prefill ends before their context is
/// there and a slot remains free for them. Otherwise it may only if no run that
/// it delays has a higher priority and no waiting run is made late.
bool RunQueue::mayOvertake(const WaitingRun &run, TimePoint now) const {
  TimePoint prefilled = now + run.Request.Prefill;
  bool isFree = running() + 1 < Settings.Slots;
  bool harmless = true;
  for (const WaitingRun *it = Waiting.data(); it != &run; ++it) {
    bool inTime = isFree && prefilled <= it->Request.ContextReady;
    harmless = harmless && inTime;
    if (!inTime && it->Request.Priority > run.Request.Priority)
      return false;
  }
  if (harmless)
    return true;
  SlotTimes slots = slotTimes(now);
  slots.schedule(run.Request);
  for (const WaitingRun &it : Waiting)
    if (&it != &run &&
        slots.schedule(it.Request) + it.Request.service() > it.Request.Deadline)
      return false;
  return true;
}

/// The next run to start, or the end of the queue if none can start now. If the
/// context of the first run is still being fetched, a later run may overtake
/// it, so that an engine that prefills one run after another does not stay
/// idle.
std::vector<RunQueue::WaitingRun>::iterator
RunQueue::firstStartable(TimePoint now) {
  if (Settings.MaxPrefills == 0)
    return Waiting.begin();
  if (isPrefillLimitReached())
    return Waiting.end();
  auto it =
      std::find_if(Waiting.begin(), Waiting.end(), [&](const WaitingRun &run) {
        return run.Request.ContextReady <= now;
      });
  if (it == Waiting.begin() || it == Waiting.end() || mayOvertake(*it, now))
    return it;
  return Waiting.end();
}

std::optional<RunRequest> RunQueue::start(TimePoint now) {
  if (!hasFreeSlot())
    return std::nullopt;
  auto it = firstStartable(now);
  if (it == Waiting.end())
    return std::nullopt;
  WaitingRun run = *it;
  Waiting.erase(it);
  double &time = VirtualTime[run.Request.Priority];
  time = std::max(time, run.StartTag);
  TimePoint begin = std::max(now, run.Request.ContextReady);
  Running.push_back({run.Request, now, begin + run.Request.service()});
  if (Waiting.empty())
    endBusyPeriod();
  return run.Request;
}

void RunQueue::markPrefilled(const RequestId &id, Attempt attempt) {
  for (ActiveRun &it : Running)
    if (matches(it.Request, id, attempt))
      it.Prefilled = true;
}

void RunQueue::endBusyPeriod() {
  for (const auto &[key, tag] : FinishTags)
    VirtualTime[key.Priority] = std::max(VirtualTime[key.Priority], tag);
  FinishTags.clear();
}

bool RunQueue::finish(const RequestId &id, Attempt attempt) {
  return std::erase_if(Running, [&](const ActiveRun &run) {
           return matches(run.Request, id, attempt);
         }) != 0;
}

bool RunQueue::cancel(const RequestId &id, Attempt attempt) {
  return std::erase_if(Waiting, [&](const WaitingRun &run) {
           return matches(run.Request, id, attempt);
         }) != 0;
}

bool RunQueue::suspend(const RequestId &id, Attempt attempt, TimePoint now) {
  auto it =
      std::find_if(Running.begin(), Running.end(), [&](const ActiveRun &run) {
        return matches(run.Request, id, attempt);
      });
  if (it == Running.end())
    return false;
  RunRequest request = it->Request;
  Running.erase(it);
  push(request, now);
  return true;
}

bool RunQueue::setContextReady(const RequestId &id, Attempt attempt,
                               TimePoint ready) {
  for (WaitingRun &it : Waiting)
    if (matches(it.Request, id, attempt)) {
      it.Request.ContextReady = ready;
      return true;
    }
  return false;
}

bool RunQueue::setPrefill(const RequestId &id, Attempt attempt,
                          Duration prefill) {
  for (WaitingRun &it : Waiting)
    if (matches(it.Request, id, attempt)) {
      it.Request.Prefill = prefill;
      return true;
    }
  return false;
}

} // namespace daisytack
