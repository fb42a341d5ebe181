/// The engines of the simulated rollout.
#include "direct/rollout_model.h"

namespace daisytack::direct {

void RolloutModel::trace(Engine &engine, const std::string &what) {
  std::ostringstream out;
  out << " " << seconds(Now) << " " << what << ",";
  engine.Trace += out.str();
}

void RolloutModel::publishReport(size_t i) {
  Engine &it = Engines[i];
  it.Published = {{{"model", it.Version}}, it.Ordered != 0, it.OrdersTaken, 1};
  in(between(200ms, 400ms), [this, i] { publishReport(i); });
}

OrderAnswer RolloutModel::take(Engine &engine, const SendWeightOrder &order) {
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

void RolloutModel::loadIfIdle(Engine &engine) {
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

void RolloutModel::reject(const Run &run, unsigned status) {
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

void RolloutModel::arriveAt(Engine &engine, const RunPtr &run) {
  if (engine.Illness == Ill::Silent || run->IsCancelled)
    return;
  if (engine.Illness == Ill::Refusing) {
    Calls[run->Call]->MayHaveRun = false;
    return drive(run->Call, [&] {
      Calls[run->Call]->Flow->onDone(
          run->Attempt, {ErrorKind::ServerLost, "refused"}, true, Now);
    });
  }
  if (engine.Ordered != 0 || (engine.Illness == Ill::Rejecting && chance(0.8)))
    return reject(*run, 503);
  if (run->Version != engine.Version)
    return reject(*run, 421);
  engine.Queue.push_back(run);
  prefillNext(engine);
}

void RolloutModel::prefillNext(Engine &engine) {
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

void RolloutModel::makeFirstToken(Engine &engine, const RunPtr &run) {
  if (run->IsCancelled)
    return endRun(engine);
  ++Out.Begun;
  if (auto since = outdatedSince(engine.Version)) {
    ++Out.BegunOnOutdated;
    Duration limit = PlacementSettings().OldWeightsLimit + RolloutMargin;
    if (Now - *since > limit)
      note(Out.BegunTooLate, Calls[run->Call]->name(), " begins at ", engine.Id,
           " on version ", engine.Version, ", outdated for ",
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

void RolloutModel::endRun(Engine &engine) {
  --engine.Running;
  loadIfIdle(engine);
}

std::string RolloutModel::versionTimes() const {
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

} // namespace daisytack::direct
