#include "gateway/save_grant_exchange.h"

#include "base/clock.h"
#include "base/duration.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace daisytack::gateway {

namespace {

/// Further questions about a part within one interval get no answer.
constexpr size_t MaxQuestionsPerPart = 64;
/// Obstacle to a save of which another one was granted.
constexpr std::string_view Outstanding = "outstanding";

/// Whether no entry is registered that is not announced.
bool areAllAnnounced(const direct::Catalog &catalog) {
  std::set<Endpoint> announced;
  for (const direct::EntryPeer &it : catalog.Entries)
    announced.insert(it.Peer);
  return std::all_of(
      catalog.Registered.begin(), catalog.Registered.end(),
      [&](const auto &it) { return announced.contains(it.first); });
}

direct::EntryPeer selfOf(const GatewayOptions &options) {
  direct::EntryPeer out;
  out.Name = options.Name;
  out.Peer = options.Peers;
  return out;
}

} // namespace

SaveGrantExchange::SaveGrantExchange(GatewayState &state, Strand strand,
                                     SendHook send,
                                     SaveGrantExchangeSettings settings)
    : State(state), Executor(std::move(strand)), Send(std::move(send)),
      Settings(settings), Owner(selfOf(state.Options), settings.Grants),
      Grants(settings.Grants) {}

void SaveGrantExchange::stop() { IsStopped = true; }

void SaveGrantExchange::request(std::vector<direct::PartSave> saves,
                                Duration maxWait, Duration expected,
                                SavesDone done) {
  boost::asio::dispatch(Executor, [self = shared_from_this(),
                                   saves = std::move(saves), maxWait, expected,
                                   done = std::move(done)]() mutable {
    TimePoint now = monotonicNow();
    auto batch = std::make_shared<Batch>(self->Executor, std::move(done));
    batch->Missing = saves.size();
    for (direct::PartSave &it : saves)
      batch->Answers.push_back(
          {SaveAnswer::Kind::Unknown, std::move(it), {}, 0});
    direct::SaveGrantRequest wish;
    wish.MaxWaitUs = maxWait.count();
    wish.ExpectedMs = static_cast<uint32_t>(
        std::clamp<double>(millisecondsOf(expected), 0, UINT32_MAX));
    for (size_t i = 0; i < batch->Answers.size(); ++i)
      self->ask(batch, i, wish, now);
    if (batch->Missing == 0)
      return self->finish(batch);
    batch->Timer.expires_after(self->Settings.Timeout);
    batch->Timer.async_wait([self, batch](const boost::system::error_code &ec) {
      if (!ec)
        self->onTimeout(batch);
    });
  });
}

void SaveGrantExchange::ask(const std::shared_ptr<Batch> &batch, size_t index,
                            direct::SaveGrantRequest wish, TimePoint now) {
  SaveAnswer &answer = batch->Answers[index];
  std::optional<Endpoint> owner = Owner.ownerOf(answer.Save);
  auto silent = owner ? SilentUntil.find(*owner) : SilentUntil.end();
  bool isSilent = silent != SilentUntil.end() && now < silent->second;
  if (!owner || isSilent || IsStopped) {
    --batch->Missing;
    return;
  }
  answer.Owner = *owner;
  answer.Number = wish.Number = ++LastNumber;
  wish.Save = answer.Save;
  Questions[answer.Number] = {batch, index};
  if (*owner == State.Options.Peers)
    onQuestion({*owner, std::move(wish)});
  else
    Send(*owner, wish);
}

void SaveGrantExchange::onQuestion(const direct::SaveQuestion &question) {
  const direct::PartSave &save = question.Request.Save;
  PartKey part{save.Store, save.Scope, save.Part};
  std::shared_ptr<Collected> &collected = ToAnswer[part];
  if (!collected) {
    collected = std::make_shared<Collected>(Executor);
    collected->Timer.expires_after(Settings.Grants.CollectTime);
    collected->Timer.async_wait(
        [weak = weak_from_this(), part](const boost::system::error_code &ec) {
          if (auto self = weak.lock(); self && !ec)
            self->answer(part);
        });
  }
  if (collected->Questions.size() < MaxQuestionsPerPart)
    collected->Questions.push_back(question);
}

void SaveGrantExchange::answer(const PartKey &part) {
  auto it = ToAnswer.find(part);
  std::vector<direct::SaveQuestion> questions =
      std::move(it->second->Questions);
  ToAnswer.erase(it);
  direct::sortQuestions(questions);
  TimePoint now = monotonicNow();
  for (const direct::SaveQuestion &question : questions) {
    direct::SaveGrantResponse response = decide(question, now);
    if (question.Holder == State.Options.Peers)
      onAnswer(question.Holder, response);
    else if (!IsStopped)
      Send(question.Holder, response);
  }
}

void SaveGrantExchange::onAnswer(const Endpoint &sender,
                                 const direct::SaveGrantResponse &response) {
  auto it = Questions.find(response.Number);
  if (it == Questions.end())
    return;
  std::shared_ptr<Batch> batch = it->second.From;
  SaveAnswer &answer = batch->Answers[it->second.Index];
  if (answer.Owner != sender)
    return;
  Questions.erase(it);
  answer.Result = response.IsGranted    ? SaveAnswer::Kind::Granted
                  : response.IsNeedless ? SaveAnswer::Kind::Needless
                                        : SaveAnswer::Kind::Unknown;
  if (--batch->Missing == 0)
    finish(batch);
}

void SaveGrantExchange::onTimeout(const std::shared_ptr<Batch> &batch) {
  TimePoint now = monotonicNow();
  for (const SaveAnswer &it : batch->Answers) {
    if (Questions.erase(it.Number) == 0)
      continue;
    SilentUntil[it.Owner] = now + Settings.SilenceInterval;
    State.Log.write(LogPriority::Notable, "save_owner_silent",
                    {{"owner", toString(it.Owner)}, {"number", it.Number}},
                    now);
    // The answer may come yet.
    ended(it, false);
  }
  finish(batch);
}

void SaveGrantExchange::finish(const std::shared_ptr<Batch> &batch) {
  batch->Timer.cancel();
  if (SavesDone done = std::exchange(batch->Done, nullptr))
    done(batch->Answers);
}

void SaveGrantExchange::ended(const SaveAnswer &granted, bool hasBegun) {
  boost::asio::dispatch(
      Executor, [self = shared_from_this(), granted, hasBegun] {
        direct::SaveEnded message{granted.Number, granted.Save, hasBegun};
        if (granted.Owner == self->State.Options.Peers)
          self->Grants.onEnded(granted.Owner, message, monotonicNow());
        else if (!self->IsStopped)
          self->Send(granted.Owner, message);
      });
}

direct::SaveGrantResponse
SaveGrantExchange::decide(const direct::SaveQuestion &question, TimePoint now) {
  const direct::SaveGrantRequest &request = question.Request;
  std::string_view obstacle = obstacleTo(question.Holder, request, now);
  State.Log.write(LogPriority::Routine,
                  obstacle.empty() ? "save_granted" : "save_refused",
                  {{"store", request.Save.Store},
                   {"epoch", request.Save.Epoch},
                   {"part", request.Save.Scope + "/" + request.Save.Part},
                   {"holder", toString(question.Holder)},
                   {"number", request.Number},
                   {"max_wait_ms", millisecondsOf(Duration(request.MaxWaitUs))},
                   {"obstacle", obstacle}},
                  now);
  bool isNeedless = obstacle == Outstanding ||
                    obstacle == toString(direct::SaveObstacle::Kept);
  return {request.Number, obstacle.empty(), isNeedless};
}

std::string_view
SaveGrantExchange::obstacleTo(const Endpoint &holder,
                              const direct::SaveGrantRequest &request,
                              TimePoint now) {
  const direct::PartSave &save = request.Save;
  Duration maxWait(request.MaxWaitUs);
  if (maxWait <= Duration::zero() || maxWait > MaxWait)
    return "may_wait_too_long";
  std::optional<TimePoint> soleSince =
      Owner.soleSince(save, maxGrantTime(), now);
  if (!soleSince)
    return "not_sole_owner";
  direct::SaveObstacle obstacle =
      State.StoredParts.obstacleTo(save, *soleSince, now);
  if (obstacle == direct::SaveObstacle::Incomplete)
    State.StoredParts.wantComplete(save.Store, *soleSince, now);
  if (obstacle != direct::SaveObstacle::None)
    return toString(obstacle);
  bool isGranted = Grants.grant(
      holder, request, State.StoredParts.restartedAfter(save.Store), now);
  if (isGranted)
    return "";
  if (std::optional<TimePoint> overSince = Grants.overSince(save, now))
    State.StoredParts.wantComplete(save.Store, *overSince, now);
  return Outstanding;
}

Duration SaveGrantExchange::maxGrantTime() const {
  return direct::grantTimeFor(MaxWait, Settings.Grants);
}

void SaveGrantExchange::onCatalog() {
  auto catalog = State.catalog();
  if (catalog->Config)
    for (const direct::Route &it : catalog->Config->config().Routes)
      if (it.HasPrompt)
        MaxWait =
            std::max(MaxWait, it.Timeout > Duration::zero()
                                  ? std::min(it.Timeout, direct::MaxSaveWait)
                                  : direct::MaxSaveWait);
  onTimer(monotonicNow());
}

void SaveGrantExchange::onTimer(TimePoint now) {
  // Read before the catalog, so that the catalog is at least as new.
  TimePoint announcedAsOf{Duration(State.AnnouncedAsOf.load())};
  auto catalog = State.catalog();
  bool isNew = !Owner.isAnnounced();
  Owner.onEntries(catalog->Entries, announcedAsOf, maxGrantTime(), now);
  // Whoever grants a save knows the record, and then also this entry.
  if (isNew && Owner.isAnnounced() && State.HasReadAll &&
      catalog->SettledEpochsRevision == 0 && areAllAnnounced(*catalog))
    Owner.onFirstStart();
  if (catalog->SettledEpochsRevision != 0)
    Owner.onSavesPossible(now);
  Grants.dropKnown(
      [this](const std::string &store) {
        return State.StoredParts.completeAsOf(store);
      },
      now);
  std::erase_if(SilentUntil, [&](const auto &it) { return now >= it.second; });
}

void SaveGrantExchange::onMessage(const Endpoint &sender,
                                  const direct::PeerMessage &message) {
  if (const auto *question = std::get_if<direct::SaveGrantRequest>(&message))
    return onQuestion({sender, *question});
  if (const auto *answer = std::get_if<direct::SaveGrantResponse>(&message))
    return onAnswer(sender, *answer);
  if (const auto *end = std::get_if<direct::SaveEnded>(&message))
    Grants.onEnded(sender, *end, monotonicNow());
}

} // namespace daisytack::gateway
