/// World: where faults strike, and how they end.
#include "cluster.h"

namespace daisytack::matrix {

namespace {

constexpr Duration Outage{8'000'000};
constexpr Duration Pause{15'000'000};
constexpr Duration RestartTime{200'000};
constexpr Duration ServerRestart{4'000'000};
constexpr Duration WallStep{3'600'000'000};
constexpr uint32_t MessagesHit = 3;
constexpr uint32_t SlowFactor = 10;

} // namespace

void World::reached(Step step, const std::string &actor) {
  if (Processes.at(actor).Agent)
    LastAgent = actor;
  if (!Started || Struck || step != What.At || Passed++ < What.Skip)
    return;
  Struck = true;
  Duration delay{0};
  for (Fault it : What.Faults) {
    if (delay.count() == 0)
      strike(it, actor);
    else
      Queue.after(delay, [this, it, actor] { strike(it, actor); });
    delay += What.Between;
  }
  Queue.after(Outage, [this] { heal(); });
}

void World::strike(Fault fault, const std::string &actor) {
  Process &process = Processes.at(actor);
  switch (fault) {
  case Fault::ProcessDies:
  case Fault::RestartsEmpty:
  case Fault::PausesPastLease:
  case Fault::ClockSteps:
    return strikeProcess(fault, process);
  case Fault::MessageLost:
  case Fault::MessageDuplicated:
  case Fault::MessageLate:
  case Fault::MessageCrossed:
    MessageFaults[actor] = {fault, MessagesHit};
    return;
  case Fault::ServiceDown:
    Outside.KvDown = true;
    ServiceTroubledUntil = Queue.now() + Outage * 2;
    return;
  case Fault::ServiceSlow:
    Outside.KvSlow = true;
    ServiceTroubledUntil = Queue.now() + Outage * 2;
    return;
  case Fault::ServiceAnswerLost:
    Outside.LoseKvAnswers = MessagesHit;
    return;
  case Fault::WatchGap:
    WatchGap = true;
    return;
  case Fault::StoreDead:
    Outside.StoreDead = true;
    return;
  case Fault::StoreFull:
    return Outside.fillStores();
  case Fault::StoreSlow:
    Outside.StoreSlow = true;
    return;
  case Fault::StoreTorn:
    return Outside.tearStores();
  case Fault::StoreFreed:
    return Outside.freeStores();
  case Fault::ListLags:
    Outside.ListLags = true;
    return;
  case Fault::ServerSlow:
  case Fault::ServerDies:
  case Fault::ServerLeaves:
  case Fault::ServerIgnoresFencing:
    return strikeServer(fault,
                        process.Server ? process : Processes.at(LastAgent));
  case Fault::Count:
    return;
  }
}

void World::strikeProcess(Fault fault, Process &process) {
  if (fault == Fault::ClockSteps) {
    process.WallOffset += Random() % 2 == 0 ? WallStep : -WallStep;
    return;
  }
  if (fault == Fault::PausesPastLease) {
    process.PausedUntil = Queue.now() + Pause;
    process.DisturbedUntil = process.PausedUntil + Duration(5'000'000);
    for (const auto &[submission, entry] : EntryOf)
      if (entry == process.Name)
        Check.entryPaused(submission);
    return;
  }
  kill(process);
  if (fault == Fault::ProcessDies) {
    Outside.setState(process.Name, MemberState::Gone);
    return;
  }
  Queue.after(RestartTime, [this, &process] {
    if (!process.Alive)
      startProcess(process);
  });
}

void World::strikeServer(Fault fault, Process &agent) {
  Engine &server = *agent.Server;
  switch (fault) {
  case Fault::ServerSlow:
    server.SlowFactor = SlowFactor;
    server.CrossAnswers = MessagesHit;
    server.DoubleChunks = MessagesHit;
    return;
  case Fault::ServerDies:
    server.die();
    Queue.after(ServerRestart, [&server] { server.revive(); });
    return;
  case Fault::ServerLeaves:
    return drain(agent.Name);
  default:
    server.IgnoresFencing = true;
    server.order({0, serve::OrderKind::LoadWeights, "v0", "", "", 1});
  }
}

void World::heal() {
  Outside.KvDown = false;
  Outside.KvSlow = false;
  Outside.LoseKvAnswers = 0;
  Outside.ListLags = false;
  Outside.StoreDead = false;
  Outside.StoreSlow = false;
  Outside.TearWrites = false;
  WatchGap = false;
  MessageFaults.clear();
  for (auto &[name, process] : Processes)
    if (process.Server)
      process.Server->SlowFactor = 1;
}

} // namespace daisytack::matrix
