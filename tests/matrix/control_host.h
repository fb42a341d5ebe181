/// The control part of one process: its copy of configuration and membership,
/// read from the platform or learned from peers, as messages through the codec.
/// Does what the daemons' src/runtime/control_process.h does, with time as an
/// argument.
#pragma once

#include "control/command_run.h"
#include "control/control_state.h"
#include "control/gossip.h"
#include "control/readers.h"
#include "platform.h"
#include "promises.h"
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
    std::function<void(Duration, std::function<void()>)> After;
    std::function<void(const Endpoint &peer, std::string bytes)> Send;
    /// Asks a peer over TCP; answered at most once.
    std::function<void(const Endpoint &peer, control::Pull,
                       std::function<void(control::StateUpdate)>)>
        Fetch;
    std::function<void(const Snapshot &)> Published;
    std::function<void(Step)> Reached;
    RandomSource Random;
  };
  ControlHost(Member self, std::vector<Endpoint> seeds, Incarnation process,
              Platform &platform, PromiseCheck &check, Hooks hooks);

  void start();
  void sayLeaving();
  void observeLeaving(const std::string &instance);
  void onPeer(const Endpoint &from, std::string_view bytes);
  control::StateUpdate serve(const control::Pull &pull) const;
  /// The service's watch has news; with a gap they are lost.
  void onWatch(bool gap);
  void propose(control::Command command,
               std::function<void(control::CommandResult)> done);

  std::shared_ptr<const Snapshot> snapshot() const { return Current; }
  bool isReady() const;
  const control::ControlState &state() const { return State; }
  /// A seeded defect: takes over a peer's whole image, whatever its age.
  bool LastImageWins = false;

private:
  void tick();
  void setReading(bool wanted);
  void readConfig(uint64_t reading);
  void readList(uint64_t reading);
  void act(control::GossipActions actions);
  void takeImage(const control::StateUpdate &whole);
  void changed();
  void run(std::shared_ptr<control::CommandRun> command,
           const control::CommandStep &step,
           std::function<void(control::CommandResult)> done);

  Member Self;
  std::vector<Endpoint> Seeds;
  Platform &Outside;
  PromiseCheck &Check;
  Hooks On;
  control::ControlState State;
  control::Gossip Talk;
  control::ReaderElection Choice;
  control::SignalContent Own;
  std::shared_ptr<const Snapshot> Current;
  TimePoint Started;
  uint64_t SeenThrough = 0;
  bool IsReading = false;
  uint64_t Reading = 0; ///< Raised when reading starts: older loops end.
  uint64_t Watched = 0;
};

} // namespace daisytack::matrix
