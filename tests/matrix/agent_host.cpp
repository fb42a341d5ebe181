#include "agent_host.h"

#include <algorithm>

namespace daisytack::matrix {

using namespace serve;

namespace {

constexpr Duration EngineLatency{1'000};

AgentSettings makeSettings(const std::string &name, const Incarnation &process,
                           const std::string &serves, bool isService) {
  AgentSettings out;
  out.Instance = name;
  out.Process = process;
  out.Serves = serves;
  out.IsService = isService;
  for (size_t i = 0; i < StoreCount; ++i) {
    std::string store = "store-" + std::to_string(i);
    out.Stores.Instances.push_back({store,
                                    "domain-" + std::to_string(i),
                                    {"127.0.0.1", 1},
                                    hashName(store)});
  }
  return out;
}

} // namespace

AgentHost::AgentHost(std::string name, Incarnation process, std::string serves,
                     bool isService, Engine &engine, FakePlatform &platform,
                     InvariantChecker &check, Hooks hooks)
    : Name(std::move(name)), Serves(std::move(serves)), IsService(isService),
      Server(engine), Platform(platform), Checker(check),
      Callbacks(std::move(hooks)),
      Core(makeSettings(Name, process, Serves, isService), Callbacks.Random) {}

void AgentHost::start() { apply(TimerFired{Callbacks.Wall()}); }

void AgentHost::apply(AgentInput input) {
  for (AgentAction &action : Core.apply(std::move(input), Callbacks.Now()))
    performAction(std::move(action));
  auto next = Core.nextTimer();
  if (next && (!ArmedTimer || *next < *ArmedTimer)) {
    ArmedTimer = next;
    Duration delay =
        std::max(Duration(0),
                 std::chrono::duration_cast<Duration>(*next - Callbacks.Now()));
    Callbacks.Schedule(delay, [this, at = *next] {
      if (ArmedTimer != at)
        return;
      ArmedTimer.reset();
      apply(TimerFired{Callbacks.Wall()});
    });
  }
  checkExit();
}

void AgentHost::onLinkOpened(uint32_t link) {
  apply(LinkOpened{LinkHandle{link}});
}

void AgentHost::onLinkClosed(uint32_t link) {
  std::erase_if(Accepted, [&](const auto &it) { return it.second == link; });
  apply(LinkClosed{LinkHandle{link}});
}

void AgentHost::onMessage(uint32_t link, wire::Message message) {
  apply(LinkMessage{LinkHandle{link}, std::move(message)});
}

void AgentHost::onConfig(const Snapshot &snapshot) {
  AgentConfig config;
  config.Revision = snapshot.ConfigRevision;
  if (const Model *model = snapshot.model(Serves)) {
    config.Version = model->Version;
    config.Adapter = model->Adapter;
    config.MinServers = model->MinServers;
  }
  if (const daisytack::Server *self = snapshot.server(Name))
    config.Drained = self->Drained;
  config.ServersOfModel = 0;
  for (const daisytack::Server &it : snapshot.Servers)
    config.ServersOfModel += it.Serves == Serves ? 1 : 0;
  if (const Pool *pool = snapshot.pool(Serves, IsService))
    config.ServersInService = static_cast<uint32_t>(pool->Servers.size());
  apply(config);
}

void AgentHost::drain() {
  if (Draining)
    return;
  Draining = true;
  Callbacks.StepReached(Step::Drain);
  if (!IgnoresDrain)
    apply(DrainRequested{});
  if (ExitsAtOnce)
    checkExit();
}

void AgentHost::checkExit() {
  if (!Draining || Exited || (!Core.isDrained() && !ExitsAtOnce))
    return;
  Exited = true;
  Checker.onExited(Name, Accepted.size());
  Callbacks.Schedule(Duration(0), [this] { Callbacks.Exit(); });
}

void AgentHost::performAction(AgentAction action) {
  std::visit(
      [this](auto &it) {
        if constexpr (requires { on(std::move(it)); })
          on(std::move(it));
      },
      action);
}

void AgentHost::on(SendMessage action) {
  uint32_t link = action.Link.Index;
  if (const auto *accepted = std::get_if<wire::Accepted>(&action.Body)) {
    Accepted.emplace(accepted->Id, link);
    Callbacks.StepReached(Step::Accept);
  } else if (const auto *end = std::get_if<wire::Finished>(&action.Body)) {
    Accepted.erase(end->Id);
  } else if (const auto *refused = std::get_if<wire::Refused>(&action.Body)) {
    auto it = Accepted.find(refused->Id);
    if (it != Accepted.end() && it->second == link)
      Accepted.erase(it);
  } else if (std::holds_alternative<wire::Chunk>(action.Body)) {
    Callbacks.StepReached(Step::Stream);
  }
  Callbacks.Send(link, std::move(action.Body));
}

void AgentHost::on(const StartRun &action) {
  Callbacks.StepReached(Step::Run);
  Checker.onNewWorkAccepted(Name, Callbacks.OfferedAt(action.Run.Id));
  if (ImportsUnverified)
    for (const PieceKey &key : action.Offer->Pieces)
      Server.importPiece({0, key, std::make_shared<const std::string>("torn")});
  Callbacks.Schedule(EngineLatency, [this, action] { Server.start(action); });
}

void AgentHost::on(const CancelRun &action) {
  Callbacks.Schedule(EngineLatency,
                     [this, action] { Server.cancel(action.Run); });
}

void AgentHost::on(const SuspendRun & /*action*/) {}
void AgentHost::on(const ResumeRun & /*action*/) {}

void AgentHost::on(const PollStatus & /*action*/) {
  // The status is taken now and delivered after the engine latency.
  AgentInput status = Server.status();
  Callbacks.Schedule(EngineLatency, [this, status] { apply(status); });
}

void AgentHost::on(const PollCacheEvents &action) {
  AgentInput events = Server.cacheEvents(action.From);
  Callbacks.Schedule(EngineLatency, [this, events] { apply(events); });
}

void AgentHost::on(const ExportPiece &action) {
  Callbacks.Schedule(EngineLatency,
                     [this, action] { apply(Server.exportPiece(action)); });
}

void AgentHost::on(const ImportPiece &action) {
  Callbacks.StepReached(Step::Import);
  Callbacks.Schedule(EngineLatency,
                     [this, action] { apply(Server.importPiece(action)); });
}

void AgentHost::on(const SendOrder &action) {
  Callbacks.StepReached(Step::Load);
  Callbacks.Schedule(EngineLatency,
                     [this, action] { apply(Server.order(action)); });
}

void AgentHost::on(const CallStore &action) {
  if (std::holds_alternative<ReadPiece>(action.Request))
    Callbacks.StepReached(Step::Fetch);
  StoreCalls[action.Call] = action.Store;
  Duration latency = Platform.storeLatency();
  if (action.Timeout.count() > 0 && latency > action.Timeout) {
    Callbacks.Schedule(action.Timeout, [this, call = action.Call] {
      completeStoreCall(call,
                        Error{ErrorKind::ServerLost, "no answer in time"});
    });
    return;
  }
  Callbacks.Schedule(latency, [this, action] {
    if (StoreCalls.contains(action.Call))
      completeStoreCall(action.Call,
                        Platform.callStore(action.Store, action.Request));
  });
}

void AgentHost::on(const CancelStoreCall &action) {
  Callbacks.Schedule(Duration(0), [this, call = action.Call] {
    completeStoreCall(call, Error{ErrorKind::Cancelled, "stopped"});
  });
}

/// Delivers the result if the call is still pending, so that each call gets
/// exactly one result.
void AgentHost::completeStoreCall(CallId call, StoreResult result) {
  auto it = StoreCalls.find(call);
  if (it == StoreCalls.end())
    return;
  StoreHandle store = it->second;
  StoreCalls.erase(it);
  apply(StoreAnswer{call, store, std::move(result)});
}

void AgentHost::on(const RecordEvent &action) {
  if (action.What.Kind == EventKind::TicketRecorded)
    Callbacks.StepReached(Step::Record);
}

void AgentHost::completeSlotCall(uint64_t number,
                                 decltype(swap::SlotResult::Response) result) {
  Callbacks.Schedule(Duration(0), [this, number, result = std::move(result)] {
    apply(SlotAnswer{{number, result}});
  });
}

void AgentHost::on(const CallSlot &action) {
  const swap::SlotCall &call = action.Call;
  auto complete = [this, number = call.Number](const auto &result) {
    completeSlotCall(number, result);
  };
  auto onLease = [this, complete](auto operation) {
    Platform.call<edge::KvLeaseResult>(operation, complete);
  };
  if (const auto *range = std::get_if<edge::KvRange>(&call.Operation))
    Platform.call<edge::KvRangeResult>(
        [range = *range](test::FakeKv &kv, TimePoint now) {
          return kv.range(range, now);
        },
        complete);
  else if (const auto *write =
               std::get_if<edge::KvTransaction>(&call.Operation)) {
    Callbacks.StepReached(Step::Lease);
    Platform.call<edge::KvTransactionResult>(
        [write = *write](test::FakeKv &kv, TimePoint now) {
          return kv.commit(write, now);
        },
        complete);
  } else if (const auto *grant = std::get_if<swap::GrantLease>(&call.Operation))
    onLease([time = grant->TimeToLive](test::FakeKv &kv, TimePoint now) {
      return kv.grant(time, now);
    });
  else if (const auto *keep = std::get_if<swap::KeepLease>(&call.Operation))
    onLease([lease = keep->Lease](test::FakeKv &kv, TimePoint now) {
      return kv.keepAlive(lease, now);
    });
  else
    onLease(
        [lease = std::get<swap::RevokeLease>(call.Operation).Lease](
            test::FakeKv &kv, TimePoint now) { return kv.revoke(lease, now); });
}

} // namespace daisytack::matrix
