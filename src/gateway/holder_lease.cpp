#include "gateway/holder_lease.h"

#include "base/clock.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <utility>

namespace daisytack::gateway {

HolderLease::HolderLease(Strand strand, edge::KvStore store, std::string key,
                         std::string value, HolderLeaseSettings settings,
                         DecisionLog &log)
    : Executor(std::move(strand)), Store(std::move(store)), Key(std::move(key)),
      Value(std::move(value)), Settings(settings), Log(log),
      LeaseState(direct::orderLease(settings.OrderLease)) {}

void HolderLease::acquire(uint64_t replacedRevision) {
  if (IsStopped || IsAcquiring || Token != 0)
    return;
  IsAcquiring = true;
  TimePoint askedAt = monotonicNow();
  Store.GrantLease(LeaseState.settings().TimeToLive, Settings.CallTimeout,
                   [self = shared_from_this(), replacedRevision,
                    askedAt](const edge::KvLeaseResult &result) {
                     boost::asio::dispatch(
                         self->Executor,
                         [self, result, replacedRevision, askedAt] {
                           self->onGranted(result, replacedRevision, askedAt);
                         });
                   });
}

void HolderLease::onGranted(const edge::KvLeaseResult &result,
                            uint64_t replacedRevision, TimePoint askedAt) {
  if (result.Header.Status != edge::KvStatus::Ok || result.Lease == 0) {
    IsAcquiring = false;
    return;
  }
  LeaseState.granted(result.Lease, result.TimeLeft, askedAt);
  claim(replacedRevision);
}

void HolderLease::claim(uint64_t replacedRevision) {
  edge::KvTransaction write;
  write.If.push_back(
      {Key, edge::KvCompare::Target::ModRevision, replacedRevision});
  write.Then.push_back({Key, Value, LeaseState.id(), false});
  Store.Commit(
      std::move(write), Settings.CallTimeout,
      [self = shared_from_this()](const edge::KvTransactionResult &result) {
        boost::asio::dispatch(self->Executor,
                              [self, result] { self->onClaimed(result); });
      });
}

void HolderLease::onClaimed(const edge::KvTransactionResult &result) {
  switch (result.Header.Status) {
  case edge::KvStatus::Ok:
    return hold(result.Header.Revision);
  case edge::KvStatus::Unknown:
    return readBack();
  case edge::KvStatus::CompareFailed:
  case edge::KvStatus::Unavailable:
    return release();
  }
}

/// Finds out whether a claim whose answer was lost has succeeded: then the key
/// has the claim's lease. A claim that is applied later fails, as its lease has
/// ended.
void HolderLease::readBack() {
  Store.Range({Key, edge::prefixEnd(Key), 0, 0}, Settings.CallTimeout,
              [self = shared_from_this()](const edge::KvRangeResult &result) {
                boost::asio::dispatch(self->Executor, [self, result] {
                  for (const edge::KvEntry &entry : result.Entries)
                    if (entry.Key == self->Key &&
                        entry.Lease == self->LeaseState.id())
                      return self->hold(entry.ModRevision);
                  self->release();
                });
              });
}

void HolderLease::hold(uint64_t token) {
  IsAcquiring = false;
  TimePoint now = monotonicNow();
  // A holder that was stopped during its claim never acted, so nobody has to
  // wait for its lease to expire.
  if (IsStopped || LeaseState.hasLapsed(now))
    return release();
  Token = token;
  Log.write(LogPriority::Notable, "order_right_taken",
            {{"token", Token}, {"lease", LeaseState.id()}}, now);
}

void HolderLease::release() {
  IsAcquiring = false;
  Token = 0;
  if (LeaseState.id() != 0)
    Store.RevokeLease(LeaseState.id(), Settings.CallTimeout,
                      [](const edge::KvLeaseResult &) {});
  LeaseState.lost();
}

void HolderLease::abandon(TimePoint now) {
  if (Token == 0)
    return;
  Log.write(LogPriority::Notable, "order_right_given_up", {{"token", Token}},
            now);
  release();
}

void HolderLease::onTimer(TimePoint now) {
  if (Token == 0 || IsStopped)
    return;
  if (LeaseState.hasLapsed(now)) {
    Log.write(LogPriority::Notable, "order_right_lapsed", {{"token", Token}},
              now);
    return release();
  }
  std::optional<TimePoint> due = LeaseState.renewAt();
  if (IsRenewing || !due || now < *due)
    return;
  IsRenewing = true;
  Store.KeepLease(
      LeaseState.id(), Settings.CallTimeout,
      [self = shared_from_this(), now](const edge::KvLeaseResult &result) {
        boost::asio::dispatch(self->Executor, [self, result, now] {
          self->IsRenewing = false;
          if (self->Token == 0 || result.Header.Status != edge::KvStatus::Ok)
            return;
          self->LeaseState.renewed(result.Lease, result.TimeLeft, now);
        });
      });
}

std::optional<uint64_t> HolderLease::token(TimePoint now) const {
  bool mayAct = !IsStopped && Token != 0 && LeaseState.mayAct(now);
  return mayAct ? std::optional<uint64_t>(Token) : std::nullopt;
}

} // namespace daisytack::gateway
