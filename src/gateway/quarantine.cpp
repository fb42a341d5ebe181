#include "gateway/quarantine.h"

#include "base/clock.h"
#include "direct/rendezvous.h"
#include "gateway/gateway_request.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <utility>

namespace daisytack::gateway {

namespace {

DecisionLog::Fields recordLogFields(const Id128 &request,
                                    const edge::KvHeader &answer) {
  return {{"identity", toHex(request)},
          {"status", edge::kvStatusName(answer.Status)},
          {"revision", answer.Revision}};
}

} // namespace

void enforceQuarantine(GatewayState &state, const std::vector<Id128> &requests,
                       TimePoint now) {
  if (requests.empty())
    return;
  for (const Id128 &request : requests)
    state.Log.write(LogPriority::Notable, "request_quarantined",
                    {{"identity", toHex(request)}}, now);
  for (const auto &running : state.Running.all())
    running->failIfQuarantined();
}

QuarantineRecords::QuarantineRecords(GatewayState &state, Strand strand,
                                     edge::KvStore store,
                                     QuarantineRecordSettings settings)
    : State(state), Executor(std::move(strand)), Store(std::move(store)),
      Settings(settings) {}

void QuarantineRecords::onCatalog(TimePoint now) { applyRecords(now); }

void QuarantineRecords::onTimer(TimePoint now) {
  if (IsCallPending)
    return;
  writeMissing(now);
  removeCleared(now);
}

void QuarantineRecords::applyRecords(TimePoint now) {
  auto catalog = State.catalog();
  for (const auto &[request, revision] : catalog->Quarantined) {
    bool isNewlyKnown =
        std::exchange(AppliedRevisions[request], revision) != revision;
    if (isNewlyKnown)
      enforceQuarantine(State, State.Suspects.onQuarantineRecord(request, now),
                        now);
  }
  std::erase_if(AppliedRevisions, [&](const auto &it) {
    return !catalog->Quarantined.contains(it.first);
  });
}

size_t QuarantineRecords::writersBefore(const Id128 &request) const {
  std::string key = toHex(request);
  double own = direct::rendezvousScore(key, State.Options.Name);
  auto catalog = State.catalog();
  auto isBefore = [&](const direct::EntryPeer &it) {
    return it.Name != State.Options.Name &&
           direct::rendezvousScore(key, it.Name) > own;
  };
  return static_cast<size_t>(std::count_if(catalog->Entries.begin(),
                                           catalog->Entries.end(), isBefore));
}

void QuarantineRecords::writeMissing(TimePoint now) {
  auto catalog = State.catalog();
  std::vector<Id128> quarantined = State.Suspects.quarantinedRequests(now);
  std::erase_if(MissingSince, [&](const auto &it) {
    bool isQuarantined = std::find(quarantined.begin(), quarantined.end(),
                                   it.first) != quarantined.end();
    return !isQuarantined || catalog->Quarantined.contains(it.first);
  });
  for (const Id128 &request : quarantined) {
    if (catalog->Quarantined.contains(request))
      continue;
    TimePoint since = MissingSince.try_emplace(request, now).first->second;
    auto before = static_cast<int64_t>(writersBefore(request));
    if (!IsCallPending && now >= since + before * Settings.WriteStagger)
      write(request);
  }
}

void QuarantineRecords::removeCleared(TimePoint now) {
  auto catalog = State.catalog();
  for (const auto &[request, revision] : catalog->Quarantined)
    if (!IsCallPending && State.Suspects.wasCleared(request, now))
      remove(request, revision);
}

void QuarantineRecords::write(const Id128 &request) {
  IsCallPending = true;
  Duration term = std::min(State.Options.Suspects.QuarantineDuration,
                           Settings.MaxLeaseTerm);
  Store.GrantLease(
      term, Settings.CallTimeout,
      [self = shared_from_this(), request](const edge::KvLeaseResult &result) {
        boost::asio::dispatch(self->Executor, [self, request, result] {
          bool isGranted =
              result.Header.Status == edge::KvStatus::Ok && result.Lease != 0;
          if (isGranted)
            return self->commit(request, result.Lease);
          self->onWritten(request, result.Header, false);
        });
      });
}

void QuarantineRecords::commit(const Id128 &request, uint64_t lease) {
  std::string key = State.WireProtocol.QuarantineKey(request);
  edge::KvTransaction change;
  change.If.push_back({key, edge::KvCompare::Target::ModRevision, 0});
  change.Then.push_back(
      {key, State.WireProtocol.EncodeQuarantined(), lease, false});
  Store.Commit(
      std::move(change), Settings.CallTimeout,
      [self = shared_from_this(), request,
       lease](const edge::KvTransactionResult &result) {
        boost::asio::dispatch(
            self->Executor, [self, request, lease, header = result.Header] {
              // If the answer was lost, the record may exist and is left to
              // expire with its lease.
              if (header.Status == edge::KvStatus::CompareFailed ||
                  header.Status == edge::KvStatus::Unavailable)
                self->Store.RevokeLease(lease, self->Settings.CallTimeout,
                                        [](const edge::KvLeaseResult &) {});
              self->onWritten(request, header, false);
            });
      });
}

void QuarantineRecords::remove(const Id128 &request, uint64_t revision) {
  IsCallPending = true;
  std::string key = State.WireProtocol.QuarantineKey(request);
  edge::KvTransaction change;
  change.If.push_back({key, edge::KvCompare::Target::ModRevision, revision});
  change.Then.push_back({key, {}, 0, true});
  Store.Commit(std::move(change), Settings.CallTimeout,
               [self = shared_from_this(),
                request](const edge::KvTransactionResult &result) {
                 boost::asio::dispatch(self->Executor,
                                       [self, request, header = result.Header] {
                                         self->onWritten(request, header, true);
                                       });
               });
}

void QuarantineRecords::endCall(const Id128 &request, TimePoint now) {
  IsCallPending = false;
  // If the catalog still lacks the record after another WriteStagger, this
  // entry writes the record again.
  if (auto it = MissingSince.find(request); it != MissingSince.end())
    it->second = now + Settings.WriteStagger;
}

void QuarantineRecords::onWritten(const Id128 &request,
                                  const edge::KvHeader &answer, bool isLifted) {
  TimePoint now = monotonicNow();
  endCall(request, now);
  State.Log.write(LogPriority::Notable,
                  isLifted ? "quarantine_lifted" : "quarantine_recorded",
                  recordLogFields(request, answer), now);
}

} // namespace daisytack::gateway
