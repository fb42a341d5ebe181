#include "swap_fleet.h"

namespace daisytack::test {

using namespace swap;

namespace {

constexpr Duration Tick{50'000};

edge::KvHeader failedHeader(CallFate fate) {
  edge::KvHeader out;
  out.Status = fate == CallFate::NeverSent ? edge::KvStatus::Unavailable
                                           : edge::KvStatus::Unknown;
  return out;
}

/// A failed result of the same type as the given one.
decltype(SlotResult::Response) failedResult(const SlotResult &answered,
                                            CallFate fate) {
  if (std::holds_alternative<edge::KvRangeResult>(answered.Response))
    return edge::KvRangeResult{failedHeader(fate), {}, false};
  if (std::holds_alternative<edge::KvTransactionResult>(answered.Response))
    return edge::KvTransactionResult{failedHeader(fate), {}};
  return edge::KvLeaseResult{failedHeader(fate), 0, Duration(0)};
}

} // namespace

SwapFleet::SwapFleet(FleetInit init) : Init(init) {
  for (size_t i = 0; i < Init.Servers; ++i) {
    ConvergerInit core;
    core.Slot.Model = "market";
    core.Slot.Instance = "server-" + std::to_string(i);
    core.Slot.Process = {1, i + 1};
    Agent agent;
    auto random = std::make_shared<std::mt19937_64>(Init.Seed * 1000 + i);
    agent.Core = std::make_unique<Converger>(
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
    if (Now >= it.ReportedAt + Init.StatusLag)
      refreshStatus(it);
  }
  for (Agent &it : Agents) {
    if (it.Paused)
      continue;
    std::vector<SlotResult> answers = std::move(it.Answers);
    it.Answers.clear();
    for (const SlotResult &answered : answers)
      execute(it, it.Core->onSlotResult(answered, Now));
    SwapView view = it.ReportedView;
    view.Desired = {Desired, ""};
    view.ActiveRuns = it.ActiveRuns;
    execute(it, it.Core->update(view, Now));
    auto timer = it.Core->nextTimer();
    OverdueTimers += timer && *timer <= Now ? 1 : 0;
  }
  updateExtremes();
}

void SwapFleet::refreshStatus(Agent &agent) {
  agent.ReportedAt = Now;
  agent.ReportedView.MinServers = Init.MinServers;
  agent.ReportedView.ServersInService = static_cast<uint32_t>(Agents.size());
  agent.ReportedView.ServersOfModel = static_cast<uint32_t>(Agents.size());
  agent.ReportedView.ServerReachable = agent.Reachable;
  agent.ReportedView.Loaded = {agent.Loaded, ""};
  agent.ReportedView.Loading = !agent.LoadTarget.empty();
  agent.ReportedView.ServerFence = Init.ChecksFencing ? agent.Fence : 0;
}

void SwapFleet::execute(Agent &agent, const SwapActions &actions) {
  for (const SwapAction &it : actions) {
    if (auto *call = std::get_if<SlotCall>(&it))
      executeCall(agent, *call);
    else
      order(agent, std::get<LoadOrder>(it));
  }
}

void SwapFleet::executeCall(Agent &agent, const SlotCall &call) {
  ++Calls;
  CallFate fate = Fate ? Fate() : CallFate::Answered;
  FakeKv scratchKv;
  SlotResult answered =
      answer(call, fate == CallFate::NeverSent ? scratchKv : Kv);
  if (fate != CallFate::Answered)
    answered.Response = failedResult(answered, fate);
  agent.Answers.push_back(std::move(answered));
}

SlotResult SwapFleet::answer(const SlotCall &call, FakeKv &kv) const {
  SlotResult out;
  out.Number = call.Number;
  if (auto *range = std::get_if<edge::KvRange>(&call.Operation))
    out.Response = kv.range(*range, Now);
  else if (auto *write = std::get_if<edge::KvTransaction>(&call.Operation))
    out.Response = kv.commit(*write, Now);
  else if (auto *grant = std::get_if<GrantLease>(&call.Operation))
    out.Response = kv.grant(grant->TimeToLive, Now);
  else if (auto *keep = std::get_if<KeepLease>(&call.Operation))
    out.Response = kv.keepAlive(keep->Lease, Now);
  else
    out.Response = kv.revoke(std::get<RevokeLease>(call.Operation).Lease, Now);
  return out;
}

void SwapFleet::order(Agent &agent, const LoadOrder &order) {
  ++Orders;
  if (order.Fence < agent.Fence) {
    if (Init.ChecksFencing) {
      execute(agent, agent.Core->onOrder({ErrorKind::Conflict, "old"},
                                         agent.Fence, Now));
      return;
    }
    ++StaleOrdersExecuted;
  }
  agent.Fence = std::max(agent.Fence, order.Fence);
  agent.LoadTarget = order.Target.Version;
  agent.LoadedAt = Now + Init.LoadTime;
}

void SwapFleet::updateExtremes() {
  uint32_t loading = 0;
  uint32_t inService = 0;
  for (const Agent &it : Agents) {
    loading += it.LoadTarget.empty() ? 0 : 1;
    bool isServing = it.LoadTarget.empty() && !it.Core->refusesNewRequests();
    inService += isServing ? 1 : 0;
  }
  MaxLoading = std::max(MaxLoading, loading);
  MinInService = std::min(MinInService, inService);
}

} // namespace daisytack::test
