#include "gateway/stream_origin_exchange.h"

#include "base/clock.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace daisytack::gateway {

StreamOriginExchange::StreamOriginExchange(
    GatewayState &state, Strand strand, SendHook send, ConfirmHook confirm,
    StreamOriginExchangeSettings settings)
    : State(state), Executor(std::move(strand)), Send(std::move(send)),
      Confirm(std::move(confirm)), Settings(settings), TellTimer(Executor),
      LookupTimer(Executor) {}

void StreamOriginExchange::stop() {
  IsStopped = true;
  TellTimer.cancel();
  LookupTimer.cancel();
  tell();
}

void StreamOriginExchange::began(const Id128 &stream,
                                 const direct::StreamOrigin &origin) {
  if (State.Origins.onBegan(stream, origin, monotonicNow()))
    boost::asio::dispatch(Executor,
                          [self = shared_from_this()] { self->armTell(); });
}

void StreamOriginExchange::flush() {
  boost::asio::dispatch(Executor,
                        [self = shared_from_this()] { self->tell(); });
}

void StreamOriginExchange::armTell() {
  if (IsStopped)
    return tell();
  TellTimer.expires_after(Settings.TellDelay);
  TellTimer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code &ec) {
        if (auto self = weak.lock(); self && !ec)
          self->tell();
      });
}

void StreamOriginExchange::tell() {
  for (const direct::StreamsBegan &began : State.Origins.takeUntold()) {
    if (OnBegan)
      OnBegan(began);
    std::map<Endpoint, direct::StreamsBegan> messages;
    for (const Id128 &stream : began.Streams) {
      for (const Endpoint &owner :
           Owners.ownersOf(stream, State.Options.Peers)) {
        direct::StreamsBegan &message =
            messages.try_emplace(owner, direct::StreamsBegan{began.Origin, {}})
                .first->second;
        message.Streams.push_back(stream);
        if (message.Streams.size() < Settings.MaxStreamsPerDatagram)
          continue;
        Send(owner, message);
        messages.erase(owner);
      }
    }
    for (const auto &[owner, message] : messages)
      Send(owner, message);
  }
}

void StreamOriginExchange::find(const StreamResumption &resumption,
                                OriginDone done) {
  using Source = direct::OriginAnswer::Source;
  std::optional<direct::KnownOrigin> known;
  if (resumption.Stream)
    known = State.Origins.find(*resumption.Stream, monotonicNow());
  if (known)
    return done(direct::OriginAnswer{known->Origin,
                                     known->IsOwn ? Source::Own : Source::Told,
                                     known->Age},
                {});
  boost::asio::dispatch(Executor, [self = shared_from_this(), resumption,
                                   done = std::move(done)]() mutable {
    self->startLookup(resumption, std::move(done));
  });
}

void StreamOriginExchange::startLookup(const StreamResumption &resumption,
                                       OriginDone done) {
  TimePoint now = monotonicNow();
  // Without a name, any entries tell which versions they have seen.
  Id128 stream = resumption.Stream.value_or(Id128{});
  direct::OriginLookup steps({stream, resumption.Service},
                             Owners.ownersOf(stream, State.Options.Peers),
                             State.Software.seen(resumption.Service, now),
                             State.Options.StreamMaxAge, Settings.Lookup, now);
  Lookups.push_back({std::move(steps), std::move(done)});
  advance();
}

void StreamOriginExchange::advance() {
  TimePoint now = monotonicNow();
  TimePoint syncedAt{Duration(State.SyncedAt.load())};
  bool needsState = answerPending(syncedAt, now);
  std::optional<TimePoint> next;
  for (auto it = Lookups.begin(); it != Lookups.end();) {
    const std::string &service = it->Steps.request().Service;
    for (const Endpoint &owner : it->Steps.takeDue(now))
      Send(owner, it->Steps.request());
    if (it->Steps.needsOwnState(now))
      it->Steps.onState(State.Software.seen(service, now), syncedAt, now);
    for (const Endpoint &owner : it->Steps.takeStateDue(now))
      Send(owner, direct::ServerVersionsRequest{
                      service, now.time_since_epoch().count()});
    if (!it->Steps.isDecided(now)) {
      needsState |= it->Steps.needsOwnState(now);
      next = std::min(next.value_or(it->Steps.nextAt()), it->Steps.nextAt());
      ++it;
      continue;
    }
    Error reason;
    std::optional<direct::OriginAnswer> origin = it->Steps.result(reason);
    OriginDone done = std::move(it->Done);
    it = Lookups.erase(it);
    done(origin, reason);
  }
  if (needsState && !IsStopped) {
    TimePoint nextConfirm = confirm(now);
    next = std::min(next.value_or(nextConfirm), nextConfirm);
  }
  if (!next || IsStopped)
    return;
  LookupTimer.expires_after(std::max(*next - now, Duration::zero()));
  LookupTimer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code &ec) {
        if (auto self = weak.lock(); self && !ec)
          self->advance();
      });
}

TimePoint StreamOriginExchange::confirm(TimePoint now) {
  if (now < NextConfirmAt)
    return NextConfirmAt;
  NextConfirmAt = now + Settings.ConfirmInterval;
  Confirm([weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->advance();
  });
  return NextConfirmAt;
}

bool StreamOriginExchange::answerPending(TimePoint syncedAt, TimePoint now) {
  std::erase_if(Pending, [&](const PendingVersions &it) {
    bool isRecent = syncedAt >= it.ArrivedAt;
    if (isRecent)
      Send(it.Sender, direct::ServerVersionsResponse{
                          it.Request.Service, it.Request.AskedAtUs,
                          State.Software.seen(it.Request.Service, now)});
    return isRecent || now >= it.ArrivedAt + Settings.Lookup.Timeout;
  });
  return !Pending.empty();
}

void StreamOriginExchange::onCatalog() {
  auto catalog = State.catalog();
  bool isIndexed =
      IndexedCatalog && IndexedCatalog->Entries == catalog->Entries;
  IndexedCatalog = catalog;
  if (!isIndexed)
    Owners = direct::StreamOwnerIndex(catalog->Entries);
  onTimer(monotonicNow());
}

void StreamOriginExchange::onTimer(TimePoint now) {
  State.Software.onCatalog(*State.catalog(), State.isConfirmed(now), now);
}

void StreamOriginExchange::onMessage(const Endpoint &sender,
                                     const direct::PeerMessage &message) {
  if (const auto *began = std::get_if<direct::StreamsBegan>(&message))
    return State.Origins.onTold(*began, monotonicNow());
  if (const auto *request = std::get_if<direct::StreamOriginRequest>(&message))
    return answer(sender, *request);
  TimePoint now = monotonicNow();
  if (const auto *versions =
          std::get_if<direct::ServerVersionsRequest>(&message)) {
    Duration history(State.Software.seen(versions->Service, now).HistoryUs);
    if (history < State.Options.StreamMaxAge ||
        Pending.size() >= Settings.MaxPending)
      return;
    Pending.push_back({sender, *versions, now});
    return advance();
  }
  if (const auto *versions =
          std::get_if<direct::ServerVersionsResponse>(&message)) {
    // The sender's state is more recent than the request.
    TimePoint completeAt{Duration(versions->AskedAtUs)};
    for (Lookup &it : Lookups)
      if (it.Steps.request().Service == versions->Service)
        it.Steps.onState(versions->Seen, completeAt, now);
    return advance();
  }
  const auto *response = std::get_if<direct::StreamOriginResponse>(&message);
  if (!response)
    return;
  for (Lookup &it : Lookups)
    if (it.Steps.request().Stream == response->Stream)
      it.Steps.onResponse(sender, *response);
  advance();
}

void StreamOriginExchange::answer(const Endpoint &sender,
                                  const direct::StreamOriginRequest &request) {
  TimePoint now = monotonicNow();
  direct::StreamOriginResponse out;
  out.Stream = request.Stream;
  if (auto known = State.Origins.find(request.Stream, now))
    out.Origin = known->Origin;
  out.Seen = State.Software.seen(request.Service, now);
  Send(sender, out);
}

} // namespace daisytack::gateway
