/// Control part of one simulated process: its replica of configuration and
/// membership, read from the platform or received from peers as encoded
/// messages. Does the same as src/runtime/control_process.h in the daemons, but
/// on simulated time.
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
    /// Runs the action in this process after the delay; skipped if the process
    /// has ended by then.
    std::function<void(Duration, std::function<void()>)> Schedule;
    std::function<void(const Endpoint &peer, std::string bytes)> Send;
    /// Pulls the state of a peer over TCP; the callback runs at most once.
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
  /// Reads the changes that the key-value watch signalled. With a gap, they
  /// are skipped.
  void onWatch(bool gap);
  void propose(control::Command command,
               std::function<void(control::CommandResult)> done);

  std::shared_ptr<const Snapshot> snapshot() const { return Current; }
  bool isReady() const;
  const control::ControlState &state() const { return State; }
  /// Defect that a test can switch on: takes the configuration of an update
  /// from a peer also if it is older than the replica's.
  bool AcceptsOlderState = false;

private:
  void tick();
  void setReader(bool enabled);
  void readConfig(uint64_t epoch);
  void readList(uint64_t epoch);
  void performActions(control::GossipActions actions);
  void takeOlderConfig(const control::ReplicaDelta &update);
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
  control::ReaderElection ReaderSelection;
  control::SignalContent OwnSignal;
  std::shared_ptr<const Snapshot> Current;
  TimePoint Started;
  uint64_t SeenThrough = 0;
  bool IsReader = false;
  uint64_t ReadEpoch = 0; ///< Incremented on each change: ends older loops.
  uint64_t WatchRevision = 0;
};

} // namespace daisytack::matrix
