#include "gateway/stream_origin_log.h"

#include "base/clock.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace daisytack::gateway {

namespace {

constexpr Duration CallTimeout{1'000'000};

} // namespace

StreamOriginLog::StreamOriginLog(GatewayState &state, Strand strand,
                                 edge::KvStore store, Id128 process,
                                 StreamOriginLogSettings settings)
    : State(state), Executor(std::move(strand)), Store(std::move(store)),
      Process(process), Settings(settings) {}

void StreamOriginLog::onBegan(const direct::StreamsBegan &began) {
  // A single version follows from the record of the versions that were seen.
  auto seen = State.Software.seen(began.Origin.Service, monotonicNow());
  if (seen.Versions.size() < 2 || interval() > Settings.MaxInterval)
    return;
  for (const Id128 &stream : began.Streams)
    Waiting.emplace_back(began.Origin, stream);
  while (Waiting.size() > Settings.MaxWaiting)
    Waiting.pop_front();
}

Duration StreamOriginLog::interval() const {
  auto entries = static_cast<int64_t>(State.catalog()->Entries.size());
  return std::max(Settings.MinInterval, entries * Settings.IntervalPerEntry);
}

void StreamOriginLog::onTimer(TimePoint now) {
  if (Waiting.empty() || IsCalling || now < NextCallAt)
    return;
  NextCallAt = now + interval();
  if (Lease == 0 || now >= LeaseSince + Settings.LeaseInterval)
    acquireLease(now);
  else
    write(now);
}

void StreamOriginLog::acquireLease(TimePoint now) {
  IsCalling = true;
  Store.GrantLease(
      State.Options.StreamMaxAge + Settings.LeaseInterval, CallTimeout,
      [self = shared_from_this(), now](const edge::KvLeaseResult &result) {
        boost::asio::dispatch(self->Executor, [self, now, result] {
          self->IsCalling = false;
          if (result.Header.Status != edge::KvStatus::Ok || result.Lease == 0)
            return;
          self->Lease = result.Lease;
          self->LeaseSince = now;
          self->write(monotonicNow());
        });
      });
}

void StreamOriginLog::write(TimePoint now) {
  size_t n = std::min(Waiting.size(), Settings.MaxStreams);
  auto end = Waiting.begin() + static_cast<std::ptrdiff_t>(n);
  std::vector<Stream> streams(Waiting.begin(), end);
  Waiting.erase(Waiting.begin(), end);
  std::map<direct::StreamOrigin, std::vector<Id128>> byOrigin;
  for (const auto &[origin, stream] : streams)
    byOrigin[origin].push_back(stream);
  std::vector<direct::StreamsBegan> record;
  record.reserve(byOrigin.size());
  for (const auto &[origin, ids] : byOrigin)
    record.push_back({origin, ids});
  edge::KvTransaction write;
  write.Then.push_back({State.WireProtocol.StreamOriginsPrefix +
                            toHex(Process) + "/" + std::to_string(++Records),
                        State.WireProtocol.EncodeStreamOrigins(record), Lease,
                        false});
  IsCalling = true;
  Store.Commit(
      std::move(write), CallTimeout,
      [self = shared_from_this(), now,
       streams = std::move(streams)](const edge::KvTransactionResult &result) {
        boost::asio::dispatch(self->Executor, [self, now, streams,
                                               header = result.Header] {
          self->IsCalling = false;
          self->State.Log.write(LogPriority::Routine, "stream_origins_recorded",
                                {{"streams", streams.size()},
                                 {"status", edge::kvStatusName(header.Status)}},
                                now);
          if (header.Status == edge::KvStatus::Ok)
            return;
          self->Lease = 0; // It may have ended.
          self->Waiting.insert(self->Waiting.begin(), streams.begin(),
                               streams.end());
        });
      });
}

void StreamOriginLog::onSnapshot(const edge::KvRangeResult &snapshot) {
  std::map<Id128, direct::StreamOrigin> origins;
  std::set<Id128> ambiguous;
  size_t records = 0;
  size_t unreadable = 0;
  for (const edge::KvEntry &it : snapshot.Entries) {
    if (!it.Key.starts_with(State.WireProtocol.StreamOriginsPrefix))
      continue;
    auto record = State.WireProtocol.DecodeStreamOrigins(it.Value);
    ++(record ? records : unreadable);
    for (const direct::StreamsBegan &began :
         record.value_or(std::vector<direct::StreamsBegan>()))
      for (const Id128 &stream : began.Streams)
        if (auto [known, isNew] = origins.try_emplace(stream, began.Origin);
            !isNew && known->second != began.Origin)
          ambiguous.insert(stream);
  }
  std::map<direct::StreamOrigin, std::vector<Id128>> byOrigin;
  for (const auto &[stream, origin] : origins)
    if (!ambiguous.contains(stream))
      byOrigin[origin].push_back(stream);
  TimePoint now = monotonicNow();
  for (const auto &[origin, streams] : byOrigin)
    State.Origins.onTold({origin, streams}, now);
  if (records + unreadable > 0)
    State.Log.write(LogPriority::Notable, "stream_origins_read",
                    {{"records", records},
                     {"streams", origins.size()},
                     {"ambiguous", ambiguous.size()},
                     {"unreadable", unreadable}},
                    now);
}

} // namespace daisytack::gateway
