#include "swap_fleet.h"

namespace daisytack::test {

using namespace swap;

namespace {

constexpr Duration Tick{50'000};

edge::KvHeader lost(CallFate fate) {
  edge::KvHeader out;
  out.Status = fate == CallFate::NeverSent ? edge::KvStatus::Unavailable
                                           : edge::KvStatus::Unknown;
  return out;
}

/// The same kind of result, without an answer in it.
decltype(SlotResult::What) withoutAnswer(const SlotResult &answered,
                                         CallFate fate) {
  if (std::holds_alternative<edge::KvRangeResult>(answered.What))
    return edge::KvRangeResult{lost(fate), {}, false};
  if (std::holds_alternative<edge::KvTransactionResult>(answered.What))
    return edge::KvTransactionResult{lost(fate), {}};
  return edge::KvLeaseResult{lost(fate), 0, Duration(0)};
}

} // namespace

SwapFleet::SwapFleet(FleetInit init) : Init(init) {
  for (size_t i = 0; i < Init.Servers; ++i) {
    ConvergeInit core;
    core.Slot.Model = "market";
    core.Slot.Instance = "server-" + std::to_string(i);
    core.Slot.Process = {1, i + 1};
    Agent agent;
    auto random = std::make_shared<std::mt19937_64>(Init.Seed * 1000 + i);
    agent.Core = std::make_unique<Converge>(
        core, [random] { return (*random)(); }, nullptr);
    Agents.push_back(std::move(agent));
  }
}

void SwapFleet::run(Duration time) {
  for (TimePoint end = Now + time; Now < end;)
    step();
}

bool SwapFleet::runUntilConverged(Duration limit) {
  TimePoint end = Now + limit;
  auto isDone = [&](const Agent &it) {
    return it.Loaded == Desired && it.LoadTarget.empty();
  };
  while (!std::all_of(Agents.begin(), Agents.end(), isDone)) {
    if (Now >= end)
      return false;
    step();
  }
  return true;
}

void SwapFleet::step() {
  Now += Tick;
  for (Agent &it : Agents) {
    if (!it.LoadTarget.empty() && Now >= it.LoadedAt) {
      it.Loaded = it.LoadTarget;
      it.LoadTarget.clear();
    }
    if (Now >= it.ShownAt + Init.StatusLag)
      show(it);
  }
  for (Agent &it : Agents) {
    if (it.Paused)
      continue;
    std::vector<SlotResult> answers = std::move(it.Answers);
    it.Answers.clear();
    for (const SlotResult &answered : answers)
      carryOut(it, it.Core->on(answered, Now));
    SwapView view = it.Shown;
    view.Desired = {Desired, ""};
    view.Running = it.Running;
    carryOut(it, it.Core->update(view, Now));
    auto timer = it.Core->nextTimer();
    PastTimers += timer && *timer <= Now ? 1 : 0;
  }
  watch();
}

void SwapFleet::show(Agent &agent) {
  agent.ShownAt = Now;
  agent.Shown.MinServers = Init.MinServers;
  agent.Shown.ServersInService = static_cast<uint32_t>(Agents.size());
  agent.Shown.ServersOfModel = static_cast<uint32_t>(Agents.size());
  agent.Shown.EngineReachable = agent.Reachable;
  agent.Shown.Loaded = {agent.Loaded, ""};
  agent.Shown.Loading = !agent.LoadTarget.empty();
  agent.Shown.EngineFence = Init.ChecksFencing ? agent.Fence : 0;
}

void SwapFleet::carryOut(Agent &agent, const SwapActions &actions) {
  for (const SwapAction &it : actions) {
    if (auto *call = std::get_if<SlotCall>(&it))
      serve(agent, *call);
    else
      order(agent, std::get<LoadOrder>(it));
  }
}

void SwapFleet::serve(Agent &agent, const SlotCall &call) {
  ++Calls;
  CallFate fate = Fate ? Fate() : CallFate::Answered;
  FakeKv untouched;
  SlotResult answered =
      answer(call, fate == CallFate::NeverSent ? untouched : Kv);
  if (fate != CallFate::Answered)
    answered.What = withoutAnswer(answered, fate);
  agent.Answers.push_back(std::move(answered));
}

SlotResult SwapFleet::answer(const SlotCall &call, FakeKv &kv) const {
  SlotResult out;
  out.Number = call.Number;
  if (auto *range = std::get_if<edge::KvRange>(&call.What))
    out.What = kv.range(*range, Now);
  else if (auto *write = std::get_if<edge::KvTransaction>(&call.What))
    out.What = kv.commit(*write, Now);
  else if (auto *grant = std::get_if<GrantLease>(&call.What))
    out.What = kv.grant(grant->TimeToLive, Now);
  else if (auto *keep = std::get_if<KeepLease>(&call.What))
    out.What = kv.keep(keep->Lease, Now);
  else
    out.What = kv.revoke(std::get<RevokeLease>(call.What).Lease, Now);
  return out;
}

void SwapFleet::order(Agent &agent, const LoadOrder &order) {
  ++Orders;
  if (order.Fence < agent.Fence) {
    if (Init.ChecksFencing) {
      carryOut(agent, agent.Core->onOrder({ErrorKind::Conflict, "old"},
                                          agent.Fence, Now));
      return;
    }
    ++StaleOrdersTaken;
  }
  agent.Fence = std::max(agent.Fence, order.Fence);
  agent.LoadTarget = order.What.Version;
  agent.LoadedAt = Now + Init.LoadTime;
}

void SwapFleet::watch() {
  uint32_t loading = 0;
  uint32_t inService = 0;
  for (const Agent &it : Agents) {
    loading += it.LoadTarget.empty() ? 0 : 1;
    bool serves = it.LoadTarget.empty() && !it.Core->holdsNewWork();
    inService += serves ? 1 : 0;
  }
  MostLoading = std::max(MostLoading, loading);
  LeastInService = std::min(LeastInService, inService);
}

} // namespace daisytack::test
