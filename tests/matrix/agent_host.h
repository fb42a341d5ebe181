/// Simulated agent process: runs the real AgentCore and performs its actions
/// against the simulated engine, platform and links, as the daemon does.
#pragma once

#include "control_host.h"
#include "engine.h"
#include "serve/agent_core.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace daisytack::matrix {

class AgentHost {
public:
  struct Hooks {
    std::function<TimePoint()> Now;
    std::function<WallTime()> Wall;
    std::function<void(Duration, std::function<void()>)> Schedule;
    std::function<void(uint32_t link, wire::Message message)> Send;
    std::function<void(Step)> StepReached;
    /// Returns when the request was first offered to this agent.
    std::function<TimePoint(const RequestId &)> OfferedAt;
    std::function<void()> Exit; ///< Ends the drained process.
    RandomSource Random;
  };
  AgentHost(std::string name, Incarnation process, std::string serves,
            bool isService, Engine &engine, FakePlatform &platform,
            InvariantChecker &check, Hooks hooks);

  void start();
  void apply(serve::AgentInput input);
  void onLinkOpened(uint32_t link);
  void onLinkClosed(uint32_t link);
  void onMessage(uint32_t link, wire::Message message);
  void onConfig(const Snapshot &snapshot);
  /// Starts the drain, as SIGTERM does in the daemon.
  void drain();
  bool isDraining() const { return Draining; }

  // Defects that a test can switch on.
  bool IgnoresDrain = false;      ///< Accepts work while draining.
  bool ExitsAtOnce = false;       ///< Exits before accepted requests end.
  bool ImportsUnverified = false; ///< Imports corrupt pieces.

private:
  void performAction(serve::AgentAction action);
  void on(serve::SendMessage action);
  void on(const serve::StartRun &action);
  void on(const serve::CancelRun &action);
  void on(const serve::SuspendRun &action);
  void on(const serve::ResumeRun &action);
  void on(const serve::PollStatus &action);
  void on(const serve::PollCacheEvents &action);
  void on(const serve::ExportPiece &action);
  void on(const serve::ImportPiece &action);
  void on(const serve::SendOrder &action);
  void on(const serve::CallSlot &action);
  void on(const serve::CallStore &action);
  void on(const serve::CancelStoreCall &action);
  void on(const serve::RecordEvent &action);
  void completeStoreCall(serve::CallId call, serve::StoreResult result);
  void completeSlotCall(uint64_t number,
                        decltype(swap::SlotResult::Response) result);
  void checkExit();

  std::string Name;
  std::string Serves;
  bool IsService;
  Engine &Server;
  FakePlatform &Platform;
  InvariantChecker &Checker;
  Hooks Callbacks;
  serve::AgentCore Core;
  std::optional<TimePoint> ArmedTimer;
  bool Draining = false;
  bool Exited = false;
  std::map<serve::CallId, serve::StoreHandle> StoreCalls; ///< Pending calls.
  std::map<RequestId, uint32_t> Accepted; ///< Link of each open request.
};

} // namespace daisytack::matrix
