/// The holder of the order lease in the simulated rollout.
#include "direct/rollout_model.h"

namespace daisytack::direct {

std::shared_ptr<const Catalog> RolloutModel::holderCatalog() const {
  return Entries[HolderEntry]->Keeper.view();
}

void RolloutModel::endHolder() {
  ++HolderNumber;
  Plan.clear();
  SelectedSince.clear();
  for (Engine &it : Engines)
    it.Turns.clear();
  HolderFrom = Now + between(500ms, 12s);
  HolderEntry = indexBelow(Entries.size());
  at(HolderFrom + between(2s, 8s), [this] { endHolder(); });
}

void RolloutModel::tick() {
  if (Now >= HolderFrom) {
    auto actions = Plan.next(*holderCatalog(), Now);
    noteSelected();
    perform(actions);
    announceLoading();
  }
  in(100ms, [this] { tick(); });
}

void RolloutModel::inHolder(Duration delay, std::function<void()> event) {
  in(delay, [this, number = HolderNumber, event = std::move(event)] {
    if (number == HolderNumber)
      event();
  });
}

RolloutModel::Engine &RolloutModel::engine(const std::string &id) {
  return Engines[std::stoul(id.substr(1))];
}

void RolloutModel::perform(const std::vector<WeightAction> &actions) {
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

void RolloutModel::requestReport(const std::string &id) {
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

void RolloutModel::sendOrder(const SendWeightOrder &order) {
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
      inHolder(transit(),
               [this, to, answer] { perform(Plan.onAnswer(to, answer, Now)); });
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

uint64_t RolloutModel::newestVersion() const {
  return NamedAt.empty() ? 1 : NamedAt.rbegin()->first;
}

void RolloutModel::noteSelected() {
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

std::optional<TimePoint>
RolloutModel::knownOutdatedSince(const std::string &id) const {
  auto catalog = holderCatalog();
  for (const BackendServer &it : catalog->AllServers)
    if (it.Id == id)
      return catalog->outdatedSince("model", it.versionOf("model"));
  return std::nullopt;
}

void RolloutModel::checkFairness(Engine &to, uint64_t version) {
  to.HasTurn = false;
  uint32_t turns = ++to.Turns[version];
  auto since = SelectedSince[to.Id];
  if (turns < 3 || !since)
    return;
  for (const Engine &it : Engines) {
    auto itsSince = knownOutdatedSince(it.Id);
    if (it.isDead() || it.Ordered != 0 || it.Version >= version || !itsSince ||
        *itsSince > *since || it.Turns.contains(version))
      continue;
    note(Out.OrderedUnfairly, to.Id, " gets turn ", turns, " for version ",
         version, ":", to.Trace, " and ", it.Id, " got none:", it.Trace);
  }
}

void RolloutModel::checkAllLoaded() {
  for (const Engine &it : Engines)
    if (!it.isDead() && it.Version < newestVersion())
      note(Out.NotLoaded, it.Id, " has version ", it.Version, " of ",
           newestVersion(), ";", it.Trace);
}

} // namespace daisytack::direct
