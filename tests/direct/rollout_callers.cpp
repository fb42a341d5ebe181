/// The callers of the simulated rollout.
#include "direct/rollout_model.h"

namespace daisytack::direct {

void RolloutModel::arrive() {
  if (Now >= NoRequestsFrom)
    return;
  double perSecond = 0.7 * static_cast<double>(Engines.size()) * 1000 *
                     TokensPerMs / PromptTokens;
  double wait = std::exponential_distribution<double>(perSecond)(Random);
  in(Duration(static_cast<int64_t>(wait * 1e6) + 1), [this] { arrive(); });
  startCall();
}

void RolloutModel::startCall() {
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

bool RolloutModel::canAnyBegin(const Call &call) const {
  auto catalog = call.Owner->Keeper.view();
  for (const BackendServer &server : catalog->serversOf("engines")) {
    auto since = catalog->outdatedSince("model", server.versionOf("model"));
    if (!since || Now < *since + PlacementSettings().OldWeightsLimit)
      return true;
  }
  return false;
}

void RolloutModel::drive(size_t number, const std::function<void()> &input) {
  Call &call = *Calls[number];
  call.HasNoServer = false;
  input();
  if (call.HasNoServer && !call.Flow->isEnded())
    note(Out.NotRefusedAtOnce, call.name(), " waits without a server");
}

void RolloutModel::answerFinally(Call &call) {
  if (++call.FinalAnswers > 1)
    note(Out.AnsweredWrongly, call.name(), " is answered again");
}

void RolloutModel::sendAttempt(Call &call, uint32_t attempt,
                               const AttemptOrder &order) {
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

ForwardHooks RolloutModel::hooks(Call &call) {
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

} // namespace daisytack::direct
