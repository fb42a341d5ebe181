#include "gateway/quarantine.h"

#include "base/clock.h"
#include "direct/rendezvous.h"
#include "direct/request_signatures.h"
#include "gateway/gateway_request.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <utility>

namespace daisytack::gateway {

namespace {

DecisionLog::Fields recordLogFields(const Id128 &signature,
                                    const edge::KvHeader &answer) {
  return {{"identity", toHex(signature)},
          {"status", edge::kvStatusName(answer.Status)},
          {"revision", answer.Revision}};
}

} // namespace

size_t entriesBefore(const GatewayState &state, const Id128 &signature) {
  std::string key = toHex(signature);
  double own = direct::rendezvousScore(key, state.Options.Name);
  auto catalog = state.catalog();
  auto isBefore = [&](const direct::EntryPeer &it) {
    return it.Name != state.Options.Name &&
           direct::rendezvousScore(key, it.Name) > own;
  };
  return static_cast<size_t>(std::count_if(catalog->Entries.begin(),
                                           catalog->Entries.end(), isBefore));
}

void enforceQuarantine(GatewayState &state,
                       const std::vector<Id128> &signatures, TimePoint now) {
  if (signatures.empty())
    return;
  for (const Id128 &signature : signatures)
    state.Log.write(
        LogPriority::Notable, "request_quarantined",
        {{"identity", toHex(signature)},
         {"kind", direct::isPartSignature(signature) ? "part" : "request"}},
        now);
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
  removeCleared();
}

void QuarantineRecords::applyRecords(TimePoint now) {
  auto catalog = State.catalog();
  for (const auto &[signature, record] : catalog->Quarantined) {
    bool isNewlyKnown = std::exchange(AppliedRevisions[signature],
                                      record.Revision) != record.Revision;
    if (isNewlyKnown)
      enforceQuarantine(State,
                        State.Suspects.onQuarantineRecord(
                            signature, record.CrashedServers, now),
                        now);
  }
  std::erase_if(AppliedRevisions, [&](const auto &it) {
    return !catalog->Quarantined.contains(it.first);
  });
}

void QuarantineRecords::writeMissing(TimePoint now) {
  auto catalog = State.catalog();
  std::vector<Id128> quarantined = State.Suspects.quarantined(now);
  std::erase_if(MissingSince, [&](const auto &it) {
    bool isQuarantined = std::find(quarantined.begin(), quarantined.end(),
                                   it.first) != quarantined.end();
    return !isQuarantined || catalog->Quarantined.contains(it.first);
  });
  for (const Id128 &signature : quarantined) {
    if (catalog->Quarantined.contains(signature))
      continue;
    TimePoint since = MissingSince.try_emplace(signature, now).first->second;
    auto before = static_cast<int64_t>(entriesBefore(State, signature));
    if (!IsCallPending && now >= since + before * Settings.WriteStagger)
      write(signature);
  }
}

void QuarantineRecords::removeCleared() {
  auto catalog = State.catalog();
  for (const auto &[signature, record] : catalog->Quarantined)
    if (!IsCallPending && State.Suspects.wasCleared(signature))
      remove(signature, record.Revision);
}

void QuarantineRecords::write(const Id128 &signature) {
  IsCallPending = true;
  Duration term = std::min(State.Options.Suspects.QuarantineDuration,
                           Settings.MaxLeaseTerm);
  Store.GrantLease(
      term, Settings.CallTimeout,
      [self = shared_from_this(),
       signature](const edge::KvLeaseResult &result) {
        boost::asio::dispatch(self->Executor, [self, signature, result] {
          bool isGranted =
              result.Header.Status == edge::KvStatus::Ok && result.Lease != 0;
          if (isGranted)
            return self->commit(signature, result.Lease);
          self->onWritten(signature, result.Header, false);
        });
      });
}

void QuarantineRecords::commit(const Id128 &signature, uint64_t lease) {
  std::string key = State.WireProtocol.QuarantineKey(signature);
  edge::KvTransaction change;
  change.If.push_back({key, edge::KvCompare::Target::ModRevision, 0});
  change.Then.push_back(
      {key,
       State.WireProtocol.EncodeQuarantine(
           {signature, State.Suspects.crashedServers(signature)}),
       lease, false});
  Store.Commit(
      std::move(change), Settings.CallTimeout,
      [self = shared_from_this(), signature,
       lease](const edge::KvTransactionResult &result) {
        boost::asio::dispatch(
            self->Executor, [self, signature, lease, header = result.Header] {
              // If the answer was lost, the record may exist and is left to
              // expire with its lease.
              if (header.Status == edge::KvStatus::CompareFailed ||
                  header.Status == edge::KvStatus::Unavailable)
                self->Store.RevokeLease(lease, self->Settings.CallTimeout,
                                        [](const edge::KvLeaseResult &) {});
              self->onWritten(signature, header, false);
            });
      });
}

void QuarantineRecords::remove(const Id128 &signature, uint64_t revision) {
  IsCallPending = true;
  std::string key = State.WireProtocol.QuarantineKey(signature);
  edge::KvTransaction change;
  change.If.push_back({key, edge::KvCompare::Target::ModRevision, revision});
  change.Then.push_back({key, {}, 0, true});
  Store.Commit(std::move(change), Settings.CallTimeout,
               [self = shared_from_this(),
                signature](const edge::KvTransactionResult &result) {
                 boost::asio::dispatch(
                     self->Executor, [self, signature, header = result.Header] {
                       self->onWritten(signature, header, true);
                     });
               });
}

void QuarantineRecords::endCall(const Id128 &signature, TimePoint now) {
  IsCallPending = false;
  // If the catalog still lacks the record after another WriteStagger, this
  // entry writes the record again.
  if (auto it = MissingSince.find(signature); it != MissingSince.end())
    it->second = now + Settings.WriteStagger;
}

void QuarantineRecords::onWritten(const Id128 &signature,
                                  const edge::KvHeader &answer, bool isLifted) {
  TimePoint now = monotonicNow();
  endCall(signature, now);
  State.Log.write(LogPriority::Notable,
                  isLifted ? "quarantine_lifted" : "quarantine_recorded",
                  recordLogFields(signature, answer), now);
}

} // namespace daisytack::gateway
