/// SimulatedCluster: injects and clears faults.
#include "cluster.h"

namespace daisytack::matrix {

namespace {

constexpr Duration FaultDuration{8'000'000};
constexpr Duration PauseDuration{15'000'000};
constexpr Duration RestartTime{200'000};
constexpr Duration ServerRestart{4'000'000};
constexpr Duration WallStep{3'600'000'000};
constexpr uint32_t AffectedMessages = 3;
constexpr uint32_t SlowFactor = 10;

} // namespace

void SimulatedCluster::onStepReached(Step step, const std::string &actor) {
  if (Processes.at(actor).Agent)
    LastAgent = actor;
  if (!Started || Injected || step != Plan.TriggerStep ||
      StepPasses++ < Plan.SkippedPasses)
    return;
  Injected = true;
  Duration delay{0};
  for (Fault it : Plan.Faults) {
    if (delay.count() == 0)
      injectFault(it, actor);
    else
      Queue.schedule(delay, [this, it, actor] { injectFault(it, actor); });
    delay += Plan.FaultInterval;
  }
  Queue.schedule(FaultDuration, [this] { clearFaults(); });
}

void SimulatedCluster::injectFault(Fault fault, const std::string &actor) {
  Process &process = Processes.at(actor);
  switch (fault) {
  case Fault::ProcessDies:
  case Fault::RestartsEmpty:
  case Fault::PausesPastLease:
  case Fault::ClockSteps:
    return injectProcessFault(fault, process);
  case Fault::MessageLost:
  case Fault::MessageDuplicated:
  case Fault::MessageLate:
  case Fault::MessageCrossed:
    MessageFaults[actor] = {fault, AffectedMessages};
    return;
  case Fault::ServiceDown:
    Platform.KvDown = true;
    KvUnstableUntil = Queue.now() + FaultDuration * 2;
    return;
  case Fault::ServiceSlow:
    Platform.KvSlow = true;
    KvUnstableUntil = Queue.now() + FaultDuration * 2;
    return;
  case Fault::ServiceAnswerLost:
    Platform.LoseKvAnswers = AffectedMessages;
    return;
  case Fault::WatchGap:
    WatchGap = true;
    return;
  case Fault::StoreDead:
    Platform.StoreDead = true;
    return;
  case Fault::StoreFull:
    return Platform.fillStores();
  case Fault::StoreSlow:
    Platform.StoreSlow = true;
    return;
  case Fault::StoreTorn:
    return Platform.truncatePieces();
  case Fault::StoreFreed:
    return Platform.freePieces();
  case Fault::ListLags:
    Platform.ListLags = true;
    return;
  case Fault::ServerSlow:
  case Fault::ServerDies:
  case Fault::ServerLeaves:
  case Fault::ServerIgnoresFencing:
    return injectServerFault(fault, process.Server ? process
                                                   : Processes.at(LastAgent));
  case Fault::Count:
    return;
  }
}

void SimulatedCluster::injectProcessFault(Fault fault, Process &process) {
  if (fault == Fault::ClockSteps) {
    process.WallOffset += Random() % 2 == 0 ? WallStep : -WallStep;
    return;
  }
  if (fault == Fault::PausesPastLease) {
    process.PausedUntil = Queue.now() + PauseDuration;
    process.UnstableUntil = process.PausedUntil + Duration(5'000'000);
    for (const auto &[submission, entry] : EntryOf)
      if (entry == process.Name)
        Checker.onEntryPaused(submission);
    return;
  }
  kill(process);
  if (fault == Fault::ProcessDies) {
    Platform.setMemberState(process.Name, MemberState::Gone);
    return;
  }
  Queue.schedule(RestartTime, [this, &process] {
    if (!process.Alive)
      startProcess(process);
  });
}

void SimulatedCluster::injectServerFault(Fault fault, Process &agent) {
  Engine &server = *agent.Server;
  switch (fault) {
  case Fault::ServerSlow:
    server.SlowFactor = SlowFactor;
    server.MisattributedTexts = AffectedMessages;
    server.DuplicatedTexts = AffectedMessages;
    return;
  case Fault::ServerDies:
    server.crash();
    Queue.schedule(ServerRestart, [&server] { server.restart(); });
    return;
  case Fault::ServerLeaves:
    return drain(agent.Name);
  default:
    server.IgnoresFencing = true;
    server.order({0, serve::OrderKind::LoadWeights, "v0", "", "", 1});
  }
}

void SimulatedCluster::clearFaults() {
  Platform.KvDown = false;
  Platform.KvSlow = false;
  Platform.LoseKvAnswers = 0;
  Platform.ListLags = false;
  Platform.StoreDead = false;
  Platform.StoreSlow = false;
  Platform.TruncateWrites = false;
  WatchGap = false;
  MessageFaults.clear();
  for (auto &[name, process] : Processes)
    if (process.Server)
      process.Server->SlowFactor = 1;
}

} // namespace daisytack::matrix
