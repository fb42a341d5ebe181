/// Simulated cluster of two entries and five agents on one fake platform, run
/// by one event queue. The faults of a plan are injected when its step is
/// reached after the start, and cleared after a fixed time.
#pragma once

#include "agent_host.h"
#include "entry_host.h"
#include "steps.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace daisytack::matrix {

/// Defects switched on to test the checks, one for each invariant.
enum class Defect : uint8_t {
  None,
  ImportsUnverified,
  AnswersWrongCaller,
  KeepsOldPieceKeys,
  DropsChunks,
  AlwaysReportsNotRun,
  RetriesAnyCall,
  IgnoresLeaving,
  ExitsAtOnce,
  AcceptsOlderState,
};

struct FaultPlan {
  Step TriggerStep = Step::Count; ///< Count: no faults.
  uint32_t SkippedPasses = 0;     ///< Passes of the step before injection.
  std::vector<Fault> Faults;
  Duration FaultInterval{0}; ///< Delay from one fault to the next.
  Defect Seeded = Defect::None;
};

/// Result of a run.
struct RunResult {
  std::string Violation; ///< Empty if all invariants held.
  std::array<bool, InvariantCount> Violated{};
  bool Injected = false; ///< The step was reached and faults injected.
  size_t Submissions = 0;
  size_t Completed = 0;
};

class SimulatedCluster {
public:
  explicit SimulatedCluster(FaultPlan plan);
  RunResult run();

private:
  struct Process {
    std::string Name;
    bool IsEntry = false;
    std::string Serves;
    Member Self;
    uint64_t Generation = 0;
    bool Alive = false;
    bool Leaving = false;
    TimePoint PausedUntil;
    TimePoint UnstableUntil; ///< Until then, propagation isn't checked.
    Duration WallOffset{0};
    std::unique_ptr<ControlHost> Control;
    std::unique_ptr<EntryHost> Entry;
    std::unique_ptr<AgentHost> Agent;
    std::unique_ptr<Engine> Server;
  };
  struct Link {
    std::string Entry;
    uint64_t EntryGeneration = 0;
    std::string Agent;
    uint64_t AgentGeneration = 0;
    bool Open = true;
  };
  /// Fault applied to the next messages that a process sends.
  struct MessageFault {
    Fault Kind = Fault::Count;
    uint32_t Remaining = 0;
  };

  // Set-up (cluster.cpp).
  void configure();
  void addProcess(const std::string &name, bool isEntry,
                  const std::string &serves);
  void startProcess(Process &process);
  void startEntry(Process &process);
  void startAgent(Process &process);
  std::vector<Endpoint> seeds() const;
  ControlHost::Hooks controlHooks(const std::string &name, uint64_t generation);
  Engine::Hooks engineHooks(const std::string &name);
  void applyDefect(Process &process);
  RandomSource randomSource();

  // Processes and links (cluster_links.cpp).
  void scheduleIn(const std::string &name, uint64_t generation, Duration delay,
                  EventQueue::Action action);
  void kill(Process &process);
  void connect(const std::string &entry, const std::string &agent);
  uint32_t findOpenLink(const std::string &entry,
                        const std::string &agent) const;
  void sendToAgent(const std::string &entry, const std::string &agent,
                   const wire::Message &message);
  void sendToEntry(const std::string &agent, uint32_t link,
                   const wire::Message &message);
  void transmit(const std::string &from, uint32_t link,
                EventQueue::Action deliver);
  void closeLink(uint32_t link);
  void sendPeer(const std::string &from, const std::string &to,
                std::string bytes);
  void fetch(const std::string &from, uint64_t generation,
             const std::string &to, const control::Pull &pull,
             std::function<void(control::StateUpdate)> done);
  std::optional<Fault> takeMessageFault(const std::string &from);

  // Faults (cluster_faults.cpp).
  void onStepReached(Step step, const std::string &actor);
  void injectFault(Fault fault, const std::string &actor);
  void injectProcessFault(Fault fault, Process &process);
  void injectServerFault(Fault fault, Process &agent);
  void clearFaults();

  // Workload and final checks (cluster_workload.cpp).
  void scheduleWorkload();
  void scheduleAt(double seconds, EventQueue::Action action);
  uint64_t submit(Submission submission, const std::string &entry);
  Submission makePrompt(const std::string &organisation,
                        const std::string &kind);
  Submission makeCall(const std::string &organisation, CallKeyKind keyKind);
  void propose(const std::string &entry, const control::ObjectKey &key,
               control::ObjectEdit edit);
  void onCommandDone(const Id128 &id, const control::CommandResult &result);
  void recordConfigWrites();
  /// Calls recordConfigWrites() at each poll interval.
  void pollConfigWrites();
  void drain(const std::string &name);
  void resumeStreams(Process &dying);
  void checkPropagation(uint64_t revision);
  void checkMembers();
  void finalChecks();

  FaultPlan Plan;
  EventQueue Queue;
  InvariantChecker Checker;
  FakePlatform Platform;
  std::mt19937_64 Random;
  std::map<std::string, Process> Processes;
  std::map<Endpoint, std::string> ByPeer;
  std::vector<Link> Links; ///< Index is the link number; 0 is unused.
  std::map<std::string, MessageFault> MessageFaults;
  std::vector<std::unique_ptr<ControlHost>> StoppedControls;
  std::vector<std::unique_ptr<EntryHost>> StoppedEntries;
  std::vector<std::unique_ptr<AgentHost>> StoppedAgents;
  std::map<RequestId, uint64_t> SubmissionOf;
  std::map<std::pair<std::string, RequestId>, TimePoint> OfferedAt;
  std::map<uint64_t, Submission> Submitted;
  std::map<uint64_t, std::string> EntryOf; ///< Key: submission number.
  std::set<Id128> WrittenCommands;
  std::vector<std::pair<Id128, control::CommandOutcome>> Commands;
  uint64_t KvSeen = 0;
  uint64_t NextCall = 0;
  uint64_t NextSubmission = 0;
  std::string LastAgent = "a0";
  bool Started = false;
  uint32_t StepPasses = 0; ///< How often the plan's step was reached.
  bool Injected = false;
  bool WatchGap = false;
  bool LoseNextCommandAnswer = false;
  TimePoint KvUnstableUntil;
};

} // namespace daisytack::matrix
