/// Drives the decisions with one stream over the cost models, event by event.
#pragma once

#include "policy_agent.h"

#include "decide/limits.h"
#include "decide/prefix_popularity.h"
#include "decide/reuse_estimate.h"
#include "decide/routing.h"

#include <queue>

namespace daisytack::bench {

enum class Routing : uint8_t { RoundRobin, LeastLoaded, Ours };
enum class Context : uint8_t { EngineOnly, FetchAll, Planned, Oracle };

struct Policy {
  std::string Name;
  Routing Route = Routing::Ours;
  Context Reuse = Context::Planned;
  bool Accepts =
      true; ///< False: everything is queued, first come first served.
};

struct Scenario {
  std::string Name;
  bool Bursts = false;
  bool Misbehaviour = false;
  double SlowServer = 1;    ///< Speed of one server in the fault window.
  bool LosesDomain = false; ///< From the fault window's start on.
  double LinkShare = 1;     ///< Of the links' rate in the fault window.
};

struct RunOptions {
  Duration Length{0};
  Duration WarmUp{0}; ///< Requests before are not counted.
  uint64_t Seed = 1;
};

/// Fate of one request.
struct Record {
  bool Counted = false;
  bool Refused = false;
  bool Limited = false; ///< Refused by the organisation's limit.
  bool Lost = false;    ///< Accepted, and never answered.
  Duration FirstToken{0};
  Duration Took{0};
  uint32_t Recomputed = 0;
};

struct RunResult {
  std::vector<Record> Records;
  uint64_t Fetched = 0; ///< Bytes over all links.
  uint64_t Exported = 0;
  uint64_t GivenUp = 0; ///< Fetches, in pieces.
  double LinkUse = 0;
  uint64_t Moves = 0;
};

// How often an agent looks for accepted requests that will be late.
constexpr Duration AgentTick{250'000};
constexpr uint32_t MaxMoves = 2;
// How long entries need to learn that servers have died; until then offers to
// them fail at once and go to the next candidate.
constexpr Duration DetectionTime{2'000'000};

class PolicyRun {
public:
  PolicyRun(const Deployment &deployment, const Policy &policy,
            const Scenario &scenario, const std::vector<Request> &stream,
            const RunOptions &options);
  RunResult run();

private:
  enum class Kind : uint8_t {
    Arrival,
    FirstToken,
    Finished,
    Transfer,
    ReadyDue,
    LinkWake,
    Poll,
    Tick,
    FaultOn,
    FaultOff,
    Detected,
  };
  struct Happening {
    TimePoint At;
    uint64_t Sequence;
    Kind What;
    uint32_t A;
    uint64_t B;
    uint64_t C;
    bool operator>(const Happening &other) const {
      return std::tie(At, Sequence) > std::tie(other.At, other.Sequence);
    }
  };

  void at(TimePoint when, Kind what, uint32_t a = 0, uint64_t b = 0,
          uint64_t c = 0) {
    Events.push({when, ++LastSequence, what, a, b, c});
  }
  void buildSnapshot();
  void happen(const Happening &event);
  void onArrival(uint32_t index);
  void onFirstToken(uint32_t job, uint64_t epoch);
  void onFinished(uint32_t job, uint64_t epoch);
  void onTransfer(uint32_t server, uint32_t link, uint64_t id);
  void onReadyDue(uint32_t job, uint64_t epoch);
  void giveUpFetches(Job &job, AgentModel &agent);
  void onTick(uint32_t server);
  void onFault(bool on);
  void loseDomain();
  RunRequest runRequest(const Job &job, const AgentModel &agent) const;

  bool isWithinLimit(const Request &request, uint32_t entry);
  /// Servers to offer to, in order.
  std::vector<uint32_t> route(const Request &request, uint32_t index,
                              uint32_t entry);
  bool place(Job &job, uint32_t entry, std::optional<uint32_t> except);
  bool offer(Job &job, uint32_t server);
  void enqueue(Job &job, uint32_t server);
  FetchPlan planAt(Job &job, AgentModel &agent);
  FetchPlan fetchEverything(const PlanInput &input) const;
  void startFetches(Job &job, AgentModel &agent);
  void pumpQueue(uint32_t server);
  void pumpLink(uint32_t server, uint32_t link);
  void beginPrefill(Job &job);
  void exportPieces(const Job &job);
  void insertExported(uint32_t store, AgentModel &agent, const Cargo &cargo);
  void report(uint32_t server, uint32_t entry);
  WallTime wall() const { return WallTime(Now.time_since_epoch()); }

  const Deployment &What;
  const Policy &How;
  const Scenario &Fault;
  const std::vector<Request> &Stream;
  RunOptions Options;

  TimePoint Now{};
  uint64_t LastSequence = 0;
  uint64_t LastTransfer = 0;
  std::priority_queue<Happening, std::vector<Happening>, std::greater<>> Events;
  Random Chance;
  RunQueueSettings QueueSettings;
  std::vector<std::unique_ptr<AgentModel>> Agents;
  std::vector<StoreModel> Stores;
  std::vector<StoreInstance> StoreNames;
  std::vector<Organisation> Customers;
  std::vector<std::unique_ptr<LoadView>> Loads;
  std::vector<std::unique_ptr<PrefixPopularity>> Popularity;
  std::vector<std::unique_ptr<ReuseEstimate>> Reuse;
  std::vector<std::unique_ptr<OrganisationLimits>> Limits;
  std::vector<std::unique_ptr<QuotaOwner>> Owners;
  std::shared_ptr<Snapshot> Members;
  std::unique_ptr<RoutingTable> Table;
  RouterSettings RouteSettings;
  std::vector<Job> Jobs;
  std::unordered_map<PieceKey, bool> EverSeen; ///< For the oracle.
  std::vector<uint64_t> KeptBytes; ///< Per organisation, as the stores count.
  RunResult Out;
  uint32_t NextServer = 0;
};

} // namespace daisytack::bench

#include "policy_kept.h"
#include "policy_steps.h"
