#include "gateway/context_follower.h"

#include "base/clock.h"
#include "net/http_status.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <utility>

namespace daisytack::gateway {

ContextFollower::ContextFollower(GatewayState &state, Strand strand,
                                 ContextFollowerSettings settings,
                                 RandomSource random, RetirementHooks hooks)
    : State(state), On(std::move(strand)), Settings(settings),
      Random(std::move(random)), Pacing(settings.Pacing),
      Hooks(std::move(hooks)),
      Agreement(settings.Retirement, state.Options.Peers) {}

void ContextFollower::onCatalog() {
  auto catalog = State.catalog();
  for (const direct::Retirement &it : catalog->Retired)
    State.Kept.retire(it);
  Agreement.onCatalog(*catalog, monotonicNow());
  if (!catalog->Config)
    return;
  for (const direct::Service &service : catalog->Config->config().Services) {
    if (!service.Store)
      continue;
    auto [it, isNew] = Stores.try_emplace(service.Name);
    it->second.Address = service.Store->Address;
    it->second.Places = service.Store->MaxWatchCalls;
    if (!isNew)
      continue;
    it->second.Timer = std::make_unique<net::Timer>(On);
    next(service.Name);
  }
}

void ContextFollower::next(const std::string &store) {
  if (IsStopped)
    return;
  Followed &followed = Stores[store];
  TimePoint now = monotonicNow();
  bool mayList =
      !followed.ListedAt || now >= *followed.ListedAt + Settings.ListInterval;
  if (followed.WantsList && mayList)
    return list(store);
  poll(store);
}

void ContextFollower::later(const std::string &store, Duration pause) {
  net::Timer &timer = *Stores[store].Timer;
  timer.expires_after(pause);
  timer.async_wait([weak = weak_from_this(), store](auto ec) {
    auto self = weak.lock();
    if (self && !ec)
      self->next(store);
  });
}

void ContextFollower::list(const std::string &store) {
  Stores[store].CalledAt = monotonicNow();
  State.Control.fetch(
      Stores[store].Address, State.Speak.ListRequest(), Settings.ListPatience,
      [self = shared_from_this(), store](const Error &error,
                                         const net::HttpResponse &answer) {
        std::optional<direct::PartList> list;
        if (!error && answer.Status == net::StatusOk)
          list = self->State.Speak.ReadList(answer.Body);
        boost::asio::dispatch(self->On, [self, store, list = std::move(list)] {
          self->onList(store, list);
        });
      });
}

void ContextFollower::onList(const std::string &store,
                             const std::optional<direct::PartList> &list) {
  if (!list)
    return onFailure(store);
  Followed &followed = Stores[store];
  TimePoint now = monotonicNow();
  noteAnswered(store, now);
  followed.WantsList = false;
  followed.ListedAt = now;
  followed.Epoch = list->Epoch;
  followed.Next = list->Next;
  followed.Broken = {list->Incomplete.begin(), list->Incomplete.end()};
  State.Kept.apply(store, *list);
  State.Log.write(LogWeight::Notable, "store_listed",
                  {{"store", store},
                   {"epoch", list->Epoch},
                   {"parts", list->Kept.size()},
                   {"broken", list->Incomplete.size()}},
                  now);
  laterByPace(store);
}

void ContextFollower::poll(const std::string &store) {
  Followed &followed = Stores[store];
  uint64_t since = followed.Next;
  size_t entries = State.catalog()->Entries.size();
  Duration wait = Pacing.wait(entries, followed.Places);
  followed.CalledAt = monotonicNow();
  State.Control.fetch(
      followed.Address, State.Speak.ChangesRequest(since, wait),
      wait + Settings.CallSlack,
      [self = shared_from_this(), store,
       since](const Error &error, const net::HttpResponse &answer) {
        std::optional<direct::PartChanges> changes;
        bool isBusy = !error && answer.Status == net::StatusTooManyRequests;
        if (!error && answer.Status == net::StatusOk)
          changes = self->State.Speak.ReadChanges(answer.Body, since);
        boost::asio::dispatch(
            self->On, [self, store, isBusy, changes = std::move(changes)] {
              if (isBusy)
                self->onBusy(store);
              else
                self->onChanges(store, changes);
            });
      });
}

void ContextFollower::onBusy(const std::string &store) {
  State.Counts.FeedsBusy.add();
  noteAnswered(store, monotonicNow());
  laterByPace(store);
}

void ContextFollower::laterByPace(const std::string &store) {
  const Followed &followed = Stores[store];
  Duration call = monotonicNow() - followed.CalledAt;
  later(store, Pacing.pauseAfter(call, State.catalog()->Entries.size(),
                                 followed.Places, Random()));
}

void ContextFollower::onChanges(
    const std::string &store,
    const std::optional<direct::PartChanges> &changes) {
  if (!changes)
    return onFailure(store);
  Followed &followed = Stores[store];
  TimePoint now = monotonicNow();
  noteAnswered(store, now);
  if (changes->ClockMs)
    State.Clock.observe(*changes->ClockMs, now);
  if (followed.Epoch != changes->Epoch)
    State.Log.write(LogWeight::Notable, "store_restarted",
                    {{"store", store},
                     {"epoch", changes->Epoch},
                     {"epoch_before", followed.Epoch}},
                    now);
  followed.Epoch = changes->Epoch;
  followed.Next = changes->Next;
  bool isWhole = State.Kept.apply(store, *changes);
  followed.WantsList |= !isWhole;
  laterByPace(store);
}

void ContextFollower::onFailure(const std::string &store) {
  State.Kept.onUnreachable(store);
  if (!std::exchange(Stores[store].IsSilent, true))
    State.Log.write(LogWeight::Notable, "store_lost", {{"store", store}},
                    monotonicNow());
  later(store, Settings.FailurePause);
}

void ContextFollower::noteAnswered(const std::string &store, TimePoint now) {
  if (std::exchange(Stores[store].IsSilent, false))
    State.Log.write(LogWeight::Notable, "store_regained", {{"store", store}},
                    now);
}

void ContextFollower::retireOld(TimePoint now) {
  auto onWritten = [self = shared_from_this()] {
    self->Agreement.onWritten(monotonicNow());
  };
  for (const auto &action :
       Agreement.next(*State.catalog(), State.Kept.freeToUsedRatio(), now)) {
    if (const auto *tell = std::get_if<direct::TellEntry>(&action))
      Hooks.Tell(*tell, [self = shared_from_this(), tell = *tell](bool agreed) {
        self->onAnswered(tell, agreed);
      });
    if (const auto *write = std::get_if<direct::WriteRetired>(&action))
      Hooks.Write(*write, onWritten);
    if (const auto *remove = std::get_if<direct::RemoveRegistration>(&action))
      Hooks.Remove(*remove, onWritten);
  }
}

void ContextFollower::onAnswered(const direct::TellEntry &tell,
                                 bool hasAgreed) {
  TimePoint now = monotonicNow();
  State.Log.write(LogWeight::Notable, "context_retirement_told",
                  {{"peer", toString(tell.Peer)},
                   {"revision", tell.Revision},
                   {"agreed", hasAgreed}},
                  now);
  Agreement.onTold(tell, hasAgreed, now);
}

std::vector<direct::PartRef>
ContextFollower::unused(const std::string &store, const Followed &followed,
                        uint64_t unusedBelow,
                        const std::vector<direct::Retirement> &freeable) const {
  std::vector<direct::PartRef> out =
      State.Kept.partsWhere(store, [&](const direct::PartRef &part) {
        return direct::isUnused(part, 0, freeable);
      });
  // Space of a save that broke off looks like that of one which goes on slowly,
  // and what is freed under a save is reported as whole all the same. So it is
  // freed only once no server can be saving under its scope.
  for (const direct::PartRef &part : followed.Broken)
    if (direct::isUnused(part, unusedBelow, {}) &&
        direct::isUnused(part, 0, freeable))
      out.push_back(part);
  if (out.size() > Settings.PartsPerFree)
    out.resize(Settings.PartsPerFree);
  return out;
}

void ContextFollower::freeUnused(TimePoint now) {
  auto catalog = State.catalog();
  std::vector<direct::Retirement> freeable = Agreement.freeable(now);
  uint64_t unusedBelow = Agreement.unusedBelow(*catalog, now);
  if (freeable.empty() || !State.isConfirmed(now))
    return;
  for (auto &[store, followed] : Stores) {
    if (followed.IsFreeing || now < followed.FreedAt + Settings.FreePause)
      continue;
    std::vector<direct::PartRef> parts =
        unused(store, followed, unusedBelow, freeable);
    if (parts.empty())
      continue;
    followed.IsFreeing = true;
    std::optional<int64_t> until = State.Clock.at(now);
    if (until)
      *until += Settings.FreePatience.count() / 1000;
    State.Log.write(LogWeight::Notable, "parts_freed",
                    {{"store", store},
                     {"parts", parts.size()},
                     {"first", parts.front().Scope + "/" + parts.front().Part},
                     {"unused_below_version", unusedBelow}},
                    now);
    State.Control.fetch(
        followed.Address, State.Speak.FreeRequest(parts, followed.Epoch, until),
        Settings.FreePatience,
        [self = shared_from_this(), name = store,
         parts](const Error &error, const net::HttpResponse &answer) {
          bool isDone = !error && answer.Status == net::StatusOk;
          boost::asio::dispatch(self->On, [self, name, parts, isDone] {
            Followed &it = self->Stores[name];
            it.IsFreeing = false;
            it.FreedAt = monotonicNow();
            it.WantsList |= !isDone;
            if (!isDone)
              return;
            self->State.Kept.onFreed(name, parts);
            for (const direct::PartRef &part : parts)
              it.Broken.erase(part);
          });
        });
  }
}

} // namespace daisytack::gateway
