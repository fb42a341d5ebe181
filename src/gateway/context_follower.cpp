#include "gateway/context_follower.h"

#include "base/clock.h"
#include "base/duration.h"
#include "daisytack/limits.h"
#include "direct/store_timing.h"
#include "net/http_status.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <utility>

namespace daisytack::gateway {

namespace {

/// Longest list of a store's parts, or of their changes, in bytes: 80,000 parts
/// of 100 bytes each.
constexpr size_t MaxStoreAnswerBytes = MaxFrameBytes;

net::HttpCallOptions callOptions() {
  net::HttpCallOptions out;
  out.MaxBodyBytes = MaxStoreAnswerBytes;
  return out;
}

} // namespace

ContextFollower::ContextFollower(GatewayState &state, Strand strand,
                                 ContextFollowerSettings settings,
                                 RandomSource random, RetirementHooks hooks,
                                 std::shared_ptr<HolderRecord> epochRecord)
    : State(state), Executor(std::move(strand)), Settings(settings),
      Random(std::move(random)), Pacing(settings.Pacing),
      Hooks(std::move(hooks)), EpochRecord(std::move(epochRecord)),
      Agreement(settings.Retirement, state.Options.Peers) {}

void ContextFollower::onCatalog() {
  auto catalog = State.catalog();
  for (const direct::Retirement &it : catalog->Retired)
    State.StoredParts.retire(it);
  Agreement.onCatalog(*catalog, monotonicNow());
  State.StoredParts.onSettled(catalog->SettledEpochs);
  if (!catalog->Config)
    return;
  for (const direct::Service &service : catalog->Config->config().Services) {
    if (!service.Store)
      continue;
    auto [it, isNew] = Stores.try_emplace(service.Name);
    it->second.Address = service.Store->Address;
    it->second.WatchCallLimit = service.Store->MaxWatchCalls;
    if (!isNew)
      continue;
    it->second.Timer = std::make_unique<net::Timer>(Executor);
    callStore(service.Name);
  }
}

void ContextFollower::callStore(const std::string &store) {
  if (IsStopped)
    return;
  FollowedStore &followed = Stores[store];
  TimePoint now = monotonicNow();
  bool isListAllowed = !followed.LastListAt ||
                       now >= *followed.LastListAt + Settings.MinListInterval;
  bool needsList =
      followed.NeedsList || State.StoredParts.needsList(store, now);
  if (needsList && isListAllowed)
    return requestList(store);
  pollChanges(store);
}

void ContextFollower::scheduleNext(const std::string &store, Duration pause) {
  net::Timer &timer = *Stores[store].Timer;
  timer.expires_after(pause);
  timer.async_wait([weak = weak_from_this(), store](auto ec) {
    auto self = weak.lock();
    if (self && !ec)
      self->callStore(store);
  });
}

void ContextFollower::requestList(const std::string &store) {
  Stores[store].CalledAt = monotonicNow();
  State.ControlClient.fetch(
      Stores[store].Address, State.WireProtocol.ListRequest(),
      Settings.ListTimeout,
      [self = shared_from_this(), store](const Error &error,
                                         const net::HttpResponse &answer) {
        std::optional<direct::PartList> list;
        if (!error && answer.Status == net::StatusOk)
          list = self->State.WireProtocol.ReadList(answer.Body);
        boost::asio::dispatch(self->Executor,
                              [self, store, list = std::move(list)] {
                                self->onList(store, list);
                              });
      },
      callOptions());
}

void ContextFollower::onList(const std::string &store,
                             const std::optional<direct::PartList> &list) {
  if (!list)
    return onCallFailed(store);
  FollowedStore &followed = Stores[store];
  TimePoint now = monotonicNow();
  markAnswered(store, now);
  followed.LastListAt = now;
  followed.Epoch = list->Epoch;
  followed.Next = list->Next;
  followed.IncompleteParts = {list->Incomplete.begin(), list->Incomplete.end()};
  State.StoredParts.apply(store, *list, timingOf(followed), followed.CalledAt,
                          now);
  State.Log.write(LogPriority::Notable, "store_listed",
                  {{"store", store},
                   {"changes_missed", followed.NeedsList},
                   {"epoch", list->Epoch},
                   {"parts", list->Kept.size()},
                   {"broken", list->Incomplete.size()}},
                  now);
  followed.NeedsList = false;
  scheduleNextPaced(store);
}

void ContextFollower::pollChanges(const std::string &store) {
  FollowedStore &followed = Stores[store];
  uint64_t since = followed.Next;
  size_t entries = State.catalog()->Entries.size();
  Duration wait = Pacing.wait(entries, followed.WatchCallLimit);
  followed.CalledAt = monotonicNow();
  State.ControlClient.fetch(
      followed.Address, State.WireProtocol.ChangesRequest(since, wait),
      wait + Settings.CallTimeoutMargin,
      [self = shared_from_this(), store,
       since](const Error &error, const net::HttpResponse &answer) {
        std::optional<direct::PartChanges> changes;
        bool isBusy = !error && answer.Status == net::StatusTooManyRequests;
        if (!error && answer.Status == net::StatusOk)
          changes = self->State.WireProtocol.ReadChanges(answer.Body, since);
        boost::asio::dispatch(self->Executor, [self, store, isBusy,
                                               changes = std::move(changes)] {
          if (isBusy)
            self->onBusy(store);
          else
            self->onChanges(store, changes);
        });
      },
      callOptions());
}

void ContextFollower::onBusy(const std::string &store) {
  State.Stats.BusyFeedCalls.add();
  markAnswered(store, monotonicNow());
  scheduleNextPaced(store);
}

void ContextFollower::scheduleNextPaced(const std::string &store) {
  const FollowedStore &followed = Stores[store];
  Duration call = monotonicNow() - followed.CalledAt;
  scheduleNext(store, Pacing.pauseAfter(call, State.catalog()->Entries.size(),
                                        followed.WatchCallLimit, Random()));
}

void ContextFollower::onChanges(
    const std::string &store,
    const std::optional<direct::PartChanges> &changes) {
  if (!changes)
    return onCallFailed(store);
  FollowedStore &followed = Stores[store];
  TimePoint now = monotonicNow();
  markAnswered(store, now);
  if (changes->ClockMs)
    State.Clock.observe(*changes->ClockMs, now);
  if (followed.Epoch != changes->Epoch)
    State.Log.write(
        LogPriority::Notable, "store_restarted",
        {{"store", store},
         {"epoch", changes->Epoch},
         {"epoch_before", followed.Epoch},
         {"saves_in_ms", millisecondsOf(timingOf(followed).SaveDelay)}},
        now);
  followed.Epoch = changes->Epoch;
  followed.Next = changes->Next;
  bool isComplete =
      State.StoredParts.apply(store, *changes, timingOf(followed), now);
  followed.NeedsList |= !isComplete;
  scheduleNextPaced(store);
}

direct::StoreTiming
ContextFollower::timingOf(const FollowedStore &followed) const {
  return direct::storeTiming(Pacing, {State.catalog()->Entries.size(),
                                      followed.WatchCallLimit,
                                      Settings.CallTimeoutMargin});
}

void ContextFollower::onCallFailed(const std::string &store) {
  State.StoredParts.onUnreachable(store);
  if (!std::exchange(Stores[store].IsUnreachable, true))
    State.Log.write(LogPriority::Notable, "store_lost", {{"store", store}},
                    monotonicNow());
  scheduleNext(store, Settings.RetryInterval);
}

void ContextFollower::markAnswered(const std::string &store, TimePoint now) {
  if (std::exchange(Stores[store].IsUnreachable, false))
    State.Log.write(LogPriority::Notable, "store_regained", {{"store", store}},
                    now);
}

void ContextFollower::retireUnused(TimePoint now) {
  auto onWritten = [self = shared_from_this()] {
    self->Agreement.onWritten(monotonicNow());
  };
  for (const auto &action : Agreement.next(
           *State.catalog(), State.StoredParts.freeToUsedRatio(), now)) {
    if (const auto *notification = std::get_if<direct::NotifyEntry>(&action))
      Hooks.Notify(*notification, [self = shared_from_this(),
                                   notification = *notification](bool agreed) {
        self->onEntryAnswered(notification, agreed);
      });
    if (const auto *write = std::get_if<direct::WriteRetired>(&action))
      Hooks.Write(*write, onWritten);
    if (const auto *remove = std::get_if<direct::RemoveRegistration>(&action))
      Hooks.Remove(*remove, onWritten);
  }
}

void ContextFollower::recordSettledEpochs(TimePoint now) {
  if (!EpochRecord->mayWrite(now))
    return;
  auto catalog = State.catalog();
  std::vector<direct::SettledEpoch> settled =
      State.StoredParts.settledEpochs(now);
  const auto &recorded = catalog->SettledEpochs;
  bool isMissing =
      std::any_of(settled.begin(), settled.end(), [&](const auto &it) {
        return std::find(recorded.begin(), recorded.end(), it) ==
               recorded.end();
      });
  if (!isMissing)
    return;
  size_t stores = settled.size();
  EpochRecord->write(
      State.WireProtocol.EncodeSettledEpochs({std::move(settled)}),
      catalog->SettledEpochsRevision, now,
      [&state = State, stores](const edge::KvHeader &header) {
        state.Log.write(LogPriority::Notable, "store_epochs_recorded",
                        {{"stores", stores},
                         {"status", edge::kvStatusName(header.Status)},
                         {"revision", header.Revision}},
                        monotonicNow());
      });
}

void ContextFollower::onEntryAnswered(const direct::NotifyEntry &notification,
                                      bool hasAgreed) {
  TimePoint now = monotonicNow();
  State.Log.write(LogPriority::Notable, "context_retirement_told",
                  {{"peer", toString(notification.Peer)},
                   {"revision", notification.Revision},
                   {"agreed", hasAgreed}},
                  now);
  Agreement.onNotified(notification, hasAgreed, now);
}

std::vector<direct::PartRef> ContextFollower::unusedParts(
    const std::string &store, const FollowedStore &followed,
    uint64_t unusedBelow,
    const std::vector<direct::Retirement> &freeable) const {
  std::vector<direct::PartRef> out =
      State.StoredParts.partsWhere(store, [&](const direct::PartRef &part) {
        return direct::isUnused(part, 0, freeable);
      });
  // The space of an aborted save looks like that of a slow one, and a part that
  // is freed while it is being saved is still reported as complete. An
  // incomplete part is therefore freed only once no server can be saving under
  // its scope.
  for (const direct::PartRef &part : followed.IncompleteParts)
    if (direct::isUnused(part, unusedBelow, {}) &&
        direct::isUnused(part, 0, freeable))
      out.push_back(part);
  if (out.size() > Settings.MaxPartsPerFree)
    out.resize(Settings.MaxPartsPerFree);
  return out;
}

void ContextFollower::freeUnused(TimePoint now) {
  auto catalog = State.catalog();
  std::vector<direct::Retirement> freeable = Agreement.freeable(now);
  uint64_t unusedBelow = Agreement.unusedBelow(*catalog, now);
  if (freeable.empty() || !State.isConfirmed(now))
    return;
  for (auto &[store, followed] : Stores) {
    if (followed.IsFreeing || now < followed.LastFreeAt + Settings.FreeInterval)
      continue;
    std::vector<direct::PartRef> parts =
        unusedParts(store, followed, unusedBelow, freeable);
    if (parts.empty())
      continue;
    followed.IsFreeing = true;
    std::optional<int64_t> until = State.Clock.at(now);
    if (until)
      *until += Settings.FreeTimeout.count() / 1000;
    State.Log.write(LogPriority::Notable, "parts_freed",
                    {{"store", store},
                     {"parts", parts.size()},
                     {"first", parts.front().Scope + "/" + parts.front().Part},
                     {"unused_below_version", unusedBelow}},
                    now);
    net::HttpCallOptions options = callOptions();
    options.UsesOwnConnection = true;
    State.ControlClient.fetch(
        followed.Address,
        State.WireProtocol.FreeRequest(parts, followed.Epoch, until),
        Settings.FreeTimeout,
        [self = shared_from_this(), name = store,
         parts](const Error &error, const net::HttpResponse &answer) {
          bool isDone = !error && answer.Status == net::StatusOk;
          boost::asio::dispatch(self->Executor, [self, name, parts, isDone] {
            FollowedStore &it = self->Stores[name];
            it.IsFreeing = false;
            it.LastFreeAt = monotonicNow();
            it.NeedsList |= !isDone;
            if (!isDone)
              return;
            self->State.StoredParts.onFreed(name, parts);
            for (const direct::PartRef &part : parts)
              it.IncompleteParts.erase(part);
          });
        },
        options);
  }
}

} // namespace daisytack::gateway
