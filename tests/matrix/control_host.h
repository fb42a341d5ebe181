/// The control part of one process: its copy of configuration and membership,
/// read from the platform or learned from peers, as messages through the codec.
/// Does what the daemons' src/runtime/control_process.h does, with time as an
/// argument.
#pragma once

#include "control/command_run.h"
#include "control/control_state.h"
#include "control/gossip.h"
#include "control/readers.h"
#include "invariants.h"
#include "platform.h"
#include "steps.h"

#include <functional>
#include <memory>
#include <string>

namespace daisytack::matrix {

class ControlHost {
public:
  struct Hooks {
    std::function<TimePoint()> Now;
    /// Runs later in this process, if it still lives.
    std::function<void(Duration, std::function<void()>)> Schedule;
    std::function<void(const Endpoint &peer, std::string bytes)> Send;
    /// Asks a peer over TCP; answered at most once.
    std::function<void(const Endpoint &peer, control::Pull,
                       std::function<void(control::StateUpdate)>)>
        Fetch;
    std::function<void(const Snapshot &)> Published;
    std::function<void(Step)> StepReached;
    RandomSource Random;
  };
  ControlHost(Member self, std::vector<Endpoint> seeds, Incarnation process,
              FakePlatform &platform, InvariantChecker &check, Hooks hooks);

  void start();
  void announceLeaving();
  void observeLeaving(const std::string &instance);
  void onPeerMessage(const Endpoint &from, std::string_view bytes);
  control::StateUpdate answerPull(const control::Pull &pull) const;
  /// The service's watch has news; with a gap they are lost.
  void onWatch(bool gap);
  void propose(control::Command command,
               std::function<void(control::CommandResult)> done);

  std::shared_ptr<const Snapshot> snapshot() const { return Current; }
  bool isReady() const;
  const control::ControlState &state() const { return State; }
  /// A seeded defect: takes over a peer's whole image, whatever its age.
  bool AcceptsOlderState = false;

private:
  void tick();
  void setReader(bool enabled);
  void readConfig(uint64_t epoch);
  void readList(uint64_t epoch);
  void performActions(control::GossipActions actions);
  void mergeFullState(const control::StateUpdate &update);
  void publishChanges();
  void run(std::shared_ptr<control::CommandRun> command,
           const control::CommandStep &step,
           std::function<void(control::CommandResult)> done);

  Member Self;
  std::vector<Endpoint> Seeds;
  FakePlatform &Platform;
  InvariantChecker &Checker;
  Hooks Callbacks;
  control::ControlState State;
  control::Gossip PeerGossip;
  control::ReaderChoice ReaderSelection;
  control::SignalContent OwnSignal;
  std::shared_ptr<const Snapshot> Current;
  TimePoint Started;
  uint64_t SeenThrough = 0;
  bool IsReader = false;
  uint64_t ReadEpoch = 0; ///< Raised when reading starts: older loops end.
  uint64_t WatchRevision = 0;
};

} // namespace daisytack::matrix
