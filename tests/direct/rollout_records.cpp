/// The records, engines and entries at the begin of the simulated rollout.
#include "direct/rollout_model.h"

namespace daisytack::direct {

void RolloutModel::addServing() {
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

void RolloutModel::addEngines() {
  for (size_t i = 0; i < Params.Engines; ++i) {
    Engine out;
    out.Id = (i < 10 ? "e0" : "e") + std::to_string(i);
    out.Domain = "d" + std::to_string(i % Params.Domains);
    Engines.push_back(out);
  }
  // Up to one ill engine of each kind, and one more for every twelve.
  for (Ill illness : {Ill::Slow, Ill::Rejecting, Ill::Silent, Ill::Refusing}) {
    size_t most = Params.Engines / 12 + 1;
    for (size_t n = indexBelow(most + 1); n > 0; --n)
      Engines[indexBelow(Engines.size())].Illness = illness;
  }
}

StoreRecord RolloutModel::record(std::string key, RecordValue value) {
  Values.push_back(std::move(value));
  return {std::move(key), std::to_string(Values.size() - 1), ++Revision, false};
}

StoreRecord RolloutModel::serverRecord(const Engine &engine) {
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

void RolloutModel::addEntries() {
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

void RolloutModel::write(const StoreRecord &record) {
  for (auto &entry : Entries)
    in(upTo(MaxCatalogLag), [this, record, &it = *entry] {
      it.Keeper.apply({record}, Now);
      onCatalog(it);
    });
}

void RolloutModel::nameVersion(uint64_t version) {
  NamedAt[version] = Now;
  write(record("weights", DesiredWeights{{"model", version}}));
}

std::optional<TimePoint> RolloutModel::outdatedSince(uint64_t version) const {
  auto it = NamedAt.upper_bound(version);
  return it == NamedAt.end() ? std::nullopt : std::optional(it->second);
}

} // namespace daisytack::direct
