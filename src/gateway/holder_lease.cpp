#include "gateway/holder_lease.h"

#include "base/clock.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <utility>

namespace daisytack::gateway {

HolderLease::HolderLease(Strand strand, edge::KvStore store, std::string key,
                         std::string value, HolderLeaseSettings settings,
                         DecisionLog &log)
    : On(std::move(strand)), Store(std::move(store)), Key(std::move(key)),
      Value(std::move(value)), Settings(settings), Log(log),
      Term(direct::orderLease(settings.Right)) {}

void HolderLease::acquire(uint64_t over) {
  if (IsStopped || IsTrying || Token != 0)
    return;
  IsTrying = true;
  TimePoint askedAt = monotonicNow();
  Store.GrantLease(Term.settings().TimeToLive, Settings.CallTimeout,
                   [self = shared_from_this(), over,
                    askedAt](const edge::KvLeaseResult &result) {
                     boost::asio::dispatch(
                         self->On, [self, result, over, askedAt] {
                           self->onGranted(result, over, askedAt);
                         });
                   });
}

void HolderLease::onGranted(const edge::KvLeaseResult &result, uint64_t over,
                            TimePoint askedAt) {
  if (result.Header.Status != edge::KvStatus::Ok || result.Lease == 0) {
    IsTrying = false;
    return;
  }
  Term.granted(result.Lease, result.TimeLeft, askedAt);
  claim(over);
}

void HolderLease::claim(uint64_t over) {
  edge::KvTransaction write;
  write.If.push_back({Key, edge::KvCompare::Target::ModRevision, over});
  write.Then.push_back({Key, Value, Term.id(), false});
  Store.Commit(
      std::move(write), Settings.CallTimeout,
      [self = shared_from_this()](const edge::KvTransactionResult &result) {
        boost::asio::dispatch(self->On,
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
    return drop();
  }
}

/// The answer was lost: the key's own lease tells who holds it. A claim that is
/// applied later finds its lease ended.
void HolderLease::readBack() {
  Store.Range({Key, edge::prefixEnd(Key), 0, 0}, Settings.CallTimeout,
              [self = shared_from_this()](const edge::KvRangeResult &result) {
                boost::asio::dispatch(self->On, [self, result] {
                  for (const edge::KvEntry &entry : result.Entries)
                    if (entry.Key == self->Key &&
                        entry.Lease == self->Term.id())
                      return self->hold(entry.ModRevision);
                  self->drop();
                });
              });
}

void HolderLease::hold(uint64_t token) {
  IsTrying = false;
  TimePoint now = monotonicNow();
  // Stopped while the claim was under way: nobody has to wait for a holder that
  // never acted.
  if (IsStopped || Term.hasLapsed(now))
    return drop();
  Token = token;
  Log.write(LogWeight::Notable, "order_right_taken",
            {{"token", Token}, {"lease", Term.id()}}, now);
}

void HolderLease::drop() {
  IsTrying = false;
  Token = 0;
  if (Term.id() != 0)
    Store.RevokeLease(Term.id(), Settings.CallTimeout,
                      [](const edge::KvLeaseResult &) {});
  Term.lost();
}

void HolderLease::giveUp(TimePoint now) {
  if (Token == 0)
    return;
  Log.write(LogWeight::Notable, "order_right_given_up", {{"token", Token}},
            now);
  drop();
}

void HolderLease::onTimer(TimePoint now) {
  if (Token == 0 || IsStopped)
    return;
  if (Term.hasLapsed(now)) {
    Log.write(LogWeight::Notable, "order_right_lapsed", {{"token", Token}},
              now);
    return drop();
  }
  std::optional<TimePoint> due = Term.renewAt();
  if (IsRenewing || !due || now < *due)
    return;
  IsRenewing = true;
  Store.KeepLease(
      Term.id(), Settings.CallTimeout,
      [self = shared_from_this(), now](const edge::KvLeaseResult &result) {
        boost::asio::dispatch(self->On, [self, result, now] {
          self->IsRenewing = false;
          if (self->Token == 0 || result.Header.Status != edge::KvStatus::Ok)
            return;
          self->Term.renewed(result.Lease, result.TimeLeft, now);
        });
      });
}

std::optional<uint64_t> HolderLease::token(TimePoint now) const {
  bool mayAct = !IsStopped && Token != 0 && Term.mayAct(now);
  return mayAct ? std::optional<uint64_t>(Token) : std::nullopt;
}

} // namespace daisytack::gateway
