#include "decide/run_queue.h"

#include <algorithm>
#include <cmath>

namespace daisytack {

namespace {

/// A run that is past its predicted end is believed to need this share of its
/// service more.
constexpr int64_t OverrunShare = 10;
/// Time constant of the organisations' demand; those silent for longer are
/// forgotten, at the latest when there are so many.
constexpr Duration DemandWindow{10'000'000};
constexpr size_t MostDemands = 8'192;

bool matches(const RunRequest &request, const RequestId &id, Attempt attempt) {
  return request.Id == id && request.Try == attempt;
}

TimePoint expectedFinish(const RunRequest &request, TimePoint finish,
                         TimePoint now) {
  if (finish > now)
    return finish;
  return now + request.service() / OverrunShare;
}

} // namespace

/// Times at which the slots become free, as a binary heap with the earliest
/// first, and the time at which the engine has done the prefills before, when
/// it does one after another.
class RunQueue::SlotTimes {
public:
  SlotTimes(bool serial, TimePoint now) : Serial(serial), Prefilling(now) {}
  void add(TimePoint t) {
    Times[Count++] = t;
    std::push_heap(Times.begin(), Times.begin() + Count, std::greater<>());
  }
  /// Runs a request on the earliest slot; its start is returned.
  TimePoint run(const RunRequest &request) {
    TimePoint start = std::max(Times[0], request.Ready);
    if (Serial) {
      start = std::max(start, Prefilling);
      // Others are prefilled while this one waits for its context.
      Prefilling += request.Prefill;
    }
    TimePoint finish = start + request.service();
    // One pass down the heap: the earliest is replaced.
    size_t at = 0;
    for (size_t child = 1; child < Count; child = 2 * at + 1) {
      if (child + 1 < Count && Times[child + 1] < Times[child])
        ++child;
      if (finish <= Times[child])
        break;
      Times[at] = Times[child];
      at = child;
    }
    Times[at] = finish;
    return start;
  }
  TimePoint earliest() const {
    return Serial ? std::max(Times[0], Prefilling) : Times[0];
  }
  void prefillUntil(TimePoint t) { Prefilling = std::max(Prefilling, t); }

private:
  std::array<TimePoint, MaxRunSlots> Times{};
  size_t Count = 0;
  bool Serial;
  TimePoint Prefilling;
};

RunQueue::RunQueue(RunQueueSettings settings) : Settings(settings) {
  Settings.Slots = std::clamp<uint32_t>(Settings.Slots, 1, MaxRunSlots);
  Running.reserve(Settings.Slots);
}

RunQueue::SlotTimes RunQueue::slotTimes(TimePoint now) const {
  SlotTimes out(Settings.Prefills > 0, now);
  for (const ActiveRun &run : Running) {
    out.add(expectedFinish(run.Request, run.Finish, now));
    if (!run.Prefilled)
      out.prefillUntil(run.Start + run.Request.Prefill);
  }
  for (size_t i = Running.size(); i < Settings.Slots; ++i)
    out.add(now);
  return out;
}

double RunQueue::startTag(const RunRequest &request) const {
  double now = VirtualTime[request.Priority];
  auto it = FinishTags.find({request.Priority, request.Organisation});
  return it == FinishTags.end() ? now : std::max(now, it->second);
}

RunQueue::Place RunQueue::placeOf(const RunRequest &request) const {
  Place out;
  out.Priority = -static_cast<int>(request.Priority);
  out.Round = static_cast<uint64_t>(
      startTag(request) / static_cast<double>(Settings.Quantum.count()));
  out.Deadline = request.Deadline;
  out.Sequence = NextSequence;
  return out;
}

RunPlan RunQueue::plan(const RunRequest &request, TimePoint now) const {
  RunPlan out;
  Place place = placeOf(request);
  SlotTimes slots = slotTimes(now);
  auto it = Waiting.begin();
  for (; it != Waiting.end() && it->At < place; ++it)
    slots.run(it->Request);
  SlotTimes without = slots;
  out.Start = slots.run(request);
  out.FirstToken = out.Start + request.Prefill;
  out.Finish = out.Start + request.service();
  out.OverShare = place.Round > presentRound(request.Priority) &&
                  demandOf(request.Organisation, now) >
                      fairShare(request.Organisation, request.Weight);
  for (auto behind = it; behind != Waiting.end(); ++behind) {
    TimePoint finish = slots.run(behind->Request) + behind->Request.service();
    if (finish <= behind->Request.Deadline)
      continue;
    // Late as it is, or because of this request? The rest is only then run
    // through a second time.
    size_t last = static_cast<size_t>(behind - it);
    if (finish > finishWithout(without, it, last)) {
      out.BreaksAccepted = true;
      out.Broken = behind->Request.Id;
      break;
    }
  }
  return out;
}

/// Finish of the waiting request so many places after the first given one, with
/// slots as they are before that.
TimePoint RunQueue::finishWithout(SlotTimes slots,
                                  std::vector<WaitingRun>::const_iterator first,
                                  size_t last) {
  TimePoint finish;
  for (size_t i = 0; i <= last; ++i, ++first)
    finish = slots.run(first->Request) + first->Request.service();
  return finish;
}

uint64_t RunQueue::presentRound(uint8_t priority) const {
  return static_cast<uint64_t>(VirtualTime[priority] /
                               static_cast<double>(Settings.Quantum.count()));
}

Duration RunQueue::backlog(TimePoint now) const {
  SlotTimes slots = slotTimes(now);
  for (const WaitingRun &it : Waiting)
    slots.run(it.Request);
  return slots.earliest() - now;
}

std::optional<RunRequest> RunQueue::firstAtRisk(TimePoint now) const {
  SlotTimes slots = slotTimes(now);
  for (const WaitingRun &it : Waiting)
    if (slots.run(it.Request) + it.Request.service() > it.Request.Deadline)
      return it.Request;
  return std::nullopt;
}

std::optional<RunRequest> RunQueue::preemptionVictim(const RunRequest &request,
                                                     TimePoint now) const {
  const ActiveRun *best = nullptr;
  Duration bestSpare{0};
  TimePoint restart = now + request.service();
  for (const ActiveRun &run : Running) {
    const RunRequest &it = run.Request;
    if (!it.Preemptible || it.Priority >= request.Priority)
      continue;
    Duration spare = it.Deadline - (restart + it.service());
    if (spare < Duration{0})
      continue;
    if (best != nullptr &&
        (best->Request.Priority < it.Priority ||
         (best->Request.Priority == it.Priority && bestSpare >= spare)))
      continue;
    best = &run;
    bestSpare = spare;
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

double RunQueue::Demand::decayed(TimePoint now) const {
  double age = static_cast<double>((now - At).count());
  return age <= 0
             ? Micros
             : Micros *
                   std::exp(-age / static_cast<double>(DemandWindow.count()));
}

void RunQueue::Demand::add(Duration work, TimePoint now) {
  Micros = decayed(now) + static_cast<double>(work.count());
  At = std::max(At, now);
}

double RunQueue::demandOf(uint64_t organisation, TimePoint now) const {
  auto it = DemandBy.find(organisation);
  if (it == DemandBy.end())
    return 0;
  return it->second.decayed(now) / static_cast<double>(DemandWindow.count()) /
         Settings.Slots;
}

double RunQueue::demandOfOthers(uint64_t organisation, TimePoint now) const {
  double all = DemandOfAll.decayed(now) /
               static_cast<double>(DemandWindow.count()) / Settings.Slots;
  return std::max(all - demandOf(organisation, now), 0.0);
}

double RunQueue::fairShare(uint64_t organisation, uint32_t weight) const {
  double all = ActiveWeight;
  if (!DemandBy.contains(organisation))
    all += weight;
  return all > 0 ? std::min(weight / all, 1.0) : 1.0;
}

void RunQueue::noteDemand(const RunRequest &request, TimePoint now) {
  DemandOfAll.add(request.service(), now);
  Demand &own = DemandBy[request.Organisation];
  own.add(request.service(), now);
  ActiveWeight += static_cast<double>(request.Weight) - own.Weight;
  own.Weight = request.Weight;
  if (now < ForgotAt + DemandWindow && DemandBy.size() < MostDemands)
    return;
  ForgotAt = now;
  std::erase_if(DemandBy, [&](const auto &it) {
    if (now - it.second.At <= DemandWindow)
      return false;
    ActiveWeight -= it.second.Weight;
    return true;
  });
}

void RunQueue::noteRefused(const RunRequest &request, TimePoint now) {
  noteDemand(request, now);
}

void RunQueue::push(const RunRequest &request, TimePoint now) {
  noteDemand(request, now);
  WaitingRun run{placeOf(request), startTag(request), request};
  ++NextSequence;
  double cost = static_cast<double>(request.service().count()) /
                std::max<uint32_t>(request.Weight, 1);
  FinishTags[{request.Priority, request.Organisation}] = run.Tag + cost;
  auto at = std::lower_bound(
      Waiting.begin(), Waiting.end(), run.At,
      [](const WaitingRun &it, const Place &place) { return it.At < place; });
  Waiting.insert(at, run);
}

std::vector<RunQueue::WaitingRun>::iterator
RunQueue::firstStartable(TimePoint now) {
  if (Settings.Prefills == 0)
    return Waiting.begin();
  auto prefills =
      std::count_if(Running.begin(), Running.end(),
                    [](const ActiveRun &it) { return !it.Prefilled; });
  if (prefills >= static_cast<ptrdiff_t>(Settings.Prefills))
    return Waiting.end();
  return std::find_if(
      Waiting.begin(), Waiting.end(),
      [&](const WaitingRun &it) { return it.Request.Ready <= now; });
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
  time = std::max(time, run.Tag);
  TimePoint begin = std::max(now, run.Request.Ready);
  Running.push_back({run.Request, now, begin + run.Request.service()});
  if (Waiting.empty())
    endBusyPeriod();
  return run.Request;
}

void RunQueue::prefilled(const RequestId &id, Attempt attempt) {
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

bool RunQueue::setReady(const RequestId &id, Attempt attempt, TimePoint ready) {
  for (WaitingRun &it : Waiting)
    if (matches(it.Request, id, attempt)) {
      it.Request.Ready = ready;
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
