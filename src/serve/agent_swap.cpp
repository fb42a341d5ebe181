/// AgentCore: changes to the weight version in the configuration.
#include "serve/agent_impl.h"

#include <algorithm>
#include <utility>

namespace daisytack::serve {

void AgentCore::Impl::on(const AgentConfig &input, Step & /*step*/) {
  if (input.Revision < Config.Revision)
    return;
  Config = input;
  Dirty = true;
}

void AgentCore::Impl::on(const SlotAnswer &input, Step &step) {
  performSwapActions(Swap.onSlotResult(input.Result, step.Now), step);
}

void AgentCore::Impl::on(const OrderAnswer &input, Step &step) {
  if (input.Call != LatestOrderCall || LatestOrderCall == 0)
    return;
  LatestOrderCall = 0;
  performSwapActions(Swap.onOrder(input.Why, input.Fence, step.Now), step);
}

swap::SwapView AgentCore::Impl::swapView() const {
  swap::SwapView out;
  out.Desired = {Config.Version, Config.Adapter};
  out.MinServers = Config.MinServers;
  out.ServersInService = Config.ServersInService;
  out.ServersOfModel = Config.ServersOfModel;
  out.InService = !Config.Drained;
  out.Leaving = Draining;
  out.ServerReachable = isReachable();
  out.Loaded = {Engine.Version, Engine.Adapter};
  out.Loading = Engine.Loading;
  out.ServerFence = Engine.Fence;
  out.ActiveRuns = static_cast<uint32_t>(Queue.running() + Queue.waiting() +
                                         Fetch.pendingImports());
  return out;
}

void AgentCore::Impl::converge(Step &step) {
  if (Settings.IsService)
    return;
  swap::SwapView view = swapView();
  auto timer = Swap.nextTimer();
  if (view == LastSwapView && (!timer || *timer > step.Now))
    return;
  LastSwapView = view;
  swap::SwapState before = Swap.state();
  performSwapActions(Swap.update(view, step.Now), step);
  Dirty = Dirty || before != Swap.state();
}

void AgentCore::Impl::performSwapActions(swap::SwapActions actions,
                                         Step &step) {
  for (swap::SwapAction &it : actions) {
    if (auto *call = std::get_if<swap::SlotCall>(&it))
      step.Out.push_back(CallSlot{std::move(*call)});
    else
      sendOrder(std::get<swap::LoadOrder>(it), step);
  }
}

void AgentCore::Impl::sendOrder(const swap::LoadOrder &load, Step &step) {
  SendOrder out;
  out.Call = LatestOrderCall = CallIds.next();
  out.Kind = load.Target.Version == Engine.Version ? OrderKind::LoadAdapter
                                                   : OrderKind::LoadWeights;
  out.Version = load.Target.Version;
  out.Adapter = load.Target.Adapter;
  out.Fence = load.Fence;
  step.Out.push_back(std::move(out));
}

std::string AgentCore::Impl::trustedVersion() const {
  auto trusted = Swap.confirmedVersion();
  return trusted ? trusted->Version : std::string();
}

} // namespace daisytack::serve
