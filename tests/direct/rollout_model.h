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
    ServerLoads Loads{{}};
    StoreLinks Links{{}};
    PrefillRate Rates{{}};
    Ejector Ejected{{1, 4, 5s, 300s, 60s, 600s, true}};
    KeptContext Kept{{}};
    SlowStart ColdServers;
    RequestLimits Limits;
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

  void addServing() {
    Service engines;
    engines.Name = "engines";
    engines.Engine = EngineTraits{};
    engines.Engine->Models = {"model"};
    Serving.Services = {engines};
    Route route;
    route.Name = "prompts";
    route.Shares = {{"engines", 1}};
    route.HasPrompt = true;
    route.Attempts = 3;
    route.Timeout = Timeout;
    route.TargetLatency = 800ms;
    Serving.Routes = {route};
  }

  void addEngines() {
    for (size_t i = 0; i < Params.Engines; ++i) {
      Engine out;
      out.Id = (i < 10 ? "e0" : "e") + std::to_string(i);
      out.Domain = "d" + std::to_string(i % Params.Domains);
      Engines.push_back(out);
    }
    // Up to one ill engine of each kind, and one more for every twelve.
    for (Ill illness :
         {Ill::Slow, Ill::Rejecting, Ill::Silent, Ill::Refusing}) {
      size_t most = Params.Engines / 12 + 1;
      for (size_t n = indexBelow(most + 1); n > 0; --n)
        Engines[indexBelow(Engines.size())].Illness = illness;
    }
  }

  StoreRecord record(std::string key, RecordValue value) {
    Values.push_back(std::move(value));
    return {std::move(key), std::to_string(Values.size() - 1), ++Revision,
            false};
  }
  StoreRecord serverRecord(const Engine &engine) {
    BackendServer out;
    out.Id = engine.Id;
    out.Service = "engines";
    out.Address = {engine.Id, 80};
    out.FailureDomain = engine.Domain;
    out.Weights = {{"model", engine.Version}};
    out.StartedMs = 1;
    out.Sequence = engine.Version;
    return record("server/" + engine.Id, out);
  }

  void addEntries() {
    CatalogHooks hooks;
    hooks.SubjectOf = [](std::string_view key) -> RecordSubject {
      if (key == "config")
        return {RecordKind::Config, ""};
      if (key == "weights")
        return {RecordKind::Weights, "model"};
      return {RecordKind::Server, std::string(key.substr(7))};
    };
    hooks.Decode = [this](const StoreRecord &it, Error &) {
      return std::optional(Values[std::stoul(it.Value)]);
    };
    hooks.Changed = [](const RecordSubject &, std::string_view, uint64_t,
                       TimePoint) {};
    hooks.Unreadable = [](const StoreRecord &, const Error &, TimePoint) {};
    std::vector<StoreRecord> records{
        record("config", Serving),
        record("weights", DesiredWeights{{"model", 1}})};
    for (const Engine &it : Engines)
      records.push_back(serverRecord(it));
    for (size_t i = 0; i < Params.Entries; ++i) {
      Endpoint own{"10.0.0." + std::to_string(i + 1), 7000};
      Entries.push_back(std::make_unique<Entry>(
          hooks, "d" + std::to_string(i % Params.Domains), own));
      Entries.back()->Keeper.applyAll(records, Revision, Now);
      onCatalog(*Entries.back());
    }
  }

  /// Each entry learns of a record after a time of its own.
  void write(const StoreRecord &record) {
    for (auto &entry : Entries)
      in(upTo(MaxCatalogLag), [this, record, &it = *entry] {
        it.Keeper.apply({record}, Now);
        onCatalog(it);
      });
  }

  void nameVersion(uint64_t version) {
    NamedAt[version] = Now;
    write(record("weights", DesiredWeights{{"model", version}}));
  }
  /// Since when the version has been outdated.
  std::optional<TimePoint> outdatedSince(uint64_t version) const {
    auto it = NamedAt.upper_bound(version);
    return it == NamedAt.end() ? std::nullopt : std::optional(it->second);
  }

  // Entries.

  void onCatalog(Entry &entry) {
    auto catalog = entry.Keeper.view();
    for (const BackendServer &server : catalog->AllServers) {
      auto it = entry.VersionBeforeLoad.find(server.Id);
      if (it == entry.VersionBeforeLoad.end() ||
          server.versionOf("model") == it->second)
        continue;
      entry.Loads.onLoadEnded(server.ref());
      entry.VersionBeforeLoad.erase(it);
    }
    if (catalog->DesiredVersions == entry.ReviewedVersions)
      return;
    entry.ReviewedVersions = catalog->DesiredVersions;
    for (size_t call : std::set<size_t>(entry.Waiting))
      Calls[call]->Flow->onBeginLimitsChanged(Now);
  }

  /// Loads and ages of versions, which entries tell one another.
  void gossip() {
    for (size_t i = 0; i < Entries.size(); ++i)
      for (auto &to : Entries) {
        if (to == Entries[i] || chance(0.05))
          continue;
        auto loads = Entries[i]->Loads.ownLoads();
        auto ages = Entries[i]->Keeper.view()->rolloutAges(Now);
        in(transit(), [this, i, loads, ages, &it = *to] {
          it.Loads.onPeerReport(std::to_string(i), loads, 200ms, Now);
          it.Keeper.onPeerAges(ages, Now);
          onCatalog(it);
        });
      }
    in(200ms, [this] { gossip(); });
  }

  void announceLoading() {
    for (const ServerStart &start : Plan.loadingServers())
      for (auto &entry : Entries)
        if (!chance(0.05))
          in(transit(), [this, start, &it = *entry] {
            it.Loads.onLoading(start, Now + LoadAvoidance, Now);
            for (const BackendServer &server : it.Keeper.view()->AllServers)
              if (server.Id == start.Id)
                it.VersionBeforeLoad[start.Id] = server.versionOf("model");
          });
  }

  // The holder of the order lease.

  std::shared_ptr<const Catalog> holderCatalog() const {
    return Entries[HolderEntry]->Keeper.view();
  }

  void endHolder() {
    ++HolderNumber;
    Plan.clear();
    SelectedSince.clear();
    for (Engine &it : Engines)
      it.Turns.clear();
    HolderFrom = Now + between(500ms, 12s);
    HolderEntry = indexBelow(Entries.size());
    at(HolderFrom + between(2s, 8s), [this] { endHolder(); });
  }

  void tick() {
    if (Now >= HolderFrom) {
      auto actions = Plan.next(*holderCatalog(), Now);
      noteSelected();
      perform(actions);
      announceLoading();
    }
    in(100ms, [this] { tick(); });
  }

  /// Runs the event unless the holder's process ends before.
  void inHolder(Duration delay, std::function<void()> event) {
    in(delay, [this, number = HolderNumber, event = std::move(event)] {
      if (number == HolderNumber)
        event();
    });
  }

  Engine &engine(const std::string &id) {
    return Engines[std::stoul(id.substr(1))];
  }

  void perform(const std::vector<WeightAction> &actions) {
    for (const WeightAction &action : actions) {
      if (const auto *ask = std::get_if<RequestReport>(&action)) {
        requestReport(ask->ServerId);
      } else if (const auto *order = std::get_if<SendWeightOrder>(&action)) {
        sendOrder(*order);
      } else if (const auto *loaded = std::get_if<NoteLoaded>(&action)) {
        for (auto &entry : Entries)
          if (!chance(0.05))
            in(transit(), [this, loaded = *loaded, &it = *entry] {
              it.Keeper.noteLoaded({loaded.ServerId, loaded.StartedMs},
                                   loaded.LoadedVersion, Now);
              onCatalog(it);
            });
      }
    }
  }

  void requestReport(const std::string &id) {
    Engine &it = engine(id);
    if (it.isDead() || chance(Params.LostReportShare)) {
      if (std::exchange(it.HasTurn, false))
        ++it.Turns[holderCatalog()->desiredVersion("model")];
      trace(it, "no report");
      inHolder(WeightPlanSettings().CallTimeout,
               [this, id] { perform(Plan.onReport(id, std::nullopt, Now)); });
      return;
    }
    inHolder(transit() * 2, [this, id, report = it.Published] {
      perform(Plan.onReport(id, report, Now));
    });
  }

  void sendOrder(const SendWeightOrder &order) {
    Engine &it = engine(order.ServerId);
    checkFairness(it, order.Desired.Version);
    trace(it, "order");
    bool isUnanswered = it.isDead() || chance(Params.UnansweredShare);
    bool isLate = !it.isDead() && isUnanswered && chance(0.5);
    ServerStart to{order.ServerId, order.StartedMs};
    if (!isUnanswered) {
      Duration delay = transit();
      in(delay, [this, to, order] {
        OrderAnswer answer = take(engine(to.Id), order);
        inHolder(transit(), [this, to, answer] {
          perform(Plan.onAnswer(to, answer, Now));
        });
      });
      return;
    }
    if (isLate)
      in(between(2s, 12s), [this, order] {
        Engine &late = engine(order.ServerId);
        trace(late, "late order");
        take(late, order);
      });
    inHolder(WeightPlanSettings().CallTimeout, [this, to] {
      perform(Plan.onAnswer(to, OrderAnswer::Unknown, Now));
    });
  }

  uint64_t newestVersion() const {
    return NamedAt.empty() ? 1 : NamedAt.rbegin()->first;
  }

  /// Notes the engines that the plan has selected, as it knew them then.
  void noteSelected() {
    std::map<std::string, std::optional<TimePoint>> selected;
    for (const ServerStart &it : Plan.loadingServers()) {
      auto known = SelectedSince.find(it.Id);
      if (known == SelectedSince.end())
        engine(it.Id).HasTurn = true;
      selected[it.Id] = known == SelectedSince.end() ? knownOutdatedSince(it.Id)
                                                     : known->second;
    }
    SelectedSince = std::move(selected);
  }

  /// Since when the holder believes that the engine's weights are outdated.
  std::optional<TimePoint> knownOutdatedSince(const std::string &id) const {
    auto catalog = holderCatalog();
    for (const BackendServer &it : catalog->AllServers)
      if (it.Id == id)
        return catalog->outdatedSince("model", it.versionOf("model"));
    return std::nullopt;
  }

  /// Engines that have been outdated as long get their turn before the third
  /// one of this engine.
  void checkFairness(Engine &to, uint64_t version) {
    to.HasTurn = false;
    uint32_t turns = ++to.Turns[version];
    auto since = SelectedSince[to.Id];
    if (turns < 3 || !since)
      return;
    for (const Engine &it : Engines) {
      auto itsSince = knownOutdatedSince(it.Id);
      if (it.isDead() || it.Ordered != 0 || it.Version >= version ||
          !itsSince || *itsSince > *since || it.Turns.contains(version))
        continue;
      note(Out.OrderedUnfairly, to.Id, " gets turn ", turns, " for version ",
           version, ":", to.Trace, " and ", it.Id, " got none:", it.Trace);
    }
  }

  void checkAllLoaded() {
    for (const Engine &it : Engines)
      if (!it.isDead() && it.Version < newestVersion())
        note(Out.NotLoaded, it.Id, " has version ", it.Version, " of ",
             newestVersion(), ";", it.Trace);
  }

  // Engines.

  void trace(Engine &engine, const std::string &what) {
    std::ostringstream out;
    out << " " << seconds(Now) << " " << what << ",";
    engine.Trace += out.str();
  }

  void publishReport(size_t i) {
    Engine &it = Engines[i];
    it.Published = {
        {{"model", it.Version}}, it.Ordered != 0, it.OrdersTaken, 1};
    in(between(200ms, 400ms), [this, i] { publishReport(i); });
  }

  OrderAnswer take(Engine &engine, const SendWeightOrder &order) {
    if (engine.Ordered != 0 || order.OrdersTaken != engine.OrdersTaken)
      return OrderAnswer::Conflict;
    if (order.Desired.Version <= engine.Version)
      return OrderAnswer::Accepted;
    ++engine.OrdersTaken;
    engine.Ordered = order.Desired.Version;
    engine.HasLoadBegun = false;
    trace(engine, "taken");
    for (const RunPtr &run : std::exchange(engine.Queue, {}))
      reject(*run, 503);
    loadIfIdle(engine);
    return OrderAnswer::Accepted;
  }

  void loadIfIdle(Engine &engine) {
    if (engine.Ordered == 0 || engine.HasLoadBegun || engine.Running > 0)
      return;
    engine.HasLoadBegun = true;
    ++LoadsRunning;
    // All engines load from the same source.
    double share = static_cast<double>(LoadsRunning) /
                   std::max(2.0, static_cast<double>(Engines.size()) / 6);
    Duration time = Duration(static_cast<int64_t>(
        static_cast<double>(LoadTime.count()) * std::max(1.0, share)));
    in(time, [this, &engine] {
      --LoadsRunning;
      engine.Version = std::exchange(engine.Ordered, 0);
      trace(engine, "loaded");
      write(serverRecord(engine));
    });
  }

  void reject(const Run &run, unsigned status) {
    in(transit(), [this, call = run.Call, attempt = run.Attempt, status] {
      ServerHead head;
      head.Status = status;
      head.WasNotRun = true;
      ForwardFlow &flow = *Calls[call]->Flow;
      // An answer to a cancelled attempt tells the caller nothing.
      if (!flow.isEnded() && flow.attempts() == attempt)
        Calls[call]->MayHaveRun = false;
      drive(call, [&] {
        flow.onHead(attempt, head, Now);
        flow.onDone(attempt, {}, false, Now);
      });
    });
  }

  void arriveAt(Engine &engine, const RunPtr &run) {
    if (engine.Illness == Ill::Silent || run->IsCancelled)
      return;
    if (engine.Illness == Ill::Refusing) {
      Calls[run->Call]->MayHaveRun = false;
      return drive(run->Call, [&] {
        Calls[run->Call]->Flow->onDone(
            run->Attempt, {ErrorKind::ServerLost, "refused"}, true, Now);
      });
    }
    if (engine.Ordered != 0 ||
        (engine.Illness == Ill::Rejecting && chance(0.8)))
      return reject(*run, 503);
    if (run->Version != engine.Version)
      return reject(*run, 421);
    engine.Queue.push_back(run);
    prefillNext(engine);
  }

  void prefillNext(Engine &engine) {
    while (!engine.Queue.empty() && engine.Queue.front()->IsCancelled)
      engine.Queue.pop_front();
    if (engine.IsPrefilling || engine.Queue.empty())
      return;
    RunPtr run = engine.Queue.front();
    engine.Queue.pop_front();
    engine.IsPrefilling = true;
    ++engine.Running;
    Call &call = *Calls[run->Call];
    bool mayRepeat = call.Flow->request().MatchedRoute.mayRepeat();
    if (++call.RunsBegun > 1 && !mayRepeat)
      note(Out.AnsweredWrongly, call.name(), " runs again at ", engine.Id);
    auto prefill =
        Duration(static_cast<int64_t>(PromptTokens / TokensPerMs)) * 1000;
    Duration late = engine.Illness == Ill::Slow ? upTo(3s) : Duration(0);
    in(prefill, [this, &engine] {
      engine.IsPrefilling = false;
      prefillNext(engine);
    });
    in(prefill + late, [this, &engine, run] { makeFirstToken(engine, run); });
  }

  void makeFirstToken(Engine &engine, const RunPtr &run) {
    if (run->IsCancelled)
      return endRun(engine);
    ++Out.Begun;
    if (auto since = outdatedSince(engine.Version)) {
      ++Out.BegunOnOutdated;
      Duration limit = PlacementSettings().OldWeightsLimit + RolloutMargin;
      if (Now - *since > limit)
        note(Out.BegunTooLate, Calls[run->Call]->name(), " begins at ",
             engine.Id, " on version ", engine.Version, ", outdated for ",
             seconds(Now - *since), " s; ", versionTimes());
    }
    in(transit(), [this, run] {
      ServerHead head;
      head.Status = 200;
      Call &call = *Calls[run->Call];
      if (run->Attempt == call.Flow->attempts() && !call.Flow->isEnded()) {
        call.HadFirstByte = true;
        call.Owner->Loads.onFirstByte(call.Order.server(),
                                      call.Order.QueuedTokens, Now);
        call.Owner->Loads.onActivity(call.Order.server(), Now);
      }
      drive(run->Call, [&] {
        call.Flow->onHead(run->Attempt, head, Now);
        call.Flow->onData(run->Attempt, "data: x\n\n", Now);
      });
    });
    in(between(200ms, 900ms), [this, &engine, run] {
      endRun(engine);
      in(10ms, [this, run] {
        drive(run->Call, [&] {
          Calls[run->Call]->Flow->onDone(run->Attempt, {}, false, Now);
        });
      });
    });
  }

  void endRun(Engine &engine) {
    --engine.Running;
    loadIfIdle(engine);
  }

  /// When the entries believe that the versions were named.
  std::string versionTimes() const {
    std::ostringstream out;
    for (const auto &[version, namedAt] : NamedAt) {
      out << "version " << version << " named at " << seconds(namedAt)
          << ", known since";
      for (const auto &entry : Entries)
        for (const auto &[model, versions] :
             entry->Keeper.view()->DesiredVersions)
          for (const DesiredVersion &it : versions)
            if (it.Version == version)
              out << " " << seconds(it.Since);
      out << "; ";
    }
    return out.str();
  }

  // Callers.

  void arrive() {
    if (Now >= NoRequestsFrom)
      return;
    double perSecond = 0.7 * static_cast<double>(Engines.size()) * 1000 *
                       TokensPerMs / PromptTokens;
    double wait = std::exponential_distribution<double>(perSecond)(Random);
    in(Duration(static_cast<int64_t>(wait * 1e6) + 1), [this] { arrive(); });
    startCall();
  }

  void startCall() {
    ForwardRequest request;
    size_t number = Calls.size();
    request.Head.RequestId = std::to_string(number);
    request.Head.Model = "model";
    request.Head.PromptTokens = PromptTokens;
    request.Head.Parts = {{"session" + std::to_string(indexBelow(200)), 15'000},
                          {"own" + std::to_string(number), 5'000}};
    request.Service = "engines";
    request.Organisation = "org";
    request.MatchedRoute = Serving.Routes.front();
    std::array kinds{RouteKind::Stream, RouteKind::Idempotent,
                     RouteKind::NonIdempotent};
    request.MatchedRoute.Kind = kinds[indexBelow(kinds.size())];
    request.MatchedRoute.IsResumable = chance(0.5);
    request.Priority = chance(0.3) ? 0 : 5;
    request.Arrived = Now;
    request.Deadline = Now + Timeout;
    Calls.push_back(std::make_unique<Call>());
    Call &call = *Calls.back();
    call.Number = number;
    call.Owner = Entries[indexBelow(Entries.size())].get();
    call.Owner->Waiting.insert(number);
    call.Flow = std::make_unique<ForwardFlow>(std::move(request),
                                              ForwardSettings(), hooks(call));
    bool isAnyInTime = canAnyBegin(call);
    drive(number, [&] { call.Flow->start(Now); });
    if (!isAnyInTime && !call.Flow->isEnded())
      note(Out.NotRefusedAtOnce, call.name(), " waits although all weights ",
           "have been outdated for too long");
  }

  /// Whether any engine's weights are within the limit, as far as the entry
  /// knows.
  bool canAnyBegin(const Call &call) const {
    auto catalog = call.Owner->Keeper.view();
    for (const BackendServer &server : catalog->serversOf("engines")) {
      auto since = catalog->outdatedSince("model", server.versionOf("model"));
      if (!since || Now < *since + PlacementSettings().OldWeightsLimit)
        return true;
    }
    return false;
  }

  /// Calls the flow, and checks that it ends when no server is left.
  void drive(size_t number, const std::function<void()> &input) {
    Call &call = *Calls[number];
    call.HasNoServer = false;
    input();
    if (call.HasNoServer && !call.Flow->isEnded())
      note(Out.NotRefusedAtOnce, call.name(), " waits without a server");
  }

  void answerFinally(Call &call) {
    if (++call.FinalAnswers > 1)
      note(Out.AnsweredWrongly, call.name(), " is answered again");
  }

  void sendAttempt(Call &call, uint32_t attempt, const AttemptOrder &order) {
    bool mayRepeat = call.Flow->request().MatchedRoute.mayRepeat();
    if (call.MayHaveRun && !mayRepeat)
      note(Out.AnsweredWrongly, call.name(), " is sent again after a ",
           "possible run");
    call.MayHaveRun = true;
    call.Order = order;
    call.HadFirstByte = false;
    call.Owner->Loads.onSent(order.server(), order.QueuedTokens, Now);
    auto run = std::make_shared<Run>(
        Run{call.Number, attempt, order.WeightVersion, false});
    call.Runs.push_back(run);
    in(transit(),
       [this, id = order.ServerId, run] { arriveAt(engine(id), run); });
  }

  ForwardHooks hooks(Call &call) {
    ForwardHooks out;
    Entry &entry = *call.Owner;
    out.ChooseServer = [this, &call, &entry](const ServerCriteria &criteria,
                                             TimePoint now, Error &reason) {
      auto catalog = entry.Keeper.view();
      auto choice = entry.Place.choose(call.Flow->request(), *catalog, criteria,
                                       std::nullopt, now, reason);
      call.HasNoServer = !choice;
      if (choice &&
          choice->Order.OutdatedFor >= PlacementSettings().OldWeightsLimit)
        note(Out.NotRefusedAtOnce, call.name(), " is sent to ",
             choice->Order.ServerId, ", outdated for ",
             seconds(choice->Order.OutdatedFor), " s");
      return choice;
    };
    out.CanChooseServer = [&call, &entry](const ServerCriteria &criteria,
                                          TimePoint now) {
      return entry.Place.canChoose(call.Flow->request(), *entry.Keeper.view(),
                                   criteria, now);
    };
    out.BeginStream = [](const AttemptOrder &order) {
      return std::optional(order.SoftwareVersion);
    };
    out.BeginLimit = [&call, &entry](const AttemptOrder &order) {
      return entry.Place.beginLimit(call.Flow->request(), *entry.Keeper.view(),
                                    order);
    };
    out.TakeRetry = [this] { return chance(0.9); };
    out.SendAttempt = [this, &call](uint32_t n, const AttemptOrder &order) {
      sendAttempt(call, n, order);
    };
    out.CancelAttempt = [this, &call](uint32_t n) {
      in(transit(), [run = call.Runs[n - 1]] { run->IsCancelled = true; });
    };
    out.RecordResult = [&call, &entry](uint32_t, const AttemptOrder &order,
                                       AttemptResult result, TimePoint now) {
      entry.Loads.onEnded(order.server(), order.QueuedTokens, call.HadFirstByte,
                          now);
      if (result == AttemptResult::TurnedAway ||
          result == AttemptResult::Unreached)
        entry.Loads.onRejected(order.server(), now);
    };
    out.BeginAnswer = [](const ServerHead &) {};
    out.WriteAnswer = [](const std::string &) {};
    out.EndAnswer = [this, &call] { answerFinally(call); };
    out.AbortAnswer = [this, &call] { answerFinally(call); };
    out.SendAnswer = [this, &call](const ServerHead &, const std::string &) {
      answerFinally(call);
    };
    out.SendError = [this, &call](unsigned status, const Error &error) {
      answerFinally(call);
      if (promisesNotRun(status) && error.Kind == ErrorKind::WeightsOutdated)
        ++Out.RefusedForWeights;
      if (promisesNotRun(status) && error.RetryAfter <= Duration::zero())
        note(Out.NotRefusedAtOnce, call.name(), " is refused without a time");
      if (promisesNotRun(status) && call.MayHaveRun)
        note(Out.AnsweredWrongly, call.name(), " may have run, but gets ",
             status);
    };
    out.ArmTimer = [this, &call](TimePoint time) {
      call.TimerAt = time;
      at(std::max(time, Now), [this, time, &call] {
        if (call.TimerAt == time && !call.Flow->isEnded())
          drive(call.Number, [&] { call.Flow->onTimer(Now); });
      });
    };
    out.Ended = [&call, &entry] { entry.Waiting.erase(call.Number); };
    return out;
  }

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
