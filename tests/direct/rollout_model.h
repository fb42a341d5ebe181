/// Simulation of a rollout of weights under trouble: entries with their own
/// catalogs, engines, a holder of the order lease, and callers. Deterministic
/// for its parameters.
#pragma once

#include "direct/placement.h"
#include "direct/weight_plan.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace daisytack::direct {

using namespace std::chrono_literals;

/// Margin between the platform's limit on outdated weights and the entries'.
constexpr Duration RolloutMargin = 1s;
/// The platform's bound for a new version on all servers.
constexpr Duration AllLoadedBound = 17s;

struct RolloutParams {
  uint64_t Seed = 0;
  size_t Engines = 12;
  size_t Domains = 2;
  size_t Entries = 3;
  double UnansweredShare = 0;   ///< Of the orders.
  double LostReportShare = 0.1; ///< Of the reports.
  /// Time from the first version to the second; zero: only one.
  Duration SecondVersionAfter{0};
  bool DoHoldersEnd = false;
};

/// What broke a property, by property.
struct RolloutOutcome {
  std::vector<std::string> BegunTooLate;
  std::vector<std::string> NotRefusedAtOnce;
  std::vector<std::string> OrderedUnfairly;
  std::vector<std::string> NotLoaded; ///< At AllLoadedBound.
  std::vector<std::string> AnsweredWrongly;
  size_t Requests = 0;
  size_t Begun = 0;           ///< Attempts whose first token was made.
  size_t BegunOnOutdated = 0; ///< Those of them on outdated weights.
  size_t RefusedForWeights = 0;
};

class RolloutModel {
public:
  explicit RolloutModel(RolloutParams params)
      : Params(params), Random(params.Seed) {
    addServing();
    addEngines();
    addEntries();
  }

  RolloutOutcome run() {
    at(Begin + 1s, [this] { nameVersion(2); });
    TimePoint last = Begin + 1s;
    if (Params.SecondVersionAfter > Duration::zero()) {
      last += Params.SecondVersionAfter;
      at(last, [this] { nameVersion(3); });
    }
    at(last + AllLoadedBound, [this] { checkAllLoaded(); });
    NoRequestsFrom = last + AllLoadedBound;
    End = NoRequestsFrom + Timeout + 1s;
    for (size_t i = 0; i < Engines.size(); ++i)
      publishReport(i);
    tick();
    gossip();
    arrive();
    if (Params.DoHoldersEnd)
      at(Begin + 2s + upTo(8s), [this] { endHolder(); });
    while (!Events.empty() && Events.begin()->first <= End) {
      auto event = Events.extract(Events.begin());
      Now = event.key();
      event.mapped()();
    }
    for (const auto &call : Calls)
      if (call->FinalAnswers != 1)
        note(Out.AnsweredWrongly, call->name(), " got ", call->FinalAnswers,
             " final answers");
    Out.Requests = Calls.size();
    return std::move(Out);
  }

private:
  static constexpr uint32_t PromptTokens = 20'000;
  static constexpr double TokensPerMs = 112;
  static constexpr Duration Timeout = 8s;
  static constexpr Duration LoadTime = 1300ms;
  static constexpr Duration MaxCatalogLag = 1200ms;
  static constexpr Duration LoadAvoidance = 3s;

  enum class Ill : uint8_t { None, Silent, Refusing, Slow, Rejecting };

  /// One attempt at its engine.
  struct Run {
    size_t Call = 0;
    uint32_t Attempt = 0;
    uint64_t Version = 0;
    bool IsCancelled = false;
  };
  using RunPtr = std::shared_ptr<Run>;

  struct Engine {
    std::string Id;
    std::string Domain;
    Ill Illness = Ill::None;
    uint64_t Version = 1;
    uint64_t OrdersTaken = 0;
    uint64_t Ordered = 0; ///< Version that is being loaded; 0: none.
    bool HasLoadBegun = false;
    std::deque<RunPtr> Queue;
    bool IsPrefilling = false;
    size_t Running = 0;
    EngineReport Published;
    /// Orders by this holder, and selections that gave none as the report was
    /// lost; by version.
    std::map<uint64_t, uint32_t> Turns;
    bool HasTurn = false; ///< Selected, and neither has happened yet.
    std::string Trace;    ///< Orders and loads, for a failure's message.

    bool isDead() const {
      return Illness == Ill::Silent || Illness == Ill::Refusing;
    }
  };

  struct Entry {
    Entry(const CatalogHooks &hooks, const std::string &domain, Endpoint own)
        : Keeper({}, hooks), ColdServers({}, own, TimePoint()),
          Limits({}, own, TimePoint()),
          Place({}, {domain},
                {Loads, Links, Ejected, Rates, Kept, ColdServers, Limits}) {}

    CatalogKeeper Keeper;
    balancing::ServerLoads Loads{{}};
    StoreLinks Links{{}};
    balancing::PrefillRate Rates{{}};
    Ejector Ejected{{1, 4, 5s, 300s, 60s, 600s, true}};
    KeptContext Kept{{}};
    balancing::SlowStart ColdServers;
    balancing::RequestLimits Limits;
    Placement Place;
    DesiredVersionMap ReviewedVersions;
    std::map<std::string, uint64_t> VersionBeforeLoad;
    std::set<size_t> Waiting; ///< Calls that have not ended.
  };

  /// One request of a caller.
  struct Call {
    size_t Number = 0;
    Entry *Owner = nullptr;
    std::unique_ptr<ForwardFlow> Flow;
    std::vector<RunPtr> Runs; ///< By attempt.
    AttemptOrder Order;       ///< Of the latest attempt.
    bool HadFirstByte = false;
    bool HasNoServer = false; ///< The latest choice found none.
    bool MayHaveRun = false;
    size_t FinalAnswers = 0;
    size_t RunsBegun = 0;
    TimePoint TimerAt{};
    std::string name() const { return "request " + std::to_string(Number); }
  };

  // Simulated time and chance.

  void at(TimePoint time, std::function<void()> event) {
    Events.emplace(time, std::move(event));
  }
  void in(Duration delay, std::function<void()> event) {
    at(Now + delay, std::move(event));
  }
  bool chance(double p) { return std::bernoulli_distribution(p)(Random); }
  Duration between(Duration least, Duration most) {
    return Duration(std::uniform_int_distribution<int64_t>(
        least.count(), most.count())(Random));
  }
  Duration upTo(Duration most) { return between(Duration(0), most); }
  Duration transit() { return between(1ms, 10ms); }
  size_t indexBelow(size_t n) {
    return std::uniform_int_distribution<size_t>(0, n - 1)(Random);
  }

  template <class... Ts>
  void note(std::vector<std::string> &to, const Ts &...text) {
    if (to.size() >= 5)
      return;
    std::ostringstream out;
    out << seconds(Now) << " s: ";
    (out << ... << text);
    to.push_back(out.str());
  }
  static double seconds(TimePoint time) {
    return 1e-6 * static_cast<double>((time - Begin).count());
  }
  static double seconds(Duration time) {
    return 1e-6 * static_cast<double>(time.count());
  }

  // Records.

  void addServing();
  void addEngines();
  StoreRecord record(std::string key, RecordValue value);
  StoreRecord serverRecord(const Engine &engine);
  void addEntries();

  /// Each entry learns of a record after a time of its own.
  void write(const StoreRecord &record);
  void nameVersion(uint64_t version);
  /// Since when the version has been outdated.
  std::optional<TimePoint> outdatedSince(uint64_t version) const;

  // Entries.

  void onCatalog(Entry &entry);

  /// Loads and ages of versions, which entries tell one another.
  void gossip();
  void announceLoading();

  // The holder of the order lease.

  std::shared_ptr<const Catalog> holderCatalog() const;
  void endHolder();
  void tick();

  /// Runs the event unless the holder's process ends before.
  void inHolder(Duration delay, std::function<void()> event);
  Engine &engine(const std::string &id);
  void perform(const std::vector<WeightAction> &actions);
  void requestReport(const std::string &id);
  void sendOrder(const SendWeightOrder &order);
  uint64_t newestVersion() const;

  /// Notes the engines that the plan has selected, as it knew them then.
  void noteSelected();

  /// Since when the holder believes that the engine's weights are outdated.
  std::optional<TimePoint> knownOutdatedSince(const std::string &id) const;

  /// Engines that have been outdated as long get their turn before the third
  /// one of this engine.
  void checkFairness(Engine &to, uint64_t version);
  void checkAllLoaded();

  // Engines.

  void trace(Engine &engine, const std::string &what);
  void publishReport(size_t i);
  OrderAnswer take(Engine &engine, const SendWeightOrder &order);
  void loadIfIdle(Engine &engine);
  void reject(const Run &run, unsigned status);
  void arriveAt(Engine &engine, const RunPtr &run);
  void prefillNext(Engine &engine);
  void makeFirstToken(Engine &engine, const RunPtr &run);
  void endRun(Engine &engine);

  /// When the entries believe that the versions were named.
  std::string versionTimes() const;

  // Callers.

  void arrive();
  void startCall();

  /// Whether any engine's weights are within the limit, as far as the entry
  /// knows.
  bool canAnyBegin(const Call &call) const;

  /// Calls the flow, and checks that it ends when no server is left.
  void drive(size_t number, const std::function<void()> &input);
  void answerFinally(Call &call);
  void sendAttempt(Call &call, uint32_t attempt, const AttemptOrder &order);
  ForwardHooks hooks(Call &call);

  static constexpr TimePoint Begin{Duration(1'000'000'000)};

  RolloutParams Params;
  std::mt19937_64 Random;
  TimePoint Now = Begin;
  TimePoint NoRequestsFrom, End;
  std::multimap<TimePoint, std::function<void()>> Events;
  ServingConfig Serving;
  std::deque<RecordValue> Values; ///< By StoreRecord::Value.
  uint64_t Revision = 0;
  std::map<uint64_t, TimePoint> NamedAt; ///< By version, from the second on.
  std::vector<Engine> Engines;
  std::vector<std::unique_ptr<Entry>> Entries;
  std::vector<std::unique_ptr<Call>> Calls;
  size_t LoadsRunning = 0;
  WeightPlan Plan{{}};
  size_t HolderEntry = 0;
  uint32_t HolderNumber = 0; ///< Counts the holder's processes.
  TimePoint HolderFrom{};
  /// Selected engines: since when they were outdated as known at the selection.
  std::map<std::string, std::optional<TimePoint>> SelectedSince;
  RolloutOutcome Out;
};

} // namespace daisytack::direct
