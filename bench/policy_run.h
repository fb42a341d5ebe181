/// Discrete-event simulation of one request stream: runs the decisions against
/// the cost models.
#pragma once

#include "policy_agent.h"

#include "decide/limits.h"
#include "decide/prefix_popularity.h"
#include "decide/reuse_estimate.h"
#include "decide/routing.h"

#include <queue>

namespace daisytack::bench {

enum class Routing : uint8_t { RoundRobin, LeastLoaded, Daisytack };
/// Which context a request reuses besides what the engine has cached: none, all
/// stored pieces, the stored pieces selected by the fetch plan, or, as a bound,
/// every piece seen before at no cost.
enum class ContextReuse : uint8_t { EngineOnly, FetchAll, Planned, Oracle };

struct Policy {
  std::string Name;
  Routing Route = Routing::Daisytack;
  ContextReuse Reuse = ContextReuse::Planned;
  /// False: every request is queued, first come first served.
  bool ChecksAcceptance = true;
};

struct Scenario {
  std::string Name;
  bool HasBursts = false;
  bool HasMisbehaviour = false;
  double SlowServerSpeed = 1; ///< Speed of one server in the fault window.
  /// From the start of the fault window to the end of the run.
  bool LosesDomain = false;
  /// Factor on the rate of the links in the fault window.
  double LinkRateFactor = 1;
};

struct RunOptions {
  Duration Length{0};
  /// Requests that arrive before this time are not counted.
  Duration WarmUp{0};
  uint64_t Seed = 1;
};

/// Outcome of one request. Times are measured from its arrival.
struct RequestOutcome {
  bool Counted = false;
  bool Refused = false;
  bool Limited = false; ///< Refused by the organisation's limit.
  bool Lost = false;    ///< Accepted and never answered.
  Duration FirstTokenTime{0};
  Duration TotalTime{0};
  uint32_t RecomputedTokens = 0;
};

struct RunResult {
  std::vector<RequestOutcome> Outcomes;
  uint64_t FetchedBytes = 0; ///< Sum over all links.
  uint64_t ExportedBytes = 0;
  /// Number of pieces whose fetch was abandoned.
  uint64_t AbandonedFetches = 0;
  double LinkUtilisation = 0;
  uint64_t Moves = 0;
};

// Interval at which an agent checks for accepted requests that will be late.
constexpr Duration LateCheckInterval{250'000};
constexpr uint32_t MaxMoves = 2;
// Time after which entries detect that servers have failed. Until then, offers
// to them fail immediately and go to the next candidate.
constexpr Duration FailureDetectionTime{2'000'000};

class PolicyRun {
public:
  PolicyRun(const Deployment &deployment, const Policy &policy,
            const Scenario &scenario, const std::vector<Request> &stream,
            const RunOptions &options);
  RunResult run();

private:
  enum class EventKind : uint8_t {
    Arrival,
    FirstToken,
    Finished,
    Transfer,
    ContextDue,
    LinkWake,
    Poll,
    Tick,
    FaultOn,
    FaultOff,
    Detected,
  };
  struct SimulationEvent {
    TimePoint At;
    uint64_t Sequence;
    EventKind Type;
    uint32_t Target; ///< Index of a server or job, depending on Type.
    uint64_t Arg1;
    uint64_t Arg2;
    bool operator>(const SimulationEvent &other) const {
      return std::tie(At, Sequence) > std::tie(other.At, other.Sequence);
    }
  };

  void schedule(TimePoint when, EventKind type, uint32_t target = 0,
                uint64_t arg1 = 0, uint64_t arg2 = 0) {
    Events.push({when, ++LastSequence, type, target, arg1, arg2});
  }
  void buildSnapshot();
  void handle(const SimulationEvent &event);
  void onArrival(uint32_t index);
  void onFirstToken(uint32_t job, uint64_t epoch);
  void onFinished(uint32_t job, uint64_t epoch);
  void onTransfer(uint32_t server, uint32_t link, uint64_t id);
  void onContextDue(uint32_t job, uint64_t epoch);
  void abandonFetches(Job &job, AgentModel &agent);
  void onTick(uint32_t server);
  void onFault(bool isActive);
  void failDomain();
  RunRequest runRequest(const Job &job, const AgentModel &agent) const;

  bool isWithinLimit(const Request &request, uint32_t entry);
  /// Returns the servers to offer the request to, in order.
  std::vector<uint32_t> route(const Request &request, uint32_t index,
                              uint32_t entry);
  bool place(Job &job, uint32_t entry, std::optional<uint32_t> excluded);
  bool offer(Job &job, uint32_t server);
  void enqueue(Job &job, uint32_t server);
  FetchPlan planFetches(Job &job, AgentModel &agent);
  FetchPlan planAllFetches(const PlanInput &input) const;
  void startFetches(Job &job, AgentModel &agent);
  void startRuns(uint32_t server);
  void startTransfers(uint32_t server, uint32_t link);
  void beginPrefill(Job &job);
  void exportPieces(const Job &job);
  void insertExported(uint32_t store, AgentModel &agent,
                      const PendingTransfer &pending);
  void report(uint32_t server, uint32_t entry);
  WallTime wallTime() const { return WallTime(Now.time_since_epoch()); }

  const Deployment &Setup;
  const Policy &TestedPolicy;
  const Scenario &Faults;
  const std::vector<Request> &Stream;
  RunOptions Options;

  TimePoint Now{};
  uint64_t LastSequence = 0;
  uint64_t LastTransfer = 0;
  std::priority_queue<SimulationEvent, std::vector<SimulationEvent>,
                      std::greater<>>
      Events;
  Random Rng;
  RunQueueSettings QueueSettings;
  std::vector<std::unique_ptr<AgentModel>> Agents;
  std::vector<StoreModel> Stores;
  std::vector<StoreInstance> StoreInstances;
  std::vector<Organisation> Organisations;
  std::vector<std::unique_ptr<LoadView>> LoadViews;
  std::vector<std::unique_ptr<PrefixPopularity>> Popularity;
  std::vector<std::unique_ptr<ReuseEstimate>> ReuseEstimates;
  std::vector<std::unique_ptr<OrganisationLimits>> Limits;
  std::vector<std::unique_ptr<QuotaOwner>> QuotaOwners;
  std::shared_ptr<Snapshot> Members;
  std::unique_ptr<RoutingTable> Table;
  RouterSettings RouteSettings;
  std::vector<Job> Jobs;
  /// Pieces of all accepted requests; used by ContextReuse::Oracle.
  std::unordered_map<PieceKey, bool> SeenPieces;
  /// Stored bytes per organisation, over all stores.
  std::vector<uint64_t> KeptBytes;
  RunResult Result;
  uint32_t NextRoundRobinServer = 0;
};

} // namespace daisytack::bench

#include "policy_kept.h"
#include "policy_steps.h"
